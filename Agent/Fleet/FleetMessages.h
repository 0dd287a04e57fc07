#pragma once

#include "Agent/SuspectRegistry.h"
#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/DemandTracker.h"
#include "Engine/EngineTypes.h"
#include "Entry/Allowance/GrantLedger.h"
#include "ObjectStore/PlatformObject.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sardinefold::agent {

/// A change of models that an engine is carrying out.
struct ModelChange
{
  std::optional<base::ModelId> m_loading;
  /// Expected time until the model can be used.
  base::Duration m_readyIn{};
  std::optional<base::ModelId> m_unloading;
};

/// From the loader beside an engine to gateways and to the planner: what the
/// engine holds and how busy it is.
struct EngineStatus
{
  base::HostId m_host;
  base::Endpoint m_engine;
  base::DeploymentId m_deployment;
  base::FailureDomainId m_failureDomain;
  std::vector<engine::HeldModel> m_models;
  /// Told to the planner only.
  engine::WeightCopies m_copies;
  ModelChange m_change;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  base::Tokens m_cacheUsed;
  base::Tokens m_cacheTotal;
  /// Whether the loader may give orders.
  bool m_canOrder = false;
  /// Gateways that the loader hears.
  unsigned m_gatewaysPresent = 0;
  /// Counts the changes that the loader told since its start.
  std::uint64_t m_number = 0;
};

/// From a loader, in between: its last status still holds.
struct EngineAlive
{
  base::HostId m_host;
  base::Endpoint m_engine;
  /// Of the status that holds.
  std::uint64_t m_number = 0;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  bool m_canOrder = false;
  unsigned m_gatewaysPresent = 0;
};

/// To a loader from one that has missed its status: it should tell it again.
struct StatusWanted
{
  base::HostId m_host;
};

/// One start of an engine, as the platform's list has it.
struct EngineIdentity
{
  engine::InstanceId m_instance;
  /// Unix milliseconds.
  std::int64_t m_startedAt = 0;

  friend bool operator==(EngineIdentity const&, EngineIdentity const&) = default;
};

/// From a gateway to loaders: that it is there, and whom it takes for the
/// planner.
struct GatewayPresence
{
  base::HostId m_host;
  base::IncarnationId m_incarnation;
  base::FailureDomainId m_failureDomain;
  base::Endpoint m_planner;
  base::CatalogVersion m_catalog;
  /// Digest of what that catalog says of engines.
  std::uint64_t m_engineSpecs = 0;
  /// The engines beside the loaders that this goes to.
  std::map<base::Endpoint, EngineIdentity> m_engines;
};

/// From a gateway to the loader that it takes for the planner: the demand, and
/// the allowances used.
struct GatewayReport
{
  base::HostId m_host;
  base::IncarnationId m_incarnation;
  base::FailureDomainId m_failureDomain;
  /// Whether the demand names every model that is asked for; else only those
  /// where something has changed since the report before.
  bool m_isComplete = true;
  std::vector<engine::WaitingDemand> m_demand;
  /// Since the gateway started.
  entry::GrantedTokens m_granted;
  /// Requests that were in flight here as their upstream broke off, of late.
  std::vector<SuspectNews> m_deaths;
  /// Time since the object store last answered the gateway.
  base::Duration m_storeAge{};
};

/// Expected time until models that a gateway's requests wait for are ready.
using ModelOutlooks = std::map<base::ModelId, base::Duration>;

/// From the planner to a gateway: what all others have granted, and when the
/// models that it waits for will be ready.
struct PlannerSummary
{
  /// Sums of different epochs are not comparable.
  std::string m_epoch;
  /// Gateways that are there, and those that report to this planner.
  unsigned m_gatewaysPresent = 1;
  unsigned m_gatewaysReporting = 1;
  entry::GrantedTokens m_grantedByOthers;
  ModelOutlooks m_outlooks;
  /// What the other gateways told of late.
  std::vector<SuspectNews> m_deaths;
  /// Gateways of the receiver's failure domain that report to this planner, the
  /// receiver included, by name.
  std::map<base::HostId, base::Endpoint> m_neighbours;
  /// Time since the object store last answered any other gateway.
  std::optional<base::Duration> m_storeAge;
};

/// From a gateway that watches the object store to others of its failure
/// domain: what has changed in the list of upstreams, and how fresh its news is.
/// A batch too large for one datagram comes in parts.
struct StoreNews
{
  base::HostId m_host;
  /// The changes lead from the first version to the second.
  base::ObjectVersion m_from;
  objectstore::ObjectChanges m_changes;
  unsigned m_part = 0;
  unsigned m_parts = 1;
  base::CatalogVersion m_catalog;
  /// Time since the store last answered the sender about the list and about
  /// the catalog.
  base::Duration m_listAge{};
  base::Duration m_catalogAge{};
};

/// From the planner to a loader: replace models by another.
struct SwapRequest
{
  base::ModelId m_load;
  std::vector<base::ModelId> m_unload;
};

/// From a gateway to a loader: requests wait for this adapter.
struct AdapterRequest
{
  base::ModelId m_model;
  base::AdapterId m_adapter;
};

using FleetMessage =
  std::variant<EngineStatus, EngineAlive, StatusWanted, GatewayPresence, GatewayReport,
               PlannerSummary, StoreNews, SwapRequest, AdapterRequest>;

/// A message on its way.
struct FleetEnvelope
{
  FleetMessage m_message;
  /// Whom it comes from, if the sender of the datagram passes it on.
  std::optional<base::Endpoint> m_origin;
  /// Whom the receiver passes it on to.
  std::vector<base::Endpoint> m_forwardTo;
};

} // namespace sardinefold::agent
