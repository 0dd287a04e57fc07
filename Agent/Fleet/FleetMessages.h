#pragma once

#include "Agent/SuspectRegistry.h"
#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/DemandBoard.h"
#include "Engine/EngineFacts.h"
#include "Entry/Allowance/GrantLedger.h"

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
};

/// One start of an engine, as the platform's list has it.
struct EngineIdentity
{
  engine::InstanceId m_instance;
  /// Unix milliseconds.
  std::int64_t m_startedAt = 0;
};

/// From a gateway to each loader: that it is there, and whom it takes for the
/// planner.
struct GatewayPresence
{
  base::HostId m_host;
  base::IncarnationId m_incarnation;
  base::Endpoint m_planner;
  base::CatalogVersion m_catalog;
  /// The engine beside the loader that this goes to.
  EngineIdentity m_engine;
};

/// From a gateway to the loader that it takes for the planner: the demand, and
/// the allowances used.
struct GatewayReport
{
  base::HostId m_host;
  base::IncarnationId m_incarnation;
  /// Whether the demand names every model that is asked for; else only those
  /// where something has changed since the report before.
  bool m_isComplete = true;
  std::vector<engine::WaitingDemand> m_demand;
  /// Since the gateway started.
  entry::GrantedTokens m_granted;
  /// Requests that were in flight here as their upstream broke off, of late.
  std::vector<SuspectNews> m_deaths;
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

using FleetMessage = std::variant<EngineStatus, GatewayPresence, GatewayReport, PlannerSummary,
                                  SwapRequest, AdapterRequest>;

} // namespace sardinefold::agent
