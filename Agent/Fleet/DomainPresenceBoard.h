#pragma once

#include "Agent/Fleet/FleetMessages.h"

#include <map>
#include <vector>

namespace sardinefold::agent {

/// Collects at an aggregator the gateways of its failure domain that announce
/// themselves to it.
class DomainPresenceBoard
{
public:
  /// Returns whether loaders should learn of it at once: no other gateway of the
  /// domain has announced that planner, a configuration or an era as late.
  bool OnPresence(GatewayPresence aPresence, base::Endpoint const& aOrigin, base::Instant aNow);
  /// The gateways that have announced themselves recently.
  std::vector<DomainPresence::Gateway> Gateways(base::Instant aNow);

private:
  struct Member
  {
    DomainPresence::Gateway m_gateway;
    base::Instant m_lastContactAt{};
  };

  std::map<base::HostId, Member> m_members;
  base::CatalogVersion m_newestCatalog;
  base::StoreEra m_newestEra;
};

} // namespace sardinefold::agent
