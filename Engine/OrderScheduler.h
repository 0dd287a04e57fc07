#pragma once

#include "Engine/EngineTypes.h"
#include "Operator/ServingCatalog.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinefold::engine {

struct OrderSchedulerLimits
{
  /// Time for which an order without a response is looked for in the engine's
  /// reports before it is sent again.
  base::Duration m_responseTimeout = std::chrono::milliseconds(600);
  /// A swap that has not completed within this time is discarded.
  base::Duration m_swapTimeout = std::chrono::seconds(30);
  /// Requests for adapters expire after this time, as the waiting requests have
  /// been served or abandoned by then.
  base::Duration m_adapterTimeout = std::chrono::seconds(3);
  /// An order without a response is not carried out later than this.
  base::Duration m_lateOrderTime = std::chrono::seconds(15);
  /// Maximum number of adapters that requests wait for; callers may name any.
  std::size_t m_maximumRequested = 1'000;
};

/// The model changes in progress, for reports of the engine's state.
struct OrderSchedulerState
{
  std::optional<base::ModelId> m_loading;
  base::Instant m_readyAt{};
  std::optional<base::ModelId> m_unloading;
};

/// Decides the orders to one engine, as its only source of orders. Every order
/// names the count of accepted orders that it is based on. An order that
/// arrives late therefore meets a different count and is refused, and the
/// memory that an order needs is free at its count. An engine that starts again
/// under its id counts anew, so that memory for the orders of its earlier starts
/// that may still arrive stays free at any count.
class OrderScheduler
{
public:
  explicit OrderScheduler(OrderSchedulerLimits aLimits)
    : m_limits(aLimits)
  {
  }

  void SetSpec(operators::EngineSpec aSpec) { m_spec = std::move(aSpec); }
  /// Takes a new report of the engine.
  void OnReport(EngineReport aReport, base::Instant aNow);
  /// Requests a swap; ignored while an order for a model is in progress.
  void RequestSwap(base::ModelId const& aLoad, std::vector<base::ModelId> aUnload,
                   base::Instant aNow);
  void RequestAdapter(base::ModelId const& aModel, base::AdapterId const& aAdapter,
                      base::Instant aNow);

  /// The order to send now, if any; the caller fills in the holder and the
  /// fencing number.
  std::optional<EngineOrderRequest> Next(base::Instant aNow);
  void OnResponse(EngineOrderRequest const& aOrder, OrderResponse aResponse, base::Instant aNow);
  /// Called when the engine has been replaced by one under another id, which refuses
  /// the orders to the former.
  void OnReplaced();

  OrderSchedulerState State(base::Instant aNow) const;
  /// Returns the number of orders to earlier starts of the engine that may still
  /// arrive.
  std::size_t CountStrayOrders() const { return m_strayOrders.size(); }
  /// Returns the number of adapters that anything is kept of.
  std::size_t CountKnownAdapters() const
  {
    return m_requestedAdapters.size() + m_adapterUse.size();
  }
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
  struct UnansweredOrder
  {
    EngineOrderRequest m_order;
    base::Instant m_at;
  };
  using AdapterKey = std::pair<base::ModelId, base::AdapterId>;

  HeldModel const* Held(base::ModelId const& aModel) const;
  base::Megabytes Used() const;
  bool Fits(base::Megabytes aNeeded) const;
  /// Returns the weights that the stray orders load, without those of a model that is
  /// loaded anyway.
  base::Megabytes StrayWeights(std::optional<base::ModelId> const& aLoaded) const;
  std::size_t StrayAdapters() const;
  void DiscardExpired(base::Instant aNow);
  /// Keeps the latest use of the adapters that the engine holds.
  void UpdateAdapterUse(bool aIsFirstReport, base::Instant aNow);
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
  /// Orders without a response to the present start of the engine, and those to
  /// earlier ones.
  std::vector<UnansweredOrder> m_unansweredOrders;
  std::vector<UnansweredOrder> m_strayOrders;
  /// Adapters that requests wait for, with the time of the latest request.
  std::map<AdapterKey, base::Instant> m_requestedAdapters;
  /// When each adapter that the engine holds was last requested at this process.
  std::map<AdapterKey, base::Instant> m_adapterUse;
  /// When the engine began to execute its current order.
  base::Instant m_busySince{};
};

} // namespace sardinefold::engine
