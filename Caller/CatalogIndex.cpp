#include "Caller/CatalogIndex.h"

#include "Base/CaseInsensitive.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace sardinefold::caller {

namespace {

/// The host in lower case, without its port.
std::string NormalizeHost(std::string_view aHost)
{
  auto const colon = aHost.rfind(':');
  if (colon != std::string_view::npos && aHost.find(']', colon) == std::string_view::npos) {
    aHost = aHost.substr(0, colon);
  }
  std::string host(aHost);
  std::ranges::transform(host, host.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return host;
}

} // namespace

CatalogIndex::CatalogIndex(operators::ServingCatalog aCatalog)
  : m_catalog(std::move(aCatalog))
{
  Progress progress;
  Add(std::numeric_limits<std::size_t>::max(), progress);
}

bool CatalogIndex::Add(std::size_t aEntries, Progress& aProgress)
{
  auto const& routes = m_catalog.m_routes;
  for (; aEntries > 0 && aProgress.m_routes < routes.size(); --aEntries) {
    AddRoute(routes[aProgress.m_routes++]);
  }
  auto const& workspaces = m_catalog.m_workspaces;
  for (; aEntries > 0 && aProgress.m_workspaces < workspaces.size(); --aEntries) {
    auto const& workspace = workspaces[aProgress.m_workspaces++];
    for (auto const& key : workspace.m_keys) {
      m_keys.emplace(key, &workspace);
    }
  }
  return aProgress.m_routes == routes.size() && aProgress.m_workspaces == workspaces.size();
}

void CatalogIndex::AddRoute(operators::RouteRule const& aRoute)
{
  auto& routes = m_routes[NormalizeHost(aRoute.m_host)];
  // Of routes with equal prefixes, the first one in the catalog comes first.
  auto const position =
    std::ranges::upper_bound(routes, aRoute.m_pathPrefix.size(), std::ranges::greater{},
                             [](auto const* aOther) { return aOther->m_pathPrefix.size(); });
  routes.insert(position, &aRoute);
}

operators::RouteRule const* CatalogIndex::FindRoute(std::string_view aHost,
                                                    std::string_view aPath) const
{
  auto const found = m_routes.find(NormalizeHost(aHost));
  if (found == m_routes.end()) {
    return nullptr;
  }
  auto const route = std::ranges::find_if(
    found->second, [aPath](auto const* aRoute) { return aPath.starts_with(aRoute->m_pathPrefix); });
  return route == found->second.end() ? nullptr : *route;
}

operators::WorkspaceGrant const* CatalogIndex::FindWorkspace(std::string_view aKey) const
{
  auto const found = m_keys.find(std::string(aKey));
  return found == m_keys.end() ? nullptr : found->second;
}

operators::DeploymentSpec const* CatalogIndex::FindDeployment(
  base::DeploymentId const& aDeployment) const
{
  auto const found = m_catalog.m_deployments.find(aDeployment);
  return found == m_catalog.m_deployments.end() ? nullptr : &found->second;
}

} // namespace sardinefold::caller
