#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinefold::operators {

/// Whether a request whose outcome is unknown may run again.
enum class Repeatability
{
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// A stream of events; runs at most once unless its route lets it resume.
  Stream
};

/// One of the deployments that share a route's requests.
struct RouteTarget
{
  base::DeploymentId m_deployment;
  double m_weight = 1;
};

/// Routing rule for the requests of one host name with a path prefix.
struct RouteRule
{
  base::RouteId m_id;
  /// Host name in lower case, without a port.
  std::string m_host;
  /// The prefix begins and ends with a slash.
  std::string m_pathPrefix;
  Repeatability m_repeatability = Repeatability::AtMostOnce;
  /// Longest time that a caller waits for the complete response.
  base::Duration m_timeout{};
  /// Time to the response, or to the first event of a stream, within which a
  /// request earns full credit.
  base::Duration m_goal{};
  /// Longest pause between events of a stream that is on time.
  base::Duration m_pause{};
  /// Zero is the highest urgency.
  unsigned m_urgency = 0;
  std::vector<RouteTarget> m_targets;
  unsigned m_maximumAttempts = 1;
  bool m_isPublic = false;
  bool m_isResumable = false;
  /// The regions that its requests may be served in; all if it names none.
  std::set<base::RegionId> m_homes;

  bool MayRepeat() const
  {
    return m_repeatability == Repeatability::Idempotent ||
           (m_repeatability == Repeatability::Stream && m_isResumable);
  }
};

/// A workspace with its keys and its allowance in tokens.
struct WorkspaceGrant
{
  base::WorkspaceId m_id;
  std::vector<std::string> m_keys;
  /// Overrides the urgency of the routes.
  std::optional<unsigned> m_urgency;
  /// Zero means no limit.
  base::TokensPerSecond m_rate;
  base::Tokens m_burst;
  /// Tokens charged for a request that does not state its own.
  base::Tokens m_defaultRequestTokens{ 1 };
  /// As in RouteRule; where both have homes, both hold.
  std::set<base::RegionId> m_homes;
};

struct ModelSpec
{
  base::ModelId m_id;
  base::Megabytes m_weights;
  base::Megabytes m_adapterWeights;
  base::Duration m_loadFromStore{};
  base::Duration m_loadFromMemory{};
  base::Duration m_loadFromDisk{};
};

/// Models and capacity of an engine of a deployment.
struct EngineSpec
{
  unsigned m_concurrency = 1;
  base::Tokens m_cacheTokens;
  /// Memory for the weights of models and adapters together.
  base::Megabytes m_weights;
  unsigned m_adapterSlots = 0;
  std::map<base::ModelId, ModelSpec> m_models;
};

/// The time after its start in which an upstream bears few requests.
struct WarmUpSpec
{
  base::Duration m_time{};
  /// Requests per second that it bears meanwhile, from all processes together.
  double m_requestsPerSecond = 0;
};

struct DeploymentSpec
{
  base::DeploymentId m_id;
  std::string m_healthPath;
  unsigned m_maximumConnections = 0;
  /// Absent for plain services.
  std::optional<EngineSpec> m_engine;
  /// Absent where upstreams bear their full load from the start.
  std::optional<WarmUpSpec> m_warmUp;
};

/// Bounds on what a caller may send.
struct CallerLimits
{
  base::Bytes m_headerBytes{ 16 * 1024 };
  base::Bytes m_bodyBytes{ 4 * 1024 * 1024 };
  base::Duration m_headerTimeout = std::chrono::seconds(3);
  base::Duration m_idleTimeout = std::chrono::seconds(15);
};

/// The configuration that operators have put in force.
struct ServingCatalog
{
  base::CatalogVersion m_version;
  std::vector<RouteRule> m_routes;
  std::map<base::DeploymentId, DeploymentSpec> m_deployments;
  std::vector<WorkspaceGrant> m_workspaces;
  CallerLimits m_limits;
};

/// Which parts of a configuration are read.
enum class CatalogScope
{
  Whole,
  /// Neither routes nor workspaces, which are not checked either.
  Deployments
};

/// Returns a digest that is equal for catalogs with equal engine specifications.
std::uint64_t EngineSpecsDigest(ServingCatalog const& aCatalog);

} // namespace sardinefold::operators
