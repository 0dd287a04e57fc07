#include "Caller/CatalogIndex.h"

#include "Base/CaseInsensitive.h"

#include <algorithm>

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
  for (auto const& route : m_catalog.m_routes) {
    m_routes[NormalizeHost(route.m_host)].push_back(&route);
  }
  for (auto& [host, routes] : m_routes) {
    std::ranges::stable_sort(routes, [](auto const* aLeft, auto const* aRight) {
      return aLeft->m_pathPrefix.size() > aRight->m_pathPrefix.size();
    });
  }
  for (auto const& workspace : m_catalog.m_workspaces) {
    for (auto const& key : workspace.m_keys) {
      m_keys.emplace(key, &workspace);
    }
  }
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
