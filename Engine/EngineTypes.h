#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinefold::engine {

/// Identifies one start of one engine in the platform's list.
using InstanceId = base::Identifier<struct InstanceTag>;

/// A model that is loaded on an engine, with the adapters loaded on it.
struct HeldModel
{
  base::ModelId m_model;
  std::set<base::AdapterId> m_adapters;

  friend bool operator==(HeldModel const&, HeldModel const&) = default;
};

/// Weights that are cached at an engine, so that loading them is fast.
struct WeightCopies
{
  std::set<base::ModelId> m_inMemory;
  std::set<base::ModelId> m_onDisk;

  friend bool operator==(WeightCopies const&, WeightCopies const&) = default;
};

/// An entry of the platform's list of engines and services.
struct UpstreamEntry
{
  InstanceId m_instance;
  base::DeploymentId m_deployment;
  base::Endpoint m_endpoint;
  base::FailureDomainId m_failureDomain;
  unsigned m_slots = 1;
  /// Empty if the upstream states none.
  base::SoftwareVersion m_version;
  bool m_isDraining = false;
  /// Start of the engine in Unix milliseconds; distinguishes a restart under
  /// the same instance.
  std::int64_t m_startedAt = 0;
  /// How much longer the upstream is warming up, as of the entry's last change.
  base::Duration m_warmUpLeft{};
  std::vector<HeldModel> m_models;
  WeightCopies m_copies;
};

/// A model at the engines of one version of their software.
struct VersionedModel
{
  base::ModelId m_model;
  base::SoftwareVersion m_version;

  friend auto operator<=>(VersionedModel const&, VersionedModel const&) = default;
};

/// Streams that wait for a model at the engines that may continue them.
using VersionedDemand = std::map<VersionedModel, unsigned>;

/// The state that an engine reports.
struct EngineReport
{
  std::vector<HeldModel> m_models;
  WeightCopies m_copies;
  /// Whether the engine is executing an order for a model.
  bool m_isBusy = false;
  base::OrderCount m_orders;
  unsigned m_running = 0;
  unsigned m_waiting = 0;
  base::Tokens m_cacheUsed;
  base::Tokens m_cacheTotal;
  std::int64_t m_startedAt = 0;
  /// Number of adapters that are being transferred to the engine.
  unsigned m_arrivingAdapters = 0;
};

/// A request to an engine to load or unload a model or an adapter.
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
  /// Count of accepted orders that the order is based on. The engine refuses
  /// the order if it has accepted another one since.
  base::OrderCount m_expected;
  base::HostId m_holder;
  base::FencingNumber m_fence;
};

/// An engine's response to an order.
enum class OrderResponse
{
  Accepted,
  /// The engine is in the wanted state already.
  AlreadyHolds,
  /// The engine is executing another order, or its count of orders differs.
  Conflict,
  /// Another engine listens at the address now.
  WrongEngine,
  Rejected,
  /// No response arrived; the order may still be executed later.
  Unknown
};

} // namespace sardinefold::engine
