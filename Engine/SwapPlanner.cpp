#include "Engine/SwapPlanner.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::engine {

namespace {

/// Credit of a typical request for a rare model, against which the cost of
/// evicting a model is weighed.
constexpr double kTypicalRequestWorth = 1;
/// Delay for requests to an evicted model: the wait for a free engine and the
/// swap back.
constexpr double kReloadDelaySeconds = 3;
/// Eviction cost of each running request, which has to finish before the engine
/// can unload the model.
constexpr double kRunningRequestCost = 0.4;
/// Cost of each copy that the demand needs and no engine has.
constexpr double kMissingCopyCost = 1.5;

} // namespace

void SwapPlanner::SetSpec(base::DeploymentId const& aDeployment, operators::EngineSpec aSpec)
{
  m_specs[aDeployment] = std::move(aSpec);
}

void SwapPlanner::OnEngine(PlannedEngine aEngine, base::Instant aNow)
{
  auto& engine = m_engines[aEngine.m_loader];
  std::map<base::ModelId, base::Instant> loadedAt;
  for (auto const& held : aEngine.m_models) {
    auto const before = engine.m_loadedAt.find(held.m_model);
    loadedAt[held.m_model] = before == engine.m_loadedAt.end() ? aNow : before->second;
  }
  engine.m_loadedAt = std::move(loadedAt);
  if (engine.m_assigned) {
    bool const isAccepted = aEngine.m_loading == engine.m_assigned->m_load;
    bool const isLoaded = engine.m_loadedAt.contains(engine.m_assigned->m_load);
    if (isAccepted) {
      engine.m_assignedAt = aNow;
    }
    if (isLoaded || aEngine.m_isLeaving) {
      engine.m_assigned.reset();
    }
  }
  engine.m_status = std::move(aEngine);
  engine.m_reportedAt = aNow;
}

void SwapPlanner::RemoveEngine(base::HostId const& aLoader)
{
  m_engines.erase(aLoader);
}

void SwapPlanner::OnDemand(base::HostId const& aGateway, std::vector<WaitingDemand> const& aDemand,
                           bool aIsComplete)
{
  auto& known = m_demand[aGateway];
  if (aIsComplete) {
    known.clear();
  }
  for (auto const& demand : aDemand) {
    known.insert_or_assign(demand.m_model, demand);
  }
}

void SwapPlanner::RemoveGateway(base::HostId const& aGateway)
{
  m_demand.erase(aGateway);
}

void SwapPlanner::SumDemand()
{
  m_totals.clear();
  for (auto const& [gateway, demands] : m_demand) {
    for (auto const& [model, demand] : demands) {
      auto& total = m_totals[demand.m_model];
      bool const isEarlier = total.m_waiting == 0 || demand.m_timeToGoal < total.m_timeToGoal;
      if (demand.m_waiting > 0 && isEarlier) {
        total.m_timeToGoal = demand.m_timeToGoal;
      }
      total.m_waiting += demand.m_waiting;
      total.m_running += demand.m_running;
      total.m_worth += demand.m_worth;
      total.m_rate += demand.m_rate;
      total.m_recentRate += demand.m_recentRate;
    }
  }
}

void SwapPlanner::CountCopies()
{
  m_copies.clear();
  for (auto const& [loader, engine] : m_engines) {
    for (auto const& held : engine.m_status.m_models) {
      bool const isGoing =
        engine.m_status.m_isLeaving || engine.m_status.m_unloading == held.m_model;
      m_copies[held.m_model] += isGoing ? 0 : 1;
    }
  }
}

void SwapPlanner::DropStaleAssignments(base::Instant aNow)
{
  for (auto& [loader, engine] : m_engines) {
    if (engine.m_assigned && aNow - engine.m_assignedAt > m_limits.m_acceptanceTimeout) {
      engine.m_assigned.reset();
    }
  }
}

bool SwapPlanner::IsFree(Engine const& aEngine) const
{
  return !aEngine.m_status.m_isLeaving && !aEngine.m_assigned && !aEngine.m_status.m_loading &&
         !aEngine.m_status.m_unloading && m_specs.contains(aEngine.m_status.m_deployment);
}

std::optional<base::Duration> SwapPlanner::TimeToReady(base::ModelId const& aModel,
                                                       base::Instant aNow) const
{
  std::optional<base::Duration> earliest;
  for (auto const& [loader, engine] : m_engines) {
    std::optional<base::Duration> arrival;
    if (engine.m_status.m_isLeaving) {
      continue;
    }
    if (engine.m_status.m_loading == aModel) {
      arrival = std::max<base::Duration>(engine.m_reportedAt + engine.m_status.m_readyIn - aNow,
                                         base::Duration::zero());
    } else if (engine.m_assigned && engine.m_assigned->m_load == aModel) {
      arrival = LoadTime(m_specs.at(engine.m_status.m_deployment), aModel, TierAt(engine, aModel));
    }
    if (arrival && (!earliest || *arrival < *earliest)) {
      earliest = arrival;
    }
  }
  return earliest;
}

bool SwapPlanner::IsBeingLoaded(base::ModelId const& aModel) const
{
  return TimeToReady(aModel, {}).has_value();
}

base::Duration SwapPlanner::StoreLoadTime(base::ModelId const& aModel) const
{
  // Loads from the store run a few at a time, in turn; all models that wait now
  // are assumed to be loaded first.
  unsigned ahead = StoreLoads();
  for (auto const& [model, total] : m_totals) {
    bool const isFetched =
      total.m_waiting > 0 && model != aModel && !IsBeingLoaded(model) && !IsCachedSomewhere(model);
    ahead += isFetched ? 1 : 0;
  }
  unsigned const rounds = ahead / std::max(m_limits.m_parallelStoreLoads, 1U) + 1;
  base::Duration load{};
  for (auto const& [deployment, spec] : m_specs) {
    load = std::max(load, LoadTime(spec, aModel, WeightTier::Remote));
  }
  return load * rounds;
}

std::map<base::ModelId, base::Duration> SwapPlanner::ForecastsFor(base::HostId const& aGateway,
                                                                  base::Instant aNow) const
{
  /// Time of a swap from memory or disk, including the wait for running
  /// requests of the unloaded model.
  constexpr base::Duration kSwapTime = std::chrono::milliseconds(1500);
  std::map<base::ModelId, base::Duration> forecasts;
  auto const found = m_demand.find(aGateway);
  if (found == m_demand.end()) {
    return forecasts;
  }
  for (auto const& [model, demand] : found->second) {
    if (demand.m_waiting == 0) {
      continue;
    }
    if (auto const arrival = TimeToReady(model, aNow)) {
      forecasts.emplace(model, *arrival);
    } else {
      forecasts.emplace(model, IsCachedSomewhere(model) ? kSwapTime : StoreLoadTime(model));
    }
  }
  return forecasts;
}

bool SwapPlanner::IsCachedSomewhere(base::ModelId const& aModel) const
{
  return std::ranges::any_of(m_engines, [&](auto const& aItem) {
    return !aItem.second.m_status.m_isLeaving &&
           (aItem.second.m_loadedAt.contains(aModel) ||
            TierAt(aItem.second, aModel) != WeightTier::Remote);
  });
}

bool SwapPlanner::IsHeldOnlyByLeaving(base::ModelId const& aModel) const
{
  auto const copies = m_copies.find(aModel);
  return copies != m_copies.end() && copies->second == 0 &&
         std::ranges::any_of(m_engines, [&](auto const& aItem) {
           return aItem.second.m_status.m_isLeaving && aItem.second.m_loadedAt.contains(aModel);
         });
}

unsigned SwapPlanner::StoreLoads() const
{
  return static_cast<unsigned>(std::ranges::count_if(m_engines, [&](auto const& aItem) {
    auto const& engine = aItem.second;
    auto const& loading =
      engine.m_assigned ? std::optional(engine.m_assigned->m_load) : engine.m_status.m_loading;
    return loading && TierAt(engine, *loading) == WeightTier::Remote;
  }));
}

WeightTier SwapPlanner::TierAt(Engine const& aEngine, base::ModelId const& aModel) const
{
  if (aEngine.m_status.m_copies.m_inMemory.contains(aModel)) {
    return WeightTier::HostMemory;
  }
  return aEngine.m_status.m_copies.m_onDisk.contains(aModel) ? WeightTier::Disk
                                                             : WeightTier::Remote;
}

base::Duration SwapPlanner::LoadTime(operators::EngineSpec const& aSpec,
                                     base::ModelId const& aModel, WeightTier aTier) const
{
  auto const found = aSpec.m_models.find(aModel);
  if (found == aSpec.m_models.end()) {
    return {};
  }
  switch (aTier) {
    case WeightTier::HostMemory:
      return found->second.m_loadFromMemory;
    case WeightTier::Disk:
      return found->second.m_loadFromDisk;
    case WeightTier::Remote:
      break;
  }
  return found->second.m_loadFromStore;
}

SwapPlanner::TotalDemand const& SwapPlanner::DemandOf(base::ModelId const& aModel) const
{
  static TotalDemand const kNone;
  auto const found = m_totals.find(aModel);
  return found == m_totals.end() ? kNone : found->second;
}

double SwapPlanner::RequiredCopies(base::ModelId const& aModel) const
{
  auto const& demand = DemandOf(aModel);
  return std::max(std::max(demand.m_rate, demand.m_recentRate) / m_limits.m_requestsPerSecond,
                  demand.m_running / m_limits.m_concurrentRequests);
}

double SwapPlanner::EvictionCost(Engine const& aEngine, base::ModelId const& aModel,
                                 base::Instant aNow) const
{
  auto const& demand = DemandOf(aModel);
  auto const copies = m_copies.find(aModel);
  double const count = copies == m_copies.end() ? 1 : std::max(copies->second, 1U);
  double loss = kRunningRequestCost * demand.m_running / count;
  if (count > 1) {
    loss += std::max(0.0, RequiredCopies(aModel) - (count - 1)) * kMissingCopyCost;
  } else {
    loss += demand.m_rate * kReloadDelaySeconds * kTypicalRequestWorth + demand.m_worth;
  }
  auto const loadedAt = aEngine.m_loadedAt.find(aModel);
  bool const isNew =
    loadedAt != aEngine.m_loadedAt.end() && aNow - loadedAt->second < m_limits.m_minimumResidency;
  return isNew ? loss + 1 : loss;
}

std::optional<SwapPlanner::Option> SwapPlanner::OptionAt(Engine& aEngine,
                                                         base::ModelId const& aModel,
                                                         bool aMayFetch, base::Instant aNow) const
{
  auto const& spec = m_specs.at(aEngine.m_status.m_deployment);
  auto const wanted = spec.m_models.find(aModel);
  auto const tier = TierAt(aEngine, aModel);
  if (wanted == spec.m_models.end() || aEngine.m_loadedAt.contains(aModel) ||
      (tier == WeightTier::Remote && !aMayFetch)) {
    return std::nullopt;
  }
  Option option{ &aEngine, { aEngine.m_status.m_loader, aModel, {}, tier }, 0 };
  base::Megabytes free = spec.m_weights;
  std::vector<std::pair<double, HeldModel const*>> victims;
  for (auto const& held : aEngine.m_status.m_models) {
    auto const model = spec.m_models.find(held.m_model);
    if (model == spec.m_models.end()) {
      return std::nullopt;
    }
    free -= model->second.m_weights +
            model->second.m_adapterWeights * static_cast<double>(held.m_adapters.size());
    victims.emplace_back(EvictionCost(aEngine, held.m_model, aNow), &held);
  }
  std::ranges::sort(victims, {}, [](auto const& aVictim) { return aVictim.first; });
  option.m_cost = base::ToSeconds(LoadTime(spec, aModel, tier)) * 0.1;
  for (auto const& [loss, held] : victims) {
    if (free >= wanted->second.m_weights) {
      break;
    }
    free += spec.m_models.at(held->m_model).m_weights;
    option.m_cost += loss;
    option.m_swap.m_unload.push_back(held->m_model);
  }
  return free >= wanted->second.m_weights ? std::optional(std::move(option)) : std::nullopt;
}

std::optional<SwapPlanner::Option> SwapPlanner::BestOption(base::ModelId const& aModel,
                                                           bool aMayFetch, base::Instant aNow)
{
  std::optional<Option> best;
  for (auto& [loader, engine] : m_engines) {
    if (!IsFree(engine)) {
      continue;
    }
    auto option = OptionAt(engine, aModel, aMayFetch, aNow);
    if (option && (!best || option->m_cost < best->m_cost)) {
      best = std::move(option);
    }
  }
  return best;
}

void SwapPlanner::Assign(Option aOption, std::vector<PlannedSwap>& aSwaps, base::Instant aNow)
{
  aOption.m_engine->m_assigned = aOption.m_swap;
  aOption.m_engine->m_assignedAt = aNow;
  for (auto const& victim : aOption.m_swap.m_unload) {
    auto& copies = m_copies[victim];
    copies -= copies > 0 ? 1 : 0;
  }
  aSwaps.push_back(std::move(aOption.m_swap));
}

void SwapPlanner::ServeWaiting(std::vector<PlannedSwap>& aSwaps, base::Instant aNow)
{
  std::vector<std::pair<double, base::ModelId>> order;
  for (auto const& [model, total] : m_totals) {
    bool const isWanted = total.m_waiting > 0 || IsHeldOnlyByLeaving(model);
    if (isWanted && !IsBeingLoaded(model) && m_copies[model] == 0) {
      // Requests whose goal has passed rank behind those whose goal can still
      // be met.
      bool const isAhead = total.m_timeToGoal > base::Duration::zero();
      order.emplace_back(total.m_worth * (isAhead ? 1.0 : 0.3), model);
    }
  }
  std::ranges::sort(order, std::greater<>());
  for (auto const& [worth, model] : order) {
    bool const mayFetch = !IsCachedSomewhere(model) && StoreLoads() < m_limits.m_parallelStoreLoads;
    auto option = BestOption(model, mayFetch, aNow);
    if (option && option->m_cost < worth + DemandOf(model).m_rate * kReloadDelaySeconds) {
      Assign(std::move(*option), aSwaps, aNow);
    }
  }
}

void SwapPlanner::Replicate(std::vector<PlannedSwap>& aSwaps, base::Instant aNow)
{
  std::vector<std::pair<double, base::ModelId>> order;
  for (auto const& [model, total] : m_totals) {
    double const missingCopies = RequiredCopies(model) - m_copies[model];
    if (missingCopies > 0 && m_copies[model] > 0 && !IsBeingLoaded(model)) {
      order.emplace_back(missingCopies * kMissingCopyCost, model);
    }
  }
  std::ranges::sort(order, std::greater<>());
  for (auto const& [gain, model] : order) {
    auto option = BestOption(model, StoreLoads() < m_limits.m_parallelStoreLoads, aNow);
    if (option && option->m_cost < gain) {
      Assign(std::move(*option), aSwaps, aNow);
    }
  }
}

void SwapPlanner::Prefetch(std::vector<PlannedSwap>& aSwaps, base::Instant aNow)
{
  /// Expected credit of the first request for a model that has not been
  /// requested so far.
  constexpr double kPrefetchWorth = 0.3;
  for (auto const& [deployment, spec] : m_specs) {
    for (auto const& [model, facts] : spec.m_models) {
      if (StoreLoads() >= m_limits.m_parallelStoreLoads) {
        return;
      }
      if (IsBeingLoaded(model) || IsCachedSomewhere(model)) {
        continue;
      }
      auto option = BestOption(model, true, aNow);
      if (option &&
          option->m_cost < kPrefetchWorth + 0.1 * base::ToSeconds(facts.m_loadFromStore)) {
        Assign(std::move(*option), aSwaps, aNow);
      }
    }
  }
}

std::vector<PlannedSwap> SwapPlanner::Plan(base::Instant aNow)
{
  std::vector<PlannedSwap> swaps;
  SumDemand();
  CountCopies();
  DropStaleAssignments(aNow);
  // A request that the engine has not started may have been lost in transit.
  for (auto const& [loader, engine] : m_engines) {
    if (engine.m_assigned && engine.m_status.m_loading != engine.m_assigned->m_load) {
      swaps.push_back(*engine.m_assigned);
    }
  }
  ServeWaiting(swaps, aNow);
  Replicate(swaps, aNow);
  Prefetch(swaps, aNow);
  return swaps;
}

} // namespace sardinefold::engine
