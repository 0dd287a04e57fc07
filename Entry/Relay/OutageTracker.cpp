#include "Entry/Relay/OutageTracker.h"

namespace sardinefold::entry {

void OutageTracker::OnResponse(base::Instant aAt)
{
  if (aAt <= m_lastResponse) {
    return;
  }
  auto const silence = aAt - m_lastResponse;
  if (m_lastResponse != base::Instant() && silence > m_limits.m_minimumLength) {
    m_end = aAt;
    m_length = silence;
  }
  m_lastResponse = aAt;
}

std::optional<base::Instant> OutageTracker::LapseEnd(ListLosses const& aLosses,
                                                     base::Instant aNow) const
{
  // The other processes' responses may be unknown here, but the list itself shows
  // whether heartbeats arrived: a store that kept most entries has received them.
  bool const mayHaveLapsed =
    m_end && aNow - *m_end < m_limits.m_returnTime && aLosses.m_missing > aLosses.m_kept;
  return mayHaveLapsed ? std::optional(*m_end + m_limits.m_lapse) : std::nullopt;
}

} // namespace sardinefold::entry
