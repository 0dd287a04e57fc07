#pragma once

#include "Engine/DemandTracker.h"
#include "Engine/EngineTypes.h"
#include "Engine/ReplicaKey.h"
#include "Operator/ServingCatalog.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinefold::engine {

struct PlannerLimits
{
  /// Loads from the weight store that run at full speed side by side.
  unsigned m_parallelStoreLoads = 4;
  /// An assignment that its engine has not taken up by then is lost.
  base::Duration m_acceptanceTimeout = std::chrono::milliseconds(400);
  /// Requests a second that one copy of a model serves within their goals: a
  /// prompt takes some 80 ms to read, and queued prompts hold up the tokens of
  /// others.
  double m_requestsPerSecond = 4;
  /// Requests at a time that one copy serves within their goals.
  double m_concurrentRequests = 16;
  /// A model is kept for this long after it was loaded, so that those who
  /// waited for it are served.
  base::Duration m_minimumResidency = std::chrono::milliseconds(1200);
};

/// An engine as its loader tells it.
struct PlannedEngine
{
  base::HostId m_loader;
  base::DeploymentId m_deployment;
  std::vector<HeldModel> m_models;
  WeightCopies m_copies;
  std::optional<base::ModelId> m_loading;
  base::Duration m_readyIn{};
  std::optional<base::ModelId> m_unloading;
};

/// A model for one engine to load, and what it may drop for it.
struct PlannedSwap
{
  base::HostId m_loader;
  base::ModelId m_load;
  std::vector<base::ModelId> m_unload;
  WeightTier m_tier = WeightTier::Remote;
};

/// Decides over all engines which models to load next. Waiting requests come
/// first, those whose goal can still be met before others; engines that have
/// the weights at hand go before those that must fetch them; the model that is
/// dropped is the one whose loss costs least. While nothing waits, models that
/// no engine has at hand are fetched, so that their first request finds them.
class SwapPlanner
{
public:
  explicit SwapPlanner(PlannerLimits aLimits)
    : m_limits(aLimits)
  {
  }

  void SetSpec(base::DeploymentId const& aDeployment, operators::EngineSpec aSpec);
  void OnEngine(PlannedEngine aEngine, base::Instant aNow);
  void RemoveEngine(base::HostId const& aLoader);
  /// The demand at one gateway. A complete account replaces what it said
  /// before; another one replaces what it said of the models named.
  void OnDemand(base::HostId const& aGateway, std::vector<WaitingDemand> const& aDemand,
                bool aIsComplete);
  void RemoveGateway(base::HostId const& aGateway);

  /// The swaps to ask for now. Those under way are not asked for again, unless
  /// the engine has not taken them up.
  std::vector<PlannedSwap> Plan(base::Instant aNow);

  /// When the models that a gateway's requests wait for are expected to be
  /// ready, by the plan made last.
  std::map<base::ModelId, base::Duration> ForecastsFor(base::HostId const& aGateway,
                                                       base::Instant aNow) const;

private:
  struct Engine
  {
    PlannedEngine m_status;
    base::Instant m_reportedAt{};
    std::optional<PlannedSwap> m_assigned;
    base::Instant m_assignedAt{};
    std::map<base::ModelId, base::Instant> m_loadedAt;
  };
  struct TotalDemand
  {
    unsigned m_waiting = 0;
    unsigned m_running = 0;
    double m_worth = 0;
    double m_rate = 0;
    double m_recentRate = 0;
    base::Duration m_timeToGoal{};
  };
  struct Option
  {
    Engine* m_engine = nullptr;
    PlannedSwap m_swap;
    double m_cost = 0;
  };

  void SumDemand();
  void CountCopies();
  void DropStaleAssignments(base::Instant aNow);
  bool IsFree(Engine const& aEngine) const;
  std::optional<base::Duration> TimeToReady(base::ModelId const& aModel, base::Instant aNow) const;
  base::Duration StoreLoadTime(base::ModelId const& aModel) const;
  bool IsBeingLoaded(base::ModelId const& aModel) const;
  bool IsLocalSomewhere(base::ModelId const& aModel) const;
  unsigned StoreLoads() const;
  WeightTier TierAt(Engine const& aEngine, base::ModelId const& aModel) const;
  base::Duration LoadTime(operators::EngineSpec const& aSpec, base::ModelId const& aModel,
                          WeightTier aTier) const;
  TotalDemand const& DemandOf(base::ModelId const& aModel) const;
  /// How many copies the demand for a model keeps busy.
  double RequiredCopies(base::ModelId const& aModel) const;
  double EvictionCost(Engine const& aEngine, base::ModelId const& aModel, base::Instant aNow) const;
  std::optional<Option> OptionAt(Engine& aEngine, base::ModelId const& aModel, bool aMayFetch,
                                 base::Instant aNow) const;
  std::optional<Option> BestOption(base::ModelId const& aModel, bool aMayFetch, base::Instant aNow);
  void Assign(Option aOption, std::vector<PlannedSwap>& aSwaps, base::Instant aNow);
  void ServeWaiting(std::vector<PlannedSwap>& aSwaps, base::Instant aNow);
  void Replicate(std::vector<PlannedSwap>& aSwaps, base::Instant aNow);
  void Prefetch(std::vector<PlannedSwap>& aSwaps, base::Instant aNow);

  PlannerLimits m_limits;
  std::map<base::DeploymentId, operators::EngineSpec> m_specs;
  std::map<base::HostId, Engine> m_engines;
  std::map<base::HostId, std::map<base::ModelId, WaitingDemand>> m_demand;
  std::map<base::ModelId, TotalDemand> m_totals;
  std::map<base::ModelId, unsigned> m_copies;
};

} // namespace sardinefold::engine
