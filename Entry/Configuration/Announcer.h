#pragma once

#include "Entry/Configuration/ConfigurationMessages.h"

#include <map>
#include <vector>

namespace sardinefold::entry {

/// Announces the newest version to processes until each has acknowledged it, and
/// counts those that have.
class Announcer
{
public:
  /// A process to announce to, and this process's rank among those that announce
  /// to it. Rank 0 announces at once and sends frequent keep-alives; the others
  /// wait a little, by when the listener usually knows the version.
  struct Listener
  {
    base::HostId m_host;
    std::size_t m_rank;
    /// Whether Count() includes the listener. Of several processes that announce
    /// to it at one level, only the first counts it.
    bool m_isCounted;
  };

  void SetListeners(std::vector<Listener> const& aListeners, base::Instant aNow);
  /// Schedules announcements of a newer version.
  void OnNewVersion(base::Instant aNow);
  bool IsDue(base::Instant aNow) const;
  /// Adds the announcements that are due; aAnnouncement is the current one.
  void Collect(Announcement const& aAnnouncement, base::Instant aNow,
               ConfigurationActions& aActions);
  /// Does nothing if the process is not, or no longer, a listener.
  void OnAcknowledgement(base::HostId const& aFrom, Acknowledgement aAcknowledgement,
                         base::DocumentVersion aCurrent, base::Instant aNow);
  /// Records that an announcement got no response.
  void OnNoResponse(base::HostId const& aFrom, base::Instant aNow);

  /// Counts the listeners that are counted here and the processes below them.
  Tally Count(base::DocumentVersion aVersion) const;

private:
  struct State
  {
    std::size_t m_rank = 0;
    bool m_isCounted = true;
    Acknowledgement m_acknowledged;
    base::Instant m_next{};
    unsigned m_unanswered = 0;
  };

  std::map<base::HostId, State> m_listeners;
};

} // namespace sardinefold::entry
