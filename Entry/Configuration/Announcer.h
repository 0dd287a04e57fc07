#pragma once

#include "Entry/Configuration/ConfigurationMessages.h"

#include <map>
#include <vector>

namespace sardinefold::entry {

/// Tells processes of the newest version until each has acknowledged it, and
/// keeps count of who has.
class Announcer
{
public:
  /// A process to announce to, and this process's place among those that do:
  /// the first tells it at once and keeps in touch, the others wait a little
  /// and usually find that it knows.
  struct Listener
  {
    base::HostId m_host;
    std::size_t m_rank;
    /// Whether this process answers for it in Count(). Of several that
    /// announce to it at one level, only the first does.
    bool m_isCounted;
  };

  void SetListeners(std::vector<Listener> const& aListeners, base::Instant aNow);
  /// A newer version is to be announced.
  void OnNewVersion(base::Instant aNow);
  bool IsDue(base::Instant aNow) const;
  /// Announcements that are due. The announcement is that of now.
  void Collect(Announcement const& aAnnouncement, base::Instant aNow,
               ConfigurationActions& aActions);
  /// Does nothing if the process is not, or no longer, a listener.
  void OnAcknowledgement(base::HostId const& aFrom, Acknowledgement aAcknowledgement,
                         base::DocumentVersion aCurrent, base::Instant aNow);
  /// No answer came to an announcement.
  void OnNoResponse(base::HostId const& aFrom, base::Instant aNow);

  /// Counts the listeners that are counted here, and those below them.
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
