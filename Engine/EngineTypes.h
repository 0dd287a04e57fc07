#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinefold::engine {

/// One start of one engine, as the platform's list names it.
using InstanceId = base::Identifier<struct InstanceTag>;

/// A model that an engine holds ready, with the adapters loaded on it.
struct HeldModel
{
  base::ModelId m_model;
  std::set<base::AdapterId> m_adapters;
};

/// Copies of weights at an engine from which a load is fast.
struct WeightCopies
{
  std::set<base::ModelId> m_inMemory;
  std::set<base::ModelId> m_onDisk;
};

/// An entry of the platform's list of engines and services.
struct UpstreamEntry
{
  InstanceId m_instance;
  base::DeploymentId m_deployment;
  base::Endpoint m_endpoint;
  base::FailureDomainId m_failureDomain;
  unsigned m_slots = 1;
  bool m_isDraining = false;
  /// Unix milliseconds of the engine's start; tells a restart under the same
  /// instance.
  std::int64_t m_startedAt = 0;
  std::vector<HeldModel> m_models;
  WeightCopies m_copies;
};

/// What an engine says of itself.
struct EngineReport
{
  std::vector<HeldModel> m_models;
  WeightCopies m_copies;
  /// An order for a model is under way.
  bool m_isBusy = false;
  base::OrderCount m_orders;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  base::Tokens m_cacheUsed;
  base::Tokens m_cacheTotal;
  std::int64_t m_startedAt = 0;
  /// Adapters on their way to the engine.
  unsigned m_arrivingAdapters = 0;
};

/// Changes what an engine holds.
struct EngineOrderRequest
{
  enum class Operation
  {
    Load,
    Unload
  };
  Operation m_operation = Operation::Load;
  base::ModelId m_model;
  std::optional<base::AdapterId> m_adapter;
  /// The engine refuses the order if it has accepted another one since.
  base::OrderCount m_expected;
  base::HostId m_holder;
  base::FencingNumber m_fence;
};

/// What an engine answered to an order.
enum class OrderResponse
{
  Accepted,
  /// The engine is in the wanted state already.
  AlreadyHolds,
  /// Another order is under way, or the count of orders differs.
  Conflict,
  /// Another engine has the address now.
  WrongEngine,
  Rejected,
  /// No answer; the order may be carried out later.
  Unknown
};

} // namespace sardinefold::engine
