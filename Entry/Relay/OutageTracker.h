#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <optional>

namespace sardinefold::entry {

struct OutageLimits
{
  /// Time without a response to any process that counts as an outage. In less
  /// time responses may just be far apart.
  base::Duration m_minimumLength = std::chrono::milliseconds(2800);
  /// Entries that lapsed in an outage are missing from the first response after
  /// it, or are removed within this time.
  base::Duration m_removalTime = std::chrono::milliseconds(1000);
  /// Entries that lapsed have registered again within this time after the outage.
  base::Duration m_reregistrationTime = std::chrono::milliseconds(2000);
};

/// How many of the list's upstreams a response still has, and how many it lacks.
struct ListLosses
{
  std::size_t m_kept = 0;
  std::size_t m_missing = 0;
};

/// Tracks when the object store last responded to any process of the fleet.
/// Entries lapse only while it responds to none; a store that is unreachable for
/// this process alone still receives the others' heartbeats.
class OutageTracker
{
public:
  explicit OutageTracker(OutageLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Records that the store responded at that time to this process or, by its
  /// report, to another one.
  void OnResponse(base::Instant aAt);

  /// Records that the store came back from a copy. Entries written since the copy
  /// are missing from it, and others may have lapsed by its time.
  void OnRestored(base::Instant aNow) { m_restoredAt = aNow; }

  /// Returns until when upstreams that a response lacks stay in use because their
  /// entries may have lapsed; none if they have left.
  std::optional<base::Instant> LapseEnd(ListLosses const& aLosses, base::Instant aNow) const;

  /// Returns the time since the store last responded to any process.
  base::Duration TimeSinceResponse(base::Instant aNow) const { return aNow - m_lastResponse; }
  /// Returns the length of the last outage for all processes.
  base::Duration LastOutageLength() const { return m_length; }

private:
  OutageLimits m_limits;
  base::Instant m_lastResponse{};
  std::optional<base::Instant> m_end;
  std::optional<base::Instant> m_restoredAt;
  base::Duration m_length{};
};

} // namespace sardinefold::entry
