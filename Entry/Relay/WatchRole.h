#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <map>
#include <vector>

namespace sardinefold::entry {

struct WatchRoleLimits
{
  /// Processes of one failure domain that watch the store for all of it; two,
  /// so that the loss of one costs no news.
  unsigned m_watchers = 2;
  /// News of the list that is older is not relied on.
  base::Duration m_listAge = std::chrono::milliseconds(1500);
  /// The same for the catalog.
  base::Duration m_catalogAge = std::chrono::milliseconds(1900);
  /// How long the neighbours are believed that the planner told.
  base::Duration m_neighbourRetention = std::chrono::seconds(3);
};

/// Decides whether a process watches the object store itself or relies on
/// others of its failure domain that do, so that calls to the store do not grow
/// with the fleet. The first processes by name watch, and whoever hears no
/// fresh news of them.
class WatchRole
{
public:
  WatchRole(WatchRoleLimits aLimits, base::HostId aSelf)
    : m_limits(aLimits)
    , m_self(std::move(aSelf))
  {
  }

  /// The processes of the failure domain, this one included.
  void OnNeighbours(std::map<base::HostId, base::Endpoint> aNeighbours, base::Instant aNow);
  /// A watcher told for how long it has not heard the store.
  void OnUpdate(base::HostId const& aWatcher, base::Duration aListAge, base::Duration aCatalogAge,
                base::Instant aNow);

  bool IsWatcher(base::Instant aNow) const;
  /// Whom a watcher tells its news: the followers, and the other watchers, as
  /// the store may turn one of them away.
  std::vector<base::Endpoint> UpdateRecipients(base::Instant aNow) const;
  /// Whether another's watch of the list, or of the catalog, is good enough.
  bool MaySuspendListWatch(base::Instant aNow) const;
  bool MaySuspendCatalogWatch(base::Instant aNow) const;

private:
  struct Watcher
  {
    /// When the store last answered it, by its own account.
    base::Instant m_listConfirmedAt{};
    base::Instant m_catalogConfirmedAt{};
  };

  bool HasRecentNeighbours(base::Instant aNow) const;

  WatchRoleLimits m_limits;
  base::HostId m_self;
  std::map<base::HostId, base::Endpoint> m_neighbours;
  base::Instant m_neighboursReceivedAt{};
  std::map<base::HostId, Watcher> m_watchers;
};

} // namespace sardinefold::entry
