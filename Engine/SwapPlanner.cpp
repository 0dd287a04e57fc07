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
/// Time of a swap from memory or disk, including the wait for running requests of the
/// unloaded model.
constexpr base::Duration kSwapTime = std::chrono::milliseconds(1500);

bool HoldsTheSame(PlannedEngine const& aOne, PlannedEngine const& aOther)
{
  return aOne.m_isLeaving == aOther.m_isLeaving && aOne.m_failureDomain == aOther.m_failureDomain &&
         aOne.m_copies.m_inMemory == aOther.m_copies.m_inMemory &&
         aOne.m_copies.m_onDisk == aOther.m_copies.m_onDisk &&
         std::ranges::equal(aOne.m_models, aOther.m_models, {}, &HeldModel::m_model,
                            &HeldModel::m_model);
}

} // namespace

void SwapPlanner::SetSpec(base::DeploymentId const& aDeployment, operators::EngineSpec aSpec)
{
  m_specs[aDeployment] = std::move(aSpec);
}

void SwapPlanner::OnEngine(PlannedEngine aEngine, base::Instant aNow)
{
  auto& engine = m_engines[aEngine.m_loader];
  bool const hasChanged = !HoldsTheSame(engine.m_status, aEngine);
  if (hasChanged) {
    CountLocalCopies(engine, -1);
  }
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
    if (isLoaded || IsGoing(aEngine)) {
      engine.m_assigned.reset();
    }
  }
  engine.m_status = std::move(aEngine);
  engine.m_reportedAt = aNow;
  engine.m_isSilent = false;
  if (hasChanged) {
    CountLocalCopies(engine, 1);
  }
}

void SwapPlanner::SetSilent(base::HostId const& aLoader)
{
  auto const found = m_engines.find(aLoader);
  if (found != m_engines.end()) {
    found->second.m_isSilent = true;
  }
}

void SwapPlanner::SetReporting(base::HostId const& aLoader)
{
  auto const found = m_engines.find(aLoader);
  if (found != m_engines.end()) {
    found->second.m_isSilent = false;
  }
}

void SwapPlanner::RemoveEngine(base::HostId const& aLoader)
{
  auto const found = m_engines.find(aLoader);
  if (found != m_engines.end()) {
    CountLocalCopies(found->second, -1);
    m_engines.erase(found);
  }
}

void SwapPlanner::SetEvacuated(std::set<base::FailureDomainId> aDomains)
{
  if (aDomains == m_evacuated) {
    return;
  }
  for (auto const& [loader, engine] : m_engines) {
    CountLocalCopies(engine, -1);
  }
  m_evacuated = std::move(aDomains);
  for (auto& [loader, engine] : m_engines) {
    CountLocalCopies(engine, 1);
    if (IsGoing(engine.m_status)) {
      engine.m_assigned.reset();
    }
  }
}

bool SwapPlanner::IsGoing(PlannedEngine const& aEngine) const
{
  return aEngine.m_isLeaving || m_evacuated.contains(aEngine.m_failureDomain);
}

void SwapPlanner::CountLocalCopies(Engine const& aEngine, int aSign)
{
  if (IsGoing(aEngine.m_status)) {
    return;
  }
  std::set<base::ModelId> models = aEngine.m_status.m_copies.m_inMemory;
  models.insert(aEngine.m_status.m_copies.m_onDisk.begin(),
                aEngine.m_status.m_copies.m_onDisk.end());
  for (auto const& held : aEngine.m_status.m_models) {
    models.insert(held.m_model);
  }
  for (auto const& model : models) {
    auto& count = m_localCopies[model];
    count = static_cast<unsigned>(static_cast<int>(count) + aSign);
  }
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

void SwapPlanner::OnVersionedDemand(base::HostId const& aGateway, VersionedDemand aDemand)
{
  m_versionedDemand[aGateway] = std::move(aDemand);
}

void SwapPlanner::RemoveGateway(base::HostId const& aGateway)
{
  m_demand.erase(aGateway);
  m_versionedDemand.erase(aGateway);
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
      bool const isGoing = IsGoing(engine.m_status) || engine.m_status.m_unloading == held.m_model;
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
  return !IsGoing(aEngine.m_status) && !aEngine.m_isSilent && !aEngine.m_assigned &&
         !aEngine.m_status.m_loading && !aEngine.m_status.m_unloading &&
         m_specs.contains(aEngine.m_status.m_deployment);
}

void SwapPlanner::CountLoads()
{
  m_arrivals.clear();
  m_storeLoads = 0;
  for (auto const& [loader, engine] : m_engines) {
    CountLoad(engine);
  }
}

void SwapPlanner::CountLoad(Engine const& aEngine)
{
  auto const& status = aEngine.m_status;
  auto const& loading =
    aEngine.m_assigned ? std::optional(aEngine.m_assigned->m_load) : status.m_loading;
  if (loading && TierAt(aEngine, *loading) == WeightTier::Remote) {
    ++m_storeLoads;
  }
  if (IsGoing(status)) {
    return;
  }
  if (status.m_loading) {
    auto& at = m_arrivals[*status.m_loading].m_at;
    auto const readyAt = aEngine.m_reportedAt + status.m_readyIn;
    at = std::min(at.value_or(readyAt), readyAt);
  }
  if (aEngine.m_assigned && aEngine.m_assigned->m_load != status.m_loading) {
    auto const& model = aEngine.m_assigned->m_load;
    auto& after = m_arrivals[model].m_after;
    auto const loadTime = LoadTime(m_specs.at(status.m_deployment), model, TierAt(aEngine, model));
    after = std::min(after.value_or(loadTime), loadTime);
  }
}

std::optional<base::Duration> SwapPlanner::TimeToReady(base::ModelId const& aModel,
                                                       base::Instant aNow) const
{
  auto const found = m_arrivals.find(aModel);
  if (found == m_arrivals.end()) {
    return std::nullopt;
  }
  auto const& arrival = found->second;
  auto earliest = arrival.m_after;
  if (arrival.m_at) {
    auto const remaining = std::max<base::Duration>(*arrival.m_at - aNow, base::Duration::zero());
    earliest = std::min(earliest.value_or(remaining), remaining);
  }
  return earliest;
}

bool SwapPlanner::IsBeingLoaded(base::ModelId const& aModel) const
{
  return m_arrivals.contains(aModel);
}

void SwapPlanner::CollectAwaitedFetches()
{
  m_awaitedFetches.clear();
  for (auto const& [model, total] : m_totals) {
    if (total.m_waiting > 0 && !IsBeingLoaded(model) && !IsCachedSomewhere(model)) {
      m_awaitedFetches.insert(model);
    }
  }
}

base::Duration SwapPlanner::StoreLoadTime(base::ModelId const& aModel) const
{
  // Loads from the store run a few at a time, in turn; all models that wait now
  // are assumed to be loaded first.
  auto const ahead = m_storeLoads + static_cast<unsigned>(m_awaitedFetches.size()) -
                     static_cast<unsigned>(m_awaitedFetches.count(aModel));
  unsigned const rounds = ahead / std::max(m_limits.m_parallelStoreLoads, 1U) + 1;
  return LoadTimeFromStore(aModel) * rounds;
}

std::map<base::ModelId, base::Duration> SwapPlanner::ForecastsFor(base::HostId const& aGateway,
                                                                  base::Instant aNow) const
{
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
  auto const found = m_localCopies.find(aModel);
  return found != m_localCopies.end() && found->second > 0;
}

bool SwapPlanner::IsHeldOnlyByLeaving(base::ModelId const& aModel) const
{
  auto const copies = m_copies.find(aModel);
  return copies != m_copies.end() && copies->second == 0 &&
         std::ranges::any_of(m_engines, [&](auto const& aItem) {
           return IsGoing(aItem.second.m_status) && aItem.second.m_loadedAt.contains(aModel);
         });
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

EngineRoom const& SwapPlanner::RoomAt(Engine& aEngine, base::Instant aNow) const
{
  if (aEngine.m_room) {
    return *aEngine.m_room;
  }
  auto const& spec = m_specs.at(aEngine.m_status.m_deployment);
  auto& room = aEngine.m_room.emplace();
  room.m_free = spec.m_weights;
  for (auto const& held : aEngine.m_status.m_models) {
    auto const model = spec.m_models.find(held.m_model);
    if (model == spec.m_models.end()) {
      room.m_isKnown = false;
      return room;
    }
    room.m_free -= model->second.m_weights +
                   model->second.m_adapterWeights * static_cast<double>(held.m_adapters.size());
    room.m_victims.push_back(
      { EvictionCost(aEngine, held.m_model, aNow), held.m_model, model->second.m_weights });
  }
  std::ranges::sort(room.m_victims, {}, &EngineRoom::Victim::m_cost);
  return room;
}

std::optional<SwapPlanner::Option> SwapPlanner::OptionAt(Engine& aEngine,
                                                         base::ModelId const& aModel,
                                                         bool aMayFetch, base::Instant aNow) const
{
  auto const tier = TierAt(aEngine, aModel);
  if (aEngine.m_loadedAt.contains(aModel) || (tier == WeightTier::Remote && !aMayFetch)) {
    return std::nullopt;
  }
  auto const& spec = m_specs.at(aEngine.m_status.m_deployment);
  auto const wanted = spec.m_models.find(aModel);
  if (wanted == spec.m_models.end()) {
    return std::nullopt;
  }
  auto const& room = RoomAt(aEngine, aNow);
  if (!room.m_isKnown) {
    return std::nullopt;
  }
  Option option{ &aEngine, { aEngine.m_status.m_loader, aModel, {}, tier }, 0 };
  auto free = room.m_free;
  option.m_cost = base::ToSeconds(LoadTime(spec, aModel, tier)) * 0.1;
  for (auto const& victim : room.m_victims) {
    if (free >= wanted->second.m_weights) {
      break;
    }
    free += victim.m_weights;
    option.m_cost += victim.m_cost;
    option.m_swap.m_unload.push_back(victim.m_model);
  }
  return free >= wanted->second.m_weights ? std::optional(std::move(option)) : std::nullopt;
}

std::optional<SwapPlanner::Option> SwapPlanner::BestOption(base::ModelId const& aModel,
                                                           bool aMayFetch, base::Instant aNow,
                                                           base::SoftwareVersion const* aVersion)
{
  std::optional<Option> best;
  for (auto& [loader, engine] : m_engines) {
    if (!IsFree(engine) || (aVersion && engine.m_status.m_version != *aVersion)) {
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
  CountLoad(*aOption.m_engine);
  for (auto const& victim : aOption.m_swap.m_unload) {
    auto& copies = m_copies[victim];
    copies -= copies > 0 ? 1 : 0;
    // Another copy of the victim costs more to evict now.
    for (auto& [loader, engine] : m_engines) {
      if (engine.m_room && engine.m_loadedAt.contains(victim)) {
        engine.m_room.reset();
      }
    }
  }
  aSwaps.push_back(std::move(aOption.m_swap));
}

bool SwapPlanner::IsProvided(VersionedModel const& aModel) const
{
  return std::ranges::any_of(m_engines, [&](auto const& aItem) {
    auto const& engine = aItem.second;
    auto const& status = engine.m_status;
    bool const isHeld =
      engine.m_loadedAt.contains(aModel.m_model) && status.m_unloading != aModel.m_model;
    bool const isComing = status.m_loading == aModel.m_model ||
                          (engine.m_assigned && engine.m_assigned->m_load == aModel.m_model);
    return status.m_version == aModel.m_version && !IsGoing(status) && (isHeld || isComing);
  });
}

void SwapPlanner::ServeStreams(std::vector<PlannedSwap>& aSwaps, base::Instant aNow)
{
  /// What a stream has brought so far is lost unless it goes on.
  constexpr double kBegunStreamWorth = 2;
  std::map<VersionedModel, unsigned> totals;
  for (auto const& [gateway, demand] : m_versionedDemand) {
    for (auto const& [model, waiting] : demand) {
      totals[model] += waiting;
    }
  }
  for (auto const& [model, waiting] : totals) {
    if (IsProvided(model)) {
      continue;
    }
    // Callers leave before a load from the weight store ends.
    auto option = BestOption(model.m_model, false, aNow, &model.m_version);
    if (option && option->m_cost < kBegunStreamWorth * waiting) {
      Assign(std::move(*option), aSwaps, aNow);
    }
  }
}

std::map<VersionedModel, base::Duration> SwapPlanner::VersionedForecastsFor(
  base::HostId const& aGateway, base::Instant aNow) const
{
  std::map<VersionedModel, base::Duration> forecasts;
  auto const found = m_versionedDemand.find(aGateway);
  if (found == m_versionedDemand.end()) {
    return forecasts;
  }
  for (auto const& [model, waiting] : found->second) {
    auto readyIn = LoadTimeFromStore(model.m_model);
    for (auto const& [loader, engine] : m_engines) {
      if (engine.m_status.m_version == model.m_version && !IsGoing(engine.m_status)) {
        readyIn = std::min(readyIn, TimeToReadyAt(engine, model.m_model, aNow));
      }
    }
    forecasts.emplace(model, readyIn);
  }
  return forecasts;
}

base::Duration SwapPlanner::TimeToReadyAt(Engine const& aEngine, base::ModelId const& aModel,
                                          base::Instant aNow) const
{
  auto const& status = aEngine.m_status;
  if (aEngine.m_loadedAt.contains(aModel) && status.m_unloading != aModel) {
    return base::Duration::zero();
  }
  if (status.m_loading == aModel) {
    return std::max<base::Duration>(aEngine.m_reportedAt + status.m_readyIn - aNow,
                                    base::Duration::zero());
  }
  auto const spec = m_specs.find(status.m_deployment);
  bool const isAssigned = aEngine.m_assigned && aEngine.m_assigned->m_load == aModel;
  bool const isBusy = status.m_loading || status.m_unloading || (aEngine.m_assigned && !isAssigned);
  auto const tier = TierAt(aEngine, aModel);
  if (spec == m_specs.end() || tier == WeightTier::Remote) {
    return LoadTimeFromStore(aModel);
  }
  auto const load = LoadTime(spec->second, aModel, tier);
  return isBusy ? load + kSwapTime : load;
}

base::Duration SwapPlanner::LoadTimeFromStore(base::ModelId const& aModel) const
{
  base::Duration load{};
  for (auto const& [deployment, spec] : m_specs) {
    load = std::max(load, LoadTime(spec, aModel, WeightTier::Remote));
  }
  return load;
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
    bool const mayFetch = !IsCachedSomewhere(model) && m_storeLoads < m_limits.m_parallelStoreLoads;
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
    auto option = BestOption(model, m_storeLoads < m_limits.m_parallelStoreLoads, aNow);
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
    // No engine has any of these models, so that what does not pay for one does not
    // pay for any that needs as much room.
    std::optional<base::Megabytes> tooLarge;
    for (auto const& [model, facts] : spec.m_models) {
      if (m_storeLoads >= m_limits.m_parallelStoreLoads) {
        return;
      }
      bool const isTooLarge = tooLarge && facts.m_weights >= *tooLarge;
      if (isTooLarge || IsBeingLoaded(model) || IsCachedSomewhere(model)) {
        continue;
      }
      auto option = BestOption(model, true, aNow);
      if (option &&
          option->m_cost < kPrefetchWorth + 0.1 * base::ToSeconds(facts.m_loadFromStore)) {
        Assign(std::move(*option), aSwaps, aNow);
      } else {
        tooLarge = std::min(tooLarge.value_or(facts.m_weights), facts.m_weights);
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
  CountLoads();
  for (auto& [loader, engine] : m_engines) {
    engine.m_room.reset();
  }
  // A request that the engine has not started may have been lost in transit.
  for (auto const& [loader, engine] : m_engines) {
    if (engine.m_assigned && engine.m_status.m_loading != engine.m_assigned->m_load) {
      swaps.push_back(*engine.m_assigned);
    }
  }
  ServeStreams(swaps, aNow);
  ServeWaiting(swaps, aNow);
  Replicate(swaps, aNow);
  Prefetch(swaps, aNow);
  CollectAwaitedFetches();
  return swaps;
}

} // namespace sardinefold::engine
