#include "Engine/HomeRegions.h"

namespace sardinefold::engine {

std::optional<std::set<base::FailureDomainId>> HomeDomains(
  std::set<base::RegionId> const& aRouteHomes, std::set<base::RegionId> const& aWorkspaceHomes,
  std::map<base::FailureDomainId, base::RegionId> const& aRegions)
{
  if (aRouteHomes.empty() && aWorkspaceHomes.empty()) {
    return std::nullopt;
  }
  auto const holds = [](std::set<base::RegionId> const& aHomes, base::RegionId const& aRegion) {
    return aHomes.empty() || aHomes.contains(aRegion);
  };
  std::set<base::FailureDomainId> domains;
  for (auto const& [domain, region] : aRegions) {
    if (holds(aRouteHomes, region) && holds(aWorkspaceHomes, region)) {
      domains.insert(domain);
    }
  }
  return domains;
}

} // namespace sardinefold::engine
