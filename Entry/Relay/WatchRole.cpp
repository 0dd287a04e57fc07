#include "Entry/Relay/WatchRole.h"

#include <algorithm>
#include <iterator>

namespace sardinefold::entry {

void WatchRole::OnNeighbours(std::map<base::HostId, base::Endpoint> aNeighbours,
                             std::vector<base::Endpoint> aPreferred, base::Instant aNow)
{
  m_preferred = std::move(aPreferred);
  m_neighbours = std::move(aNeighbours);
  m_neighboursReceivedAt = aNow;
  std::erase_if(m_watchers, [&](auto const& aItem) { return !m_neighbours.contains(aItem.first); });
}

void WatchRole::OnUpdate(base::HostId const& aWatcher, base::StoreEra aEra, base::Duration aListAge,
                         base::Duration aCatalogAge, base::Instant aNow)
{
  if (aEra >= m_era && aWatcher != m_self && m_neighbours.contains(aWatcher)) {
    m_watchers[aWatcher] = { aNow - aListAge, aNow - aCatalogAge, aEra };
    OnEra(aEra);
  }
}

bool WatchRole::HasRecentNeighbours(base::Instant aNow) const
{
  return m_neighbours.contains(m_self) &&
         aNow - m_neighboursReceivedAt < m_limits.m_neighbourRetention;
}

bool WatchRole::IsWatcher(base::Instant aNow) const
{
  return IsAmongFirst(m_limits.m_watchers, aNow);
}

bool WatchRole::IsAmongFirst(unsigned aCount, base::Instant aNow) const
{
  if (!HasRecentNeighbours(aNow)) {
    return true;
  }
  if (!m_preferred.empty()) {
    auto const rank = std::ranges::find(m_preferred, m_neighbours.at(m_self)) - m_preferred.begin();
    return rank < std::ranges::ssize(m_preferred) && rank < static_cast<std::ptrdiff_t>(aCount);
  }
  auto const rank = std::distance(m_neighbours.begin(), m_neighbours.find(m_self));
  return rank < static_cast<std::ptrdiff_t>(aCount);
}

std::vector<base::Endpoint> WatchRole::UpdateRecipients(base::Instant aNow) const
{
  std::vector<base::Endpoint> recipients;
  if (!HasRecentNeighbours(aNow) || !IsWatcher(aNow)) {
    return recipients;
  }
  for (auto const& [host, endpoint] : m_neighbours) {
    if (host != m_self) {
      recipients.push_back(endpoint);
    }
  }
  return recipients;
}

bool WatchRole::MaySuspendListWatch(base::Instant aNow) const
{
  return !IsWatcher(aNow) && std::ranges::any_of(m_watchers, [&](auto const& aItem) {
    return IsCurrent(aItem.second) && aNow - aItem.second.m_listConfirmedAt < m_limits.m_listAge;
  });
}

bool WatchRole::MaySuspendCatalogWatch(base::Instant aNow) const
{
  return !IsWatcher(aNow) && std::ranges::any_of(m_watchers, [&](auto const& aItem) {
    return IsCurrent(aItem.second) &&
           aNow - aItem.second.m_catalogConfirmedAt < m_limits.m_catalogAge;
  });
}

} // namespace sardinefold::entry
