#pragma once

#include "Base/Identifiers.h"

#include <map>
#include <optional>
#include <set>

namespace sardinefold::engine {

/// The failure domains of a site that lie in the home regions of a request's route and
/// of its workspace; none if neither has homes. Where both have, both hold.
std::optional<std::set<base::FailureDomainId>> HomeDomains(
  std::set<base::RegionId> const& aRouteHomes, std::set<base::RegionId> const& aWorkspaceHomes,
  std::map<base::FailureDomainId, base::RegionId> const& aRegions);

} // namespace sardinefold::engine
