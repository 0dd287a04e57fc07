#include "Operator/CatalogCheck.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace sardinefold::operators {

namespace {

/// Bodies that a gateway can hold at the same time, at the least. One alone would leave
/// no room for a second caller.
constexpr std::int64_t kConcurrentBodies = 4;
/// Rates and bursts above this cannot be counted over the fleet.
constexpr double kLargestTokens = 1e15;

std::string Quoted(std::string const& aName)
{
  return "\"" + aName + "\"";
}

std::string Milliseconds(base::Duration aTime)
{
  return std::to_string(base::ToMilliseconds(aTime)) + " ms";
}

/// The host in lower case without its port, as requests are matched.
std::string ToMatchedHost(std::string aHost)
{
  auto const colon = aHost.rfind(':');
  if (colon != std::string::npos && aHost.find(']', colon) == std::string::npos) {
    aHost.resize(colon);
  }
  std::ranges::transform(aHost, aHost.begin(), [](unsigned char aCharacter) {
    return static_cast<char>(std::tolower(aCharacter));
  });
  return aHost;
}

bool AreDisjoint(std::set<base::RegionId> const& aOne, std::set<base::RegionId> const& aOther)
{
  return std::ranges::none_of(aOne, [&](auto const& aRegion) { return aOther.contains(aRegion); });
}

class CatalogChecker
{
public:
  CatalogChecker(ServingCatalog const& aCatalog, SiteCapacity const& aSite)
    : m_catalog(aCatalog)
    , m_site(aSite)
  {
  }

  CatalogFindings Run()
  {
    CheckRoutes();
    CheckDeployments();
    CheckWorkspaces();
    CheckHomes();
    CheckLimits();
    return std::move(m_findings);
  }

private:
  void Warn(CatalogSection aSection, std::string aEntry, std::string aMessage)
  {
    m_findings.push_back(
      { FindingSeverity::Warning, aSection, std::move(aEntry), std::move(aMessage) });
  }
  void Fail(CatalogSection aSection, std::string aEntry, std::string aMessage)
  {
    m_findings.push_back(
      { FindingSeverity::Error, aSection, std::move(aEntry), std::move(aMessage) });
  }

  void CheckRoutes()
  {
    std::set<base::RouteId> names;
    for (auto const& route : m_catalog.m_routes) {
      if (!names.insert(route.m_id).second) {
        Fail(CatalogSection::Routes, route.m_id.Text(), "two routes have this name");
      }
      CheckMatch(route);
      CheckTargets(route);
      CheckTimes(route);
      if (route.m_maximumAttempts == 0) {
        Fail(CatalogSection::Routes, route.m_id.Text(), "its requests may be sent to no upstream");
      }
      if (route.m_isResumable && route.m_repeatability != Repeatability::Stream) {
        Warn(CatalogSection::Routes, route.m_id.Text(),
             "it is resumable without being a stream, which has no effect");
      }
    }
  }

  /// Of routes with the same host and prefix, the first one gets all requests.
  void CheckMatch(RouteRule const& aRoute)
  {
    auto const& id = aRoute.m_id.Text();
    if (aRoute.m_host.empty() || !aRoute.m_pathPrefix.starts_with("/")) {
      Fail(CatalogSection::Routes, id,
           "no request matches: a host and a prefix that begins with \"/\" are needed");
      return;
    }
    auto const [position, isFirst] =
      m_matches.emplace(std::pair(ToMatchedHost(aRoute.m_host), aRoute.m_pathPrefix), id);
    if (!isFirst) {
      Warn(CatalogSection::Routes, id,
           "it never matches: route " + Quoted(position->second) +
             " before it has the same host and prefix");
    }
  }

  void CheckTargets(RouteRule const& aRoute)
  {
    auto const& id = aRoute.m_id.Text();
    bool hasWeight = false;
    for (auto const& target : aRoute.m_targets) {
      auto const& deployment = target.m_deployment;
      m_usedDeployments.insert(deployment);
      hasWeight = hasWeight || target.m_weight > 0;
      if (!m_catalog.m_deployments.contains(deployment)) {
        Fail(CatalogSection::Routes, id,
             "deployment " + Quoted(deployment.Text()) + " does not exist");
      }
      if (target.m_weight <= 0 && aRoute.m_targets.size() > 1) {
        Warn(CatalogSection::Routes, id,
             "deployment " + Quoted(deployment.Text()) + " has no weight and gets no requests");
      }
    }
    if (aRoute.m_targets.empty()) {
      Fail(CatalogSection::Routes, id, "it names no deployment");
    } else if (!hasWeight) {
      Fail(CatalogSection::Routes, id, "none of its deployments has a weight");
    }
  }

  void CheckTimes(RouteRule const& aRoute)
  {
    auto const& id = aRoute.m_id.Text();
    if (aRoute.m_timeout <= base::Duration::zero()) {
      Fail(CatalogSection::Routes, id, "its time-out leaves no time for a response");
    } else if (aRoute.m_goal > aRoute.m_timeout) {
      Warn(CatalogSection::Routes, id,
           "its time-out (" + Milliseconds(aRoute.m_timeout) + ") comes before its goal (" +
             Milliseconds(aRoute.m_goal) + ")");
    }
  }

  void CheckDeployments()
  {
    for (auto const& [id, deployment] : m_catalog.m_deployments) {
      if (!m_usedDeployments.contains(id)) {
        Warn(CatalogSection::Deployments, id.Text(), "no route leads to it");
      }
      if (deployment.m_engine) {
        CheckEngine(id, *deployment.m_engine);
      }
    }
  }

  void CheckEngine(base::DeploymentId const& aId, EngineSpec const& aEngine)
  {
    if (aEngine.m_concurrency == 0) {
      Fail(CatalogSection::Deployments, aId.Text(), "its engines run no request");
    }
    if (aEngine.m_models.empty()) {
      Warn(CatalogSection::Deployments, aId.Text(), "it has engines and no models");
    }
    for (auto const& [model, spec] : aEngine.m_models) {
      if (spec.m_weights > aEngine.m_weights) {
        Fail(CatalogSection::Deployments, aId.Text(),
             "model " + Quoted(model.Text()) + " needs more memory than an engine has");
      }
    }
  }

  void CheckWorkspaces()
  {
    std::set<base::WorkspaceId> names;
    std::map<std::string_view, std::string> owners;
    for (auto const& workspace : m_catalog.m_workspaces) {
      auto const& id = workspace.m_id.Text();
      if (!names.insert(workspace.m_id).second) {
        Fail(CatalogSection::Workspaces, id, "two workspaces have this name");
      }
      if (workspace.m_keys.empty()) {
        Warn(CatalogSection::Workspaces, id, "it has no key, so nobody can use it");
      }
      for (auto const& key : workspace.m_keys) {
        auto const [position, isFirst] = owners.emplace(key, id);
        if (!isFirst && position->second == id) {
          Warn(CatalogSection::Workspaces, id, "it holds the same key twice");
        } else if (!isFirst) {
          Fail(CatalogSection::Workspaces, id,
               "workspace " + Quoted(position->second) + " holds one of its keys, too");
        }
      }
      CheckAllowance(workspace);
    }
  }

  void CheckAllowance(WorkspaceGrant const& aWorkspace)
  {
    auto const& id = aWorkspace.m_id.Text();
    bool const hasRate = aWorkspace.m_rate.Value() > 0;
    if (aWorkspace.m_rate.Value() > kLargestTokens ||
        static_cast<double>(aWorkspace.m_burst.Value()) > kLargestTokens) {
      Fail(CatalogSection::Workspaces, id, "its rate or burst is too large to be counted");
    }
    if (!hasRate && aWorkspace.m_burst.Value() > 0) {
      Warn(CatalogSection::Workspaces, id,
           "its burst has no effect: without a rate it has no limit");
    }
    if (hasRate && aWorkspace.m_burst < aWorkspace.m_defaultRequestTokens) {
      Warn(CatalogSection::Workspaces, id,
           "its burst (" + std::to_string(aWorkspace.m_burst.Value()) +
             ") is smaller than one request that states no size (" +
             std::to_string(aWorkspace.m_defaultRequestTokens.Value()) + ")");
    }
  }

  void CheckHomes()
  {
    for (auto const& route : m_catalog.m_routes) {
      CheckRegions(CatalogSection::Routes, route.m_id.Text(), route.m_homes);
    }
    for (auto const& workspace : m_catalog.m_workspaces) {
      auto const& id = workspace.m_id.Text();
      CheckRegions(CatalogSection::Workspaces, id, workspace.m_homes);
      for (auto const& route : m_catalog.m_routes) {
        bool const haveHomes = !route.m_homes.empty() && !workspace.m_homes.empty();
        if (haveHomes && !route.m_isPublic && AreDisjoint(route.m_homes, workspace.m_homes)) {
          Warn(CatalogSection::Workspaces, id,
               "route " + Quoted(route.m_id.Text()) +
                 " has none of its home regions, so its requests there are refused");
        }
      }
    }
  }

  void CheckRegions(CatalogSection aSection, std::string const& aEntry,
                    std::set<base::RegionId> const& aHomes)
  {
    if (!aHomes.empty() && !m_site.m_regions.empty() && AreDisjoint(aHomes, m_site.m_regions)) {
      Fail(aSection, aEntry, "none of its home regions belongs to the site");
    }
  }

  void CheckLimits()
  {
    auto const& limits = m_catalog.m_limits;
    if (limits.m_bodyBytes.Value() <= 0 || limits.m_headerBytes.Value() <= 0) {
      Fail(CatalogSection::Limits, "", "requests of no size are allowed");
    }
    if (m_site.m_gatewayMemory &&
        limits.m_bodyBytes.Value() > m_site.m_gatewayMemory->Value() / kConcurrentBodies) {
      Warn(CatalogSection::Limits, "",
           "the smallest gateway (" + std::to_string(m_site.m_gatewayMemory->Value()) +
             " bytes) has no room for " + std::to_string(kConcurrentBodies) + " bodies of " +
             std::to_string(limits.m_bodyBytes.Value()) + " bytes");
    }
    if (limits.m_headerTimeout <= base::Duration::zero() ||
        limits.m_idleTimeout <= base::Duration::zero()) {
      Fail(CatalogSection::Limits, "", "a time-out leaves callers no time");
    }
  }

  ServingCatalog const& m_catalog;
  SiteCapacity const& m_site;
  CatalogFindings m_findings;
  /// The first route of each host and prefix.
  std::map<std::pair<std::string, std::string>, std::string> m_matches;
  std::set<base::DeploymentId> m_usedDeployments;
};

} // namespace

CatalogFindings CheckCatalog(ServingCatalog const& aCatalog, SiteCapacity const& aSite)
{
  return CatalogChecker(aCatalog, aSite).Run();
}

} // namespace sardinefold::operators
