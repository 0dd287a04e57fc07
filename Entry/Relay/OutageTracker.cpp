#include "Entry/Relay/OutageTracker.h"

namespace sardinefold::entry {

void OutageTracker::OnResponse(base::Instant aAt)
{
  if (aAt <= m_lastResponse) {
    return;
  }
  auto const gap = aAt - m_lastResponse;
  if (m_lastResponse != base::Instant() && gap > m_limits.m_minimumLength) {
    m_end = aAt;
    m_length = gap;
  }
  m_lastResponse = aAt;
}

std::optional<base::Instant> OutageTracker::LapseEnd(ListLosses const& aLosses,
                                                     base::Instant aNow) const
{
  if (m_restoredAt && aNow - *m_restoredAt < m_limits.m_removalTime) {
    return *m_restoredAt + m_limits.m_reregistrationTime;
  }
  // The other processes' responses may be unknown here, but the list itself shows
  // whether heartbeats arrived: a store that kept most entries has received them.
  bool const mayHaveLapsed =
    m_end && aNow - *m_end < m_limits.m_removalTime && aLosses.m_missing > aLosses.m_kept;
  return mayHaveLapsed ? std::optional(*m_end + m_limits.m_reregistrationTime) : std::nullopt;
}

} // namespace sardinefold::entry
