#include "Engine/UpstreamBackoff.h"

#include <algorithm>

namespace sardinefold::engine {

namespace {

constexpr double kSpreadShare = 0.25;
constexpr base::Duration kMaximumSpread = std::chrono::seconds(1);
/// Time after which another trial is allowed if one is unanswered.
constexpr base::Duration kTrialTime = std::chrono::seconds(1);

} // namespace

base::Instant Backoff::OpensAt() const
{
  return std::max(m_end, m_trialEnd.value_or(m_end));
}

bool BackoffTable::OnRefused(UpstreamStart const& aStart, base::Duration aRetryAfter,
                             double aSpread, base::Instant aNow)
{
  auto const maximumSpread =
    std::min(kMaximumSpread, base::FromSeconds(base::ToSeconds(aRetryAfter) * kSpreadShare));
  auto const spread = base::FromSeconds(base::ToSeconds(maximumSpread) * aSpread);
  auto [found, isNew] = m_backoffs.try_emplace(aStart);
  auto& backoff = found->second;
  bool const wasOpen = isNew || aNow >= backoff.m_end;
  if (wasOpen) {
    backoff = { aNow, aNow, std::nullopt, 0 };
  }
  // Of several refusals, each one holds for the whole of its time.
  backoff.m_end = std::max(backoff.m_end, aNow + aRetryAfter + spread);
  backoff.m_trialEnd.reset();
  backoff.m_revision = ++m_lastRevision;
  return wasOpen;
}

Backoff const* BackoffTable::Find(UpstreamStart const& aStart) const
{
  auto const found = m_backoffs.find(aStart);
  return found == m_backoffs.end() ? nullptr : &found->second;
}

bool BackoffTable::IsOpen(UpstreamStart const& aStart, base::Instant aNow) const
{
  auto const* const backoff = Find(aStart);
  return !backoff || aNow >= backoff->OpensAt();
}

std::uint64_t BackoffTable::Revision(UpstreamStart const& aStart) const
{
  auto const* const backoff = Find(aStart);
  return backoff ? backoff->m_revision : 0;
}

void BackoffTable::OnTrialStarted(UpstreamStart const& aStart, base::Instant aNow)
{
  auto const found = m_backoffs.find(aStart);
  if (found != m_backoffs.end()) {
    found->second.m_trialEnd = aNow + kTrialTime;
  }
}

void BackoffTable::OnTrialEnded(UpstreamStart const& aStart)
{
  auto const found = m_backoffs.find(aStart);
  if (found != m_backoffs.end()) {
    found->second.m_trialEnd.reset();
  }
}

std::optional<Backoff> BackoffTable::OnTrialAnswered(UpstreamStart const& aStart)
{
  auto const found = m_backoffs.find(aStart);
  if (found == m_backoffs.end()) {
    return std::nullopt;
  }
  auto const backoff = found->second;
  m_backoffs.erase(found);
  return backoff;
}

std::vector<std::pair<UpstreamStart, Backoff>> BackoffTable::Expire(
  std::function<bool(UpstreamStart const&)> const& aIsKnown, base::Instant aNow)
{
  std::vector<std::pair<UpstreamStart, Backoff>> expired;
  std::erase_if(m_backoffs, [&](auto const& aItem) {
    bool const isExpired = aNow >= aItem.second.OpensAt() && !aIsKnown(aItem.first);
    if (isExpired) {
      expired.push_back(aItem);
    }
    return isExpired;
  });
  return expired;
}

} // namespace sardinefold::engine
