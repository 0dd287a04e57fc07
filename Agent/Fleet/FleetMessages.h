#pragma once

#include "Agent/CrashRegistry.h"
#include "Agent/Fleet/AggregatorRole.h"
#include "Agent/Fleet/StreamOriginTable.h"
#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/DemandTracker.h"
#include "Engine/EngineTypes.h"
#include "Engine/RequestLimit.h"
#include "Engine/UpstreamNotice.h"
#include "Entry/Allowance/AllowanceReport.h"
#include "Entry/Relay/EvacuationState.h"
#include "ObjectStore/PlatformObject.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sardinefold::agent {

/// Maximum number of upstreams whose request limits one message lists, so that it fits in a
/// datagram.
constexpr std::size_t kMaximumRequestLimits = 200;
/// Rates of requests above this one are encoded as this one.
constexpr base::RequestsPerSecond kLargestRequestRate(1'000'000'000);

/// A change of models that an engine is carrying out.
struct ModelChange
{
  std::optional<base::ModelId> m_loading;
  /// Expected time until the model can be used.
  base::Duration m_readyIn{};
  std::optional<base::ModelId> m_unloading;

  friend bool operator==(ModelChange const&, ModelChange const&) = default;
};

/// From the loader of an engine to gateways and to the planner: the models that
/// the engine holds and its load.
struct EngineStatus
{
  base::HostId m_host;
  base::Endpoint m_engine;
  base::DeploymentId m_deployment;
  base::FailureDomainId m_failureDomain;
  std::vector<engine::HeldModel> m_models;
  /// Sent to the planner only.
  engine::WeightCopies m_copies;
  ModelChange m_change;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  base::Tokens m_cacheUsed;
  base::Tokens m_cacheTotal;
  /// Whether the loader may issue orders to the engine.
  bool m_canOrder = false;
  /// The start of the engine that has announced that it leaves, in Unix
  /// milliseconds.
  std::optional<std::int64_t> m_leavingStart;
  /// Start of the engine in Unix milliseconds, once it has reported to the loader.
  std::optional<std::int64_t> m_engineStart{};
  /// Sent to the planner only.
  base::SoftwareVersion m_version{};
  /// Number of gateways that the loader knows to be running.
  unsigned m_gatewaysPresent = 0;
  /// The run of the loader, whose statuses are numbered from its start.
  base::IncarnationId m_incarnation;
  /// Number of status changes that the loader has sent since its start.
  std::uint64_t m_number = 0;

  friend bool operator==(EngineStatus const&, EngineStatus const&) = default;
};

/// From a loader, between status messages: its last status is still valid.
struct EngineHeartbeat
{
  base::HostId m_host;
  base::Endpoint m_engine;
  base::IncarnationId m_incarnation;
  /// Number of the status that is still valid.
  std::uint64_t m_number = 0;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  bool m_canOrder = false;
  unsigned m_gatewaysPresent = 0;
};

/// From the aggregator of a failure domain to gateways: what the loaders of that
/// domain have sent since its last digest.
struct EngineDigest
{
  base::FailureDomainId m_failureDomain;
  std::vector<EngineStatus> m_statuses;
  std::vector<EngineHeartbeat> m_heartbeats;
};

/// To a loader from a process that missed its status: requests that the loader
/// send it again.
struct StatusRequest
{
  base::HostId m_host;
};

/// One start of an engine, as listed by the platform.
struct EngineIdentity
{
  engine::InstanceId m_instance;
  /// Unix milliseconds.
  std::int64_t m_startedAt = 0;
  base::SoftwareVersion m_version{};

  friend bool operator==(EngineIdentity const&, EngineIdentity const&) = default;
};

/// From a gateway: that it is running, and which process it considers the
/// planner. It goes to the aggregator of the gateway's failure domain, or to all
/// loaders where there is none.
struct GatewayPresence
{
  base::HostId m_host;
  base::IncarnationId m_incarnation;
  base::FailureDomainId m_failureDomain;
  base::Endpoint m_planner;
  base::CatalogVersion m_catalog;
  /// Digest of the engine specifications in that catalog.
  std::uint64_t m_engineSpecs = 0;
  /// The engines of the loaders that this message is sent to; none if it is sent
  /// to an aggregator.
  std::map<base::Endpoint, EngineIdentity> m_engines;
  /// The latest era of the store that the gateway knows of.
  base::StoreEra m_storeEra;
};

/// From the aggregator of a failure domain to loaders: the gateways of that domain.
struct DomainPresence
{
  struct Gateway
  {
    base::Endpoint m_endpoint;
    /// Its engines are those of the whole message.
    GatewayPresence m_presence;
  };

  base::FailureDomainId m_failureDomain;
  std::vector<Gateway> m_gateways;
  /// The aggregator of the domain and its deputy.
  std::vector<base::Endpoint> m_aggregators;
  /// The engines of the loaders that this message is sent to.
  std::map<base::Endpoint, EngineIdentity> m_engines;
};

/// From a gateway to the loader that it considers the planner: its demand and
/// the allowances used.
struct GatewayReport
{
  base::HostId m_host;
  base::IncarnationId m_incarnation;
  base::FailureDomainId m_failureDomain;
  /// Part of a core that the gateway's process may use.
  double m_processorShare = 0;
  /// Whether the report lists every requested model; otherwise it lists only what
  /// changed since the previous report.
  bool m_isComplete = true;
  std::vector<engine::WaitingDemand> m_demand;
  entry::AllowanceReport m_allowance;
  /// Requests that were in flight here when their upstreams crashed, recently or, in some
  /// reports, if they are suspected or refused here.
  std::vector<RequestCrashReport> m_crashes;
  /// Time since the object store last responded to this gateway.
  base::Duration m_storeAge{};
  /// Upstreams that recently announced to this gateway that they leave.
  std::vector<engine::UpstreamStart> m_leaving;
  /// Upstreams that drained and that a restored list names as ready; in complete
  /// reports.
  std::vector<engine::UpstreamStart> m_drained;
  /// Prompt parts accused here or refused here, and accused parts that an
  /// upstream began to answer here.
  std::vector<PartCrashReport> m_partCrashes;
  std::vector<PartAcquittal> m_partAcquittals;
  /// The evacuations that the gateway knows; absent where there are none to know, and in
  /// most reports.
  std::optional<entry::EvacuationState> m_evacuations;
  /// What the gateway knows of request limits and would send, to the planner only;
  /// kMaximumRequestLimits at most.
  std::vector<engine::RequestLimitDemand> m_requestLimits{};
  /// Requests that an upstream served here after a crash of another one.
  std::vector<RequestAcquittal> m_acquittals{};
  engine::VersionedDemand m_versionedDemand{};
};

/// Expected time until the models that a gateway's requests wait for are ready.
using ModelForecasts = std::map<base::ModelId, base::Duration>;
using VersionedForecasts = std::map<engine::VersionedModel, base::Duration>;

/// From the planner to a gateway: the levels of the allowances, and
/// when the models that the gateway waits for will be ready.
struct PlannerSummary
{
  /// Number of running gateways.
  unsigned m_gatewaysPresent = 1;
  entry::AllowanceSummary m_allowance;
  ModelForecasts m_forecasts;
  VersionedForecasts m_versionedForecasts{};
  /// Gateways of the receiver's failure domain that report to this planner,
  /// including the receiver, by host.
  std::map<base::HostId, base::Endpoint> m_neighbours;
  /// The aggregator and its deputy of each failure domain that has them.
  DomainAggregators m_aggregators;
  /// Time since the object store last responded to any other gateway.
  std::optional<base::Duration> m_storeAge;
  /// The newest catalog that any gateway has had in force, as far as known.
  base::CatalogVersion m_catalog;
  /// Set if another gateway knows of evacuations that the receiver does not know of, or
  /// of their end.
  std::optional<entry::EvacuationState> m_evacuations;
  /// What is known of request limits, and the permits that the receiver was granted;
  /// kMaximumRequestLimits at most.
  std::vector<engine::RequestLimitGrant> m_requestLimits{};
};

/// From the planner to all gateways: what gateways have reported of failures and
/// leavings, their own reports included.
struct PlannerNews
{
  std::vector<RequestCrashReport> m_crashes;
  /// Upstreams that recently announced that they leave.
  std::vector<engine::UpstreamStart> m_leaving;
  /// As in GatewayReport.
  std::vector<engine::UpstreamStart> m_drained;
  /// News on prompt parts, as in GatewayReport.
  std::vector<PartCrashReport> m_partCrashes;
  std::vector<PartAcquittal> m_partAcquittals;
  std::vector<RequestAcquittal> m_acquittals{};

  bool IsEmpty() const
  {
    return m_crashes.empty() && m_leaving.empty() && m_drained.empty() && m_partCrashes.empty() &&
           m_partAcquittals.empty() && m_acquittals.empty();
  }
};

/// From a gateway that watches the object store to others of its failure
/// domain: the changes in the list of upstreams, and how recent its data is. A
/// batch too large for one datagram is split into parts. All versions are of one era.
struct StoreUpdate
{
  base::HostId m_host;
  /// The changes lead from this version to m_changes.m_version; none if m_changes
  /// holds every object that exists, whatever the receiver knows.
  std::optional<base::ObjectVersion> m_from;
  objectstore::ObjectChanges m_changes;
  unsigned m_part = 0;
  unsigned m_parts = 1;
  base::CatalogVersion m_catalog;
  /// Time since the store last responded to the sender about the list and about
  /// the catalog.
  base::Duration m_listAge{};
  base::Duration m_catalogAge{};
  /// All evacuations, and the time since the store last responded to the sender about
  /// them.
  struct Evacuations
  {
    entry::EvacuationState m_state;
    base::Duration m_age{};
  };
  std::optional<Evacuations> m_evacuations;
};

/// From the planner to a loader: load one model and unload others.
struct SwapRequest
{
  base::ModelId m_load;
  std::vector<base::ModelId> m_unload;
};

/// From a gateway to a loader: requests are waiting for this adapter.
struct AdapterRequest
{
  base::ModelId m_model;
  base::AdapterId m_adapter;
};

/// From a gateway to loaders: where streams that run there began. It is repeated while
/// they run.
struct StreamOrigins
{
  std::vector<StreamOrigin> m_origins;
};

/// From a gateway to loaders: asks where a stream began.
struct StreamOriginQuery
{
  base::RequestId m_request;
};

/// From a loader: where the stream began, if the loader knows.
struct StreamOriginReply
{
  base::RequestId m_request;
  std::optional<StreamOrigin> m_origin;
};

using FleetMessage =
  std::variant<EngineStatus, EngineHeartbeat, StatusRequest, GatewayPresence, GatewayReport,
               PlannerSummary, PlannerNews, StoreUpdate, SwapRequest, AdapterRequest, EngineDigest,
               DomainPresence, StreamOrigins, StreamOriginQuery, StreamOriginReply>;

/// A message with its routing information.
struct FleetEnvelope
{
  FleetMessage m_message;
  /// The original sender, if the sender of the datagram forwards the message.
  std::optional<base::Endpoint> m_origin;
  /// Endpoints that the receiver forwards the message to.
  std::vector<base::Endpoint> m_forwardTo;
};

} // namespace sardinefold::agent
