#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/ObjectVersion.h"
#include "Base/Time.h"

#include <algorithm>
#include <map>
#include <vector>

namespace sardinefold::entry {

struct WatchRoleLimits
{
  /// Number of processes in a failure domain that watch the store for all of it;
  /// two, so that the loss of one costs no updates.
  unsigned m_watchers = 2;
  /// Updates on the list that are older than this are not relied on.
  base::Duration m_listAge = std::chrono::milliseconds(1500);
  /// The same limit for updates on the catalog.
  base::Duration m_catalogAge = std::chrono::milliseconds(1900);
  /// Time for which the neighbours that the planner last sent are used.
  base::Duration m_neighbourRetention = std::chrono::seconds(3);
};

/// Decides whether a process watches the object store itself or relies on others
/// of its failure domain that do, so that the number of calls to the store does
/// not grow with the fleet. The processes that the planner prefers watch, without any
/// the first by name, and so does any process without fresh updates from them.
class WatchRole
{
public:
  WatchRole(WatchRoleLimits aLimits, base::HostId aSelf)
    : m_limits(aLimits)
    , m_self(std::move(aSelf))
  {
  }

  /// Replaces the processes of the failure domain, including this one. The preferred
  /// ones watch before the others.
  void OnNeighbours(std::map<base::HostId, base::Endpoint> aNeighbours,
                    std::vector<base::Endpoint> aPreferred, base::Instant aNow);
  /// Records how long ago the store last responded to a watcher, by its own
  /// report, and the era that the watcher knows.
  void OnUpdate(base::HostId const& aWatcher, base::StoreEra aEra, base::Duration aListAge,
                base::Duration aCatalogAge, base::Instant aNow);
  /// Records an era that the store has reached. Watchers that know only earlier ones
  /// are not relied on.
  void OnEra(base::StoreEra aEra) { m_era = std::max(m_era, aEra); }

  bool IsWatcher(base::Instant aNow) const;
  /// Whether it is the first of the watchers. It alone watches without pause what may
  /// arrive late enough for the others to ask for it in time.
  bool IsFirstWatcher(base::Instant aNow) const
  {
    return HasRecentNeighbours(aNow) && IsAmongFirst(1, aNow);
  }
  /// Returns whom a watcher sends its updates: the followers, and the other
  /// watchers, since the store may be unreachable for one of them.
  std::vector<base::Endpoint> UpdateRecipients(base::Instant aNow) const;
  /// Whether another process's watch of the list, or of the catalog, is recent
  /// enough.
  bool MaySuspendListWatch(base::Instant aNow) const;
  bool MaySuspendCatalogWatch(base::Instant aNow) const;

private:
  struct Watcher
  {
    /// When the store last responded to the watcher, by the watcher's report.
    base::Instant m_listConfirmedAt{};
    base::Instant m_catalogConfirmedAt{};
    base::StoreEra m_era;
  };

  bool IsCurrent(Watcher const& aWatcher) const { return aWatcher.m_era >= m_era; }
  bool HasRecentNeighbours(base::Instant aNow) const;
  bool IsAmongFirst(unsigned aCount, base::Instant aNow) const;

  WatchRoleLimits m_limits;
  base::HostId m_self;
  std::map<base::HostId, base::Endpoint> m_neighbours;
  std::vector<base::Endpoint> m_preferred;
  base::Instant m_neighboursReceivedAt{};
  std::map<base::HostId, Watcher> m_watchers;
  base::StoreEra m_era;
};

} // namespace sardinefold::entry
