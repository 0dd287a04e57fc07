#include "Engine/UpstreamLoadModel.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::engine {

namespace {

/// A spell of slowness lasts some hundred milliseconds.
constexpr base::Duration kSpell = std::chrono::milliseconds(200);
/// Age from which a report of a slow host says nothing about the present.
constexpr base::Duration kLongestSpell = std::chrono::milliseconds(600);

} // namespace

void UpstreamLoadModel::OnReported(unsigned aRunning, unsigned aWaiting, base::Instant aNow)
{
  unsigned const ownRunning = m_inFlight - m_unanswered;
  m_othersRunning = aRunning > ownRunning ? aRunning - ownRunning : 0;
  m_othersWaiting = aWaiting > m_unanswered ? aWaiting - m_unanswered : 0;
  m_reportedAt = aNow;
}

void UpstreamLoadModel::OnSent(RequestWork aWork)
{
  ++m_inFlight;
  ++m_unanswered;
  m_unansweredWork += aWork;
}

void UpstreamLoadModel::OnResponseStarted(RequestWork aWork)
{
  if (m_unanswered == 0) {
    return;
  }
  --m_unanswered;
  m_unansweredWork =
    m_unanswered == 0 ? RequestWork() : std::max(RequestWork(), m_unansweredWork - aWork);
}

void UpstreamLoadModel::OnDone()
{
  m_inFlight -= m_inFlight > 0 ? 1 : 0;
}

void UpstreamLoadModel::OnRestart()
{
  m_othersRunning = 0;
  m_othersWaiting = 0;
  m_reportedAt.reset();
  m_slowdown.reset();
  m_pace = {};
}

RequestWork UpstreamLoadModel::Ahead(RequestWork aRunning) const
{
  return m_unansweredWork + RequestWork(m_othersWaiting) + aRunning * Running();
}

double UpstreamLoadModel::Slowness(base::Instant aNow) const
{
  double slowdown = 1;
  if (m_slowdown && aNow - m_slowdown->m_at < kLongestSpell) {
    auto const age = base::ToSeconds(aNow - m_slowdown->m_at);
    slowdown += (m_slowdown->m_value - 1) * std::exp(-age / base::ToSeconds(kSpell));
  }
  return m_pace.Value() * slowdown;
}

std::optional<base::Duration> UpstreamLoadModel::ReportAge(base::Instant aNow) const
{
  return m_reportedAt ? std::optional(aNow - *m_reportedAt) : std::nullopt;
}

} // namespace sardinefold::engine
