#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <optional>

namespace sardinefold::entry {

struct OutageLimits
{
  /// TimeSinceResponse of the store towards all processes that counts as an outage.
  /// Shorter than that, answers may just be far apart.
  base::Duration m_minimumLength = std::chrono::milliseconds(2800);
  /// What lapsed in an outage is missing from the first answer after it, or
  /// goes within this time.
  base::Duration m_returnTime = std::chrono::milliseconds(1000);
  /// Entries that lapsed are back this soon after the store is.
  base::Duration m_lapse = std::chrono::milliseconds(2000);
};

/// How many of the list's upstreams an answer still has, and how many it lacks.
struct ListLosses
{
  std::size_t m_kept = 0;
  std::size_t m_missing = 0;
};

/// Knows when the object store last answered any process of the fleet. Entries
/// lapse only while it answers none; a store that turned this process alone away
/// has taken everybody's heartbeats.
class OutageTracker
{
public:
  explicit OutageTracker(OutageLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// The store answered this process, or another one said so, at that time.
  void OnResponse(base::Instant aAt);

  /// Until when upstreams that an answer lacks stay in use, as their entries
  /// may have lapsed; absent if they have left.
  std::optional<base::Instant> LapseEnd(ListLosses const& aLosses, base::Instant aNow) const;

  /// Time since the store answered anyone.
  base::Duration TimeSinceResponse(base::Instant aNow) const { return aNow - m_lastResponse; }
  /// Of the last outage for all.
  base::Duration LastOutageLength() const { return m_length; }

private:
  OutageLimits m_limits;
  base::Instant m_lastResponse{};
  std::optional<base::Instant> m_end;
  base::Duration m_length{};
};

} // namespace sardinefold::entry
