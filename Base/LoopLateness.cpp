#include "Base/LoopLateness.h"

#include <algorithm>
#include <utility>

namespace sardinefold::base {

Duration LoopLateness::OnTick(Instant aNow)
{
  auto const late =
    m_lastTick ? std::max(aNow - *m_lastTick - m_interval, Duration::zero()) : Duration::zero();
  m_lastTick = aNow;
  m_longest = std::max(m_longest, late);
  return late;
}

std::optional<Duration> LoopLateness::TakeReport(Instant aNow)
{
  constexpr Duration kReportedLateness = std::chrono::milliseconds(100);
  constexpr Duration kReportInterval = std::chrono::seconds(1);
  bool const isTooSoon = m_lastReport && aNow - *m_lastReport < kReportInterval;
  if (m_longest < kReportedLateness || isTooSoon) {
    return std::nullopt;
  }
  m_lastReport = aNow;
  return std::exchange(m_longest, Duration::zero());
}

} // namespace sardinefold::base
