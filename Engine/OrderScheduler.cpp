#include "Engine/OrderScheduler.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace sardinefold::engine {

namespace {

using Operation = EngineOrderRequest::Operation;

} // namespace

void OrderScheduler::OnReport(EngineReport aReport, base::Instant aNow)
{
  bool const isRestart = m_report && (m_report->m_startedAt != aReport.m_startedAt ||
                                      aReport.m_orders < m_report->m_orders);
  if (isRestart) {
    m_swap.reset();
    m_sent.reset();
    std::ranges::move(m_unansweredOrders, std::back_inserter(m_strayOrders));
    m_unansweredOrders.clear();
  }
  DiscardExpired(aNow);
  if (m_sent && aReport.m_orders > m_sent->m_order.m_expected) {
    m_sent->m_isAccepted = true;
    if (!aReport.m_isBusy) {
      m_sent.reset();
    }
  }
  if (aReport.m_isBusy && (!m_report || !m_report->m_isBusy)) {
    m_busySince = aNow;
  }
  bool const isFirstReport = !m_report || isRestart;
  m_report = std::move(aReport);
  UpdateAdapterUse(isFirstReport, aNow);
  if (m_swap && Held(m_swap->m_load)) {
    m_swap.reset();
  }
}

void OrderScheduler::RequestSwap(base::ModelId const& aLoad, std::vector<base::ModelId> aUnload,
                                 base::Instant aNow)
{
  bool const isUnderWay = m_sent && !m_sent->m_order.m_adapter;
  if (isUnderWay || (m_swap && m_swap->m_load == aLoad)) {
    return;
  }
  m_swap = SwapPlan{ aLoad, std::move(aUnload), aNow };
}

void OrderScheduler::RequestAdapter(base::ModelId const& aModel, base::AdapterId const& aAdapter,
                                    base::Instant aNow)
{
  AdapterKey const key{ aModel, aAdapter };
  if (auto const use = m_adapterUse.find(key); use != m_adapterUse.end()) {
    use->second = aNow;
  }
  if (m_requestedAdapters.size() < m_limits.m_maximumRequested ||
      m_requestedAdapters.contains(key)) {
    m_requestedAdapters[key] = aNow;
  }
}

void OrderScheduler::UpdateAdapterUse(bool aIsFirstReport, base::Instant aNow)
{
  std::map<AdapterKey, base::Instant> use;
  for (auto const& held : m_report->m_models) {
    for (auto const& adapter : held.m_adapters) {
      AdapterKey const key{ held.m_model, adapter };
      auto const known = m_adapterUse.find(key);
      auto const requested = m_requestedAdapters.find(key);
      if (known != m_adapterUse.end()) {
        use[key] = known->second;
      } else if (requested != m_requestedAdapters.end()) {
        use[key] = requested->second;
      } else {
        // One that was loaded later was requested for that.
        use[key] = aIsFirstReport ? base::Instant{} : aNow;
      }
    }
  }
  m_adapterUse = std::move(use);
}

HeldModel const* OrderScheduler::Held(base::ModelId const& aModel) const
{
  if (!m_report) {
    return nullptr;
  }
  auto const found = std::ranges::find(m_report->m_models, aModel, &HeldModel::m_model);
  return found == m_report->m_models.end() ? nullptr : &*found;
}

base::Megabytes OrderScheduler::Used() const
{
  base::Megabytes used;
  for (auto const& held : m_report->m_models) {
    auto const model = m_spec->m_models.find(held.m_model);
    if (model == m_spec->m_models.end()) {
      // The size of the model is unknown, so nothing else may be loaded.
      return m_spec->m_weights;
    }
    used += model->second.m_weights;
    used += model->second.m_adapterWeights * static_cast<double>(held.m_adapters.size());
  }
  base::Megabytes largestAdapter;
  for (auto const& [id, model] : m_spec->m_models) {
    largestAdapter = std::max(largestAdapter, model.m_adapterWeights);
  }
  used += largestAdapter * static_cast<double>(m_report->m_arrivingAdapters);
  return used;
}

bool OrderScheduler::Fits(base::Megabytes aNeeded) const
{
  return Used() + aNeeded <= m_spec->m_weights;
}

base::Megabytes OrderScheduler::StrayWeights(std::optional<base::ModelId> const& aLoaded) const
{
  std::set<base::ModelId> models;
  base::Megabytes weights;
  for (auto const& [order, at] : m_strayOrders) {
    auto const model = m_spec->m_models.find(order.m_model);
    if (order.m_operation != Operation::Load || model == m_spec->m_models.end()) {
      continue;
    }
    if (order.m_adapter) {
      weights += model->second.m_adapterWeights;
    } else if (order.m_model != aLoaded && !Held(order.m_model) &&
               models.insert(order.m_model).second) {
      weights += model->second.m_weights;
    }
  }
  return weights;
}

std::size_t OrderScheduler::StrayAdapters() const
{
  return static_cast<std::size_t>(std::ranges::count_if(m_strayOrders, [](auto const& aItem) {
    return aItem.m_order.m_adapter && aItem.m_order.m_operation == Operation::Load;
  }));
}

void OrderScheduler::DiscardExpired(base::Instant aNow)
{
  for (auto* const orders : { &m_unansweredOrders, &m_strayOrders }) {
    std::erase_if(*orders,
                  [&](auto const& aItem) { return aNow - aItem.m_at >= m_limits.m_lateOrderTime; });
  }
}

void OrderScheduler::OnReplaced()
{
  m_unansweredOrders.clear();
  m_strayOrders.clear();
}

base::Duration OrderScheduler::LoadTime(base::ModelId const& aModel) const
{
  auto const model = m_spec->m_models.find(aModel);
  if (model == m_spec->m_models.end()) {
    return {};
  }
  if (m_report->m_copies.m_inMemory.contains(aModel)) {
    return model->second.m_loadFromMemory;
  }
  if (m_report->m_copies.m_onDisk.contains(aModel)) {
    return model->second.m_loadFromDisk;
  }
  return model->second.m_loadFromStore;
}

EngineOrderRequest OrderScheduler::MakeOrder(Operation aOperation, base::ModelId const& aModel,
                                             std::optional<base::AdapterId> aAdapter) const
{
  EngineOrderRequest order;
  order.m_operation = aOperation;
  order.m_model = aModel;
  order.m_adapter = std::move(aAdapter);
  order.m_expected = m_report->m_orders;
  return order;
}

bool OrderScheduler::IsAwaitingResponse(base::Instant aNow) const
{
  return m_sent && !m_sent->m_isAccepted && aNow - m_sent->m_sentAt < m_limits.m_responseTimeout;
}

std::optional<EngineOrderRequest> OrderScheduler::Next(base::Instant aNow)
{
  if (!m_report || !m_spec || IsAwaitingResponse(aNow)) {
    return std::nullopt;
  }
  auto order = NextAdapterOrder(aNow);
  if (!order) {
    order = NextSwapOrder(aNow);
  }
  if (order) {
    m_sent = SentOrder{ *order, aNow };
  }
  return order;
}

std::optional<EngineOrderRequest> OrderScheduler::NextSwapOrder(base::Instant aNow)
{
  if (m_swap && aNow - m_swap->m_since > m_limits.m_swapTimeout) {
    m_swap.reset();
  }
  if (!m_swap || m_report->m_isBusy || (m_sent && m_sent->m_isAccepted)) {
    return std::nullopt;
  }
  auto const model = m_spec->m_models.find(m_swap->m_load);
  if (model == m_spec->m_models.end()) {
    m_swap.reset();
    return std::nullopt;
  }
  if (Fits(model->second.m_weights)) {
    if (!Fits(model->second.m_weights + StrayWeights(m_swap->m_load))) {
      return std::nullopt;
    }
    return MakeOrder(Operation::Load, m_swap->m_load, std::nullopt);
  }
  for (auto const& victim : m_swap->m_unload) {
    if (Held(victim)) {
      return MakeOrder(Operation::Unload, victim, std::nullopt);
    }
  }
  m_swap.reset();
  return std::nullopt;
}

std::optional<EngineOrderRequest> OrderScheduler::NextAdapterOrder(base::Instant aNow)
{
  // The engine accepts four at a time; a lower limit leaves room for late
  // orders.
  constexpr unsigned kMaximumArriving = 3;
  std::erase_if(m_requestedAdapters, [&](auto const& aItem) {
    auto const* const held = Held(aItem.first.first);
    bool const isOver = aNow - aItem.second > m_limits.m_adapterTimeout;
    return isOver || !held || held->m_adapters.contains(aItem.first.second);
  });
  if (m_requestedAdapters.empty() || m_report->m_arrivingAdapters >= kMaximumArriving) {
    return std::nullopt;
  }
  bool const isLoadingModel =
    m_sent && !m_sent->m_order.m_adapter && m_sent->m_order.m_operation == Operation::Load;
  auto const& [model, adapter] = m_requestedAdapters.begin()->first;
  auto const spec = m_spec->m_models.find(model);
  if (spec == m_spec->m_models.end() || isLoadingModel || m_report->m_isBusy) {
    // NOTE: reports do not include the memory of a model that is being loaded,
    // so adapters wait until it is loaded.
    return std::nullopt;
  }
  std::size_t adapters = m_report->m_arrivingAdapters;
  for (auto const& held : m_report->m_models) {
    adapters += held.m_adapters.size();
  }
  if (adapters >= m_spec->m_adapterSlots || !Fits(spec->second.m_adapterWeights)) {
    return UnloadOldestAdapter();
  }
  if (adapters + StrayAdapters() >= m_spec->m_adapterSlots ||
      !Fits(spec->second.m_adapterWeights + StrayWeights(std::nullopt))) {
    return std::nullopt;
  }
  return MakeOrder(Operation::Load, model, adapter);
}

std::optional<EngineOrderRequest> OrderScheduler::UnloadOldestAdapter() const
{
  std::optional<AdapterKey> oldest;
  base::Instant oldestUse{};
  for (auto const& held : m_report->m_models) {
    for (auto const& adapter : held.m_adapters) {
      AdapterKey const key{ held.m_model, adapter };
      auto const use = m_adapterUse.find(key);
      auto const usedAt = use == m_adapterUse.end() ? base::Instant{} : use->second;
      if (!oldest || usedAt < oldestUse) {
        oldest = key;
        oldestUse = usedAt;
      }
    }
  }
  if (!oldest) {
    return std::nullopt;
  }
  return MakeOrder(Operation::Unload, oldest->first, oldest->second);
}

void OrderScheduler::OnResponse(EngineOrderRequest const& aOrder, OrderResponse aResponse,
                                base::Instant aNow)
{
  bool const isOfThisStart = m_sent && m_sent->m_order.m_expected == aOrder.m_expected;
  if (aResponse == OrderResponse::Unknown) {
    (isOfThisStart ? m_unansweredOrders : m_strayOrders).push_back({ aOrder, aNow });
  }
  if (!isOfThisStart) {
    return;
  }
  switch (aResponse) {
    case OrderResponse::Accepted:
      m_sent->m_isAccepted = true;
      return;
    case OrderResponse::AlreadyHolds:
    case OrderResponse::Conflict:
      // The next report shows the engine's state.
      m_sent.reset();
      return;
    case OrderResponse::WrongEngine:
    case OrderResponse::Rejected:
      m_sent.reset();
      m_swap.reset();
      return;
    case OrderResponse::Unknown:
      return;
  }
}

OrderSchedulerState OrderScheduler::State(base::Instant aNow) const
{
  OrderSchedulerState state;
  if (!m_report || !m_spec) {
    return state;
  }
  bool const isModelOrder = m_sent && !m_sent->m_order.m_adapter;
  if (isModelOrder && m_sent->m_order.m_operation == Operation::Unload) {
    state.m_unloading = m_sent->m_order.m_model;
  }
  if (m_swap) {
    auto const since =
      isModelOrder && m_sent->m_order.m_operation == Operation::Load ? m_sent->m_sentAt : aNow;
    state.m_loading = m_swap->m_load;
    state.m_readyAt = std::max(aNow, since + LoadTime(m_swap->m_load));
  } else if (isModelOrder && m_sent->m_order.m_operation == Operation::Load) {
    state.m_loading = m_sent->m_order.m_model;
    state.m_readyAt = std::max(aNow, m_sent->m_sentAt + LoadTime(m_sent->m_order.m_model));
  }
  return state;
}

} // namespace sardinefold::engine
