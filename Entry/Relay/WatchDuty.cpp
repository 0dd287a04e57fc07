#include "Entry/Relay/WatchDuty.h"

#include <algorithm>
#include <iterator>

namespace sardinefold::entry {

void WatchDuty::OnNeighbours(std::map<base::HostId, base::Endpoint> aNeighbours, base::Instant aNow)
{
  m_neighbours = std::move(aNeighbours);
  m_neighboursAt = aNow;
  std::erase_if(m_watchers, [&](auto const& aItem) { return !m_neighbours.contains(aItem.first); });
}

void WatchDuty::OnNews(base::HostId const& aWatcher, base::Duration aListAge,
                       base::Duration aCatalogAge, base::Instant aNow)
{
  if (aWatcher != m_self && m_neighbours.contains(aWatcher)) {
    m_watchers[aWatcher] = { aNow - aListAge, aNow - aCatalogAge };
  }
}

bool WatchDuty::KnowsNeighbours(base::Instant aNow) const
{
  return m_neighbours.contains(m_self) && aNow - m_neighboursAt < m_limits.m_neighbourMemory;
}

bool WatchDuty::IsWatcher(base::Instant aNow) const
{
  if (!KnowsNeighbours(aNow)) {
    return true;
  }
  auto const rank = std::distance(m_neighbours.begin(), m_neighbours.find(m_self));
  return rank < static_cast<std::ptrdiff_t>(m_limits.m_watchers);
}

std::vector<base::Endpoint> WatchDuty::Listeners(base::Instant aNow) const
{
  std::vector<base::Endpoint> listeners;
  if (!KnowsNeighbours(aNow) || !IsWatcher(aNow)) {
    return listeners;
  }
  for (auto const& [host, endpoint] : m_neighbours) {
    if (host != m_self) {
      listeners.push_back(endpoint);
    }
  }
  return listeners;
}

bool WatchDuty::MayRestList(base::Instant aNow) const
{
  return !IsWatcher(aNow) && std::ranges::any_of(m_watchers, [&](auto const& aItem) {
    return aNow - aItem.second.m_listHeardAt < m_limits.m_listAge;
  });
}

bool WatchDuty::MayRestCatalog(base::Instant aNow) const
{
  return !IsWatcher(aNow) && std::ranges::any_of(m_watchers, [&](auto const& aItem) {
    return aNow - aItem.second.m_catalogHeardAt < m_limits.m_catalogAge;
  });
}

} // namespace sardinefold::entry
