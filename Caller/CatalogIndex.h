#pragma once

#include "Operator/ServingCatalog.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardinefold::caller {

/// Index of the routes and keys of one version of the catalog.
class CatalogIndex
{
public:
  explicit CatalogIndex(operators::ServingCatalog aCatalog);

  CatalogIndex(CatalogIndex const&) = delete;
  CatalogIndex& operator=(CatalogIndex const&) = delete;

  /// Returns the host's route with the longest matching path prefix; null if
  /// there is none. The host may include a port.
  operators::RouteRule const* FindRoute(std::string_view aHost, std::string_view aPath) const;
  /// Returns the workspace that a key belongs to; null for an unknown key.
  operators::WorkspaceGrant const* FindWorkspace(std::string_view aKey) const;
  operators::DeploymentSpec const* FindDeployment(base::DeploymentId const& aDeployment) const;
  bool HasWorkspaces() const { return !m_catalog.m_workspaces.empty(); }
  operators::ServingCatalog const& Catalog() const { return m_catalog; }

private:
  friend class CatalogIndexBuilder;

  /// What has been indexed so far.
  struct Progress
  {
    std::size_t m_routes = 0;
    std::size_t m_workspaces = 0;
  };

  CatalogIndex() = default;
  /// Indexes at most aEntries further entries. Returns whether all are indexed.
  bool Add(std::size_t aEntries, Progress& aProgress);
  void AddRoute(operators::RouteRule const& aRoute);

  operators::ServingCatalog m_catalog;
  /// Routes by host, in descending order of prefix length.
  std::unordered_map<std::string, std::vector<operators::RouteRule const*>> m_routes;
  std::unordered_map<std::string, operators::WorkspaceGrant const*> m_keys;
};

} // namespace sardinefold::caller
