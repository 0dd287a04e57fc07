#include "Agent/Fleet/DomainPresenceBoard.h"

#include <algorithm>
#include <utility>

namespace sardinefold::agent {

namespace {

/// Gateways announce themselves once a second.
constexpr base::Duration kMemberTimeout = std::chrono::milliseconds(2500);

} // namespace

bool DomainPresenceBoard::OnPresence(GatewayPresence aPresence, base::Endpoint const& aOrigin,
                                     base::Instant aNow)
{
  bool const hasNewPlanner = std::ranges::none_of(m_members, [&](auto const& aItem) {
    return aItem.second.m_gateway.m_presence.m_planner == aPresence.m_planner;
  });
  bool const isNews =
    hasNewPlanner || aPresence.m_catalog > m_newestCatalog || aPresence.m_storeEra > m_newestEra;
  m_newestCatalog = std::max(m_newestCatalog, aPresence.m_catalog);
  m_newestEra = std::max(m_newestEra, aPresence.m_storeEra);
  aPresence.m_engines.clear();
  auto const host = aPresence.m_host;
  m_members[host] = { { aOrigin, std::move(aPresence) }, aNow };
  return isNews;
}

std::vector<DomainPresence::Gateway> DomainPresenceBoard::Gateways(base::Instant aNow)
{
  std::erase_if(m_members, [aNow](auto const& aItem) {
    return aNow - aItem.second.m_lastContactAt > kMemberTimeout;
  });
  std::vector<DomainPresence::Gateway> gateways;
  for (auto const& [host, member] : m_members) {
    gateways.push_back(member.m_gateway);
  }
  return gateways;
}

} // namespace sardinefold::agent
