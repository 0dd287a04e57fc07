#pragma once

#include "Engine/EngineTypes.h"
#include "Operator/ServingCatalog.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinefold::engine {

struct OrderSchedulerLimits
{
  /// An order without an answer is looked for in the engine's report for this
  /// long before it is given again.
  base::Duration m_responseTimeout = std::chrono::milliseconds(600);
  /// A swap that has not come about in this time is forgotten.
  base::Duration m_swapTimeout = std::chrono::seconds(30);
  /// Requests for adapters older than this have been served or given up.
  base::Duration m_adapterTimeout = std::chrono::seconds(3);
};

/// What the desk works on, for those who are told of the engine's state.
struct OrderSchedulerState
{
  std::optional<base::ModelId> m_loading;
  base::Instant m_readyAt{};
  std::optional<base::ModelId> m_unloading;
};

/// Decides the orders to one engine, as the only one who gives any. Every order
/// names the count of orders that it is based on, so that one that arrives late
/// finds another count and is void; the memory that it needs is free at that
/// count.
class OrderScheduler
{
public:
  explicit OrderScheduler(OrderSchedulerLimits aLimits)
    : m_limits(aLimits)
  {
  }

  void SetSpec(operators::EngineSpec aSpec) { m_spec = std::move(aSpec); }
  /// The engine's own account, fresh.
  void OnReport(EngineReport aReport, base::Instant aNow);
  /// Another swap under way goes on.
  void RequestSwap(base::ModelId const& aLoad, std::vector<base::ModelId> aUnload,
                   base::Instant aNow);
  void RequestAdapter(base::ModelId const& aModel, base::AdapterId const& aAdapter,
                      base::Instant aNow);

  /// The order to give now, if any; the caller fills in who gives it.
  std::optional<EngineOrderRequest> Next(base::Instant aNow);
  void OnResponse(EngineOrderRequest const& aOrder, OrderResponse aResponse, base::Instant aNow);

  OrderSchedulerState State(base::Instant aNow) const;
  std::optional<EngineReport> const& Report() const { return m_report; }

private:
  struct SwapPlan
  {
    base::ModelId m_load;
    std::vector<base::ModelId> m_unload;
    base::Instant m_since;
  };
  struct SentOrder
  {
    EngineOrderRequest m_order;
    base::Instant m_sentAt;
    bool m_isAccepted = false;
  };
  using AdapterKey = std::pair<base::ModelId, base::AdapterId>;

  HeldModel const* Held(base::ModelId const& aModel) const;
  base::Megabytes Used() const;
  bool Fits(base::Megabytes aNeeded) const;
  base::Duration LoadTime(base::ModelId const& aModel) const;
  EngineOrderRequest MakeOrder(EngineOrderRequest::Operation aOperation,
                               base::ModelId const& aModel,
                               std::optional<base::AdapterId> aAdapter) const;
  bool IsAwaitingResponse(base::Instant aNow) const;
  std::optional<EngineOrderRequest> NextSwapOrder(base::Instant aNow);
  std::optional<EngineOrderRequest> NextAdapterOrder(base::Instant aNow);
  std::optional<EngineOrderRequest> UnloadOldestAdapter() const;

  OrderSchedulerLimits m_limits;
  std::optional<operators::EngineSpec> m_spec;
  std::optional<EngineReport> m_report;
  std::optional<SwapPlan> m_swap;
  std::optional<SentOrder> m_sent;
  /// Adapters that requests wait for, and when one last did.
  std::map<AdapterKey, base::Instant> m_requestedAdapters;
  /// When each adapter was last asked for here.
  std::map<AdapterKey, base::Instant> m_adapterUse;
  /// Instant at which the engine began to carry out the order that it is busy
  /// with.
  base::Instant m_busySince{};
};

} // namespace sardinefold::engine
