#pragma once

#include "Engine/DemandTracker.h"
#include "Engine/EngineTypes.h"
#include "Engine/ReplicaKey.h"
#include "Operator/ServingCatalog.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinefold::engine {

struct PlannerLimits
{
  /// Maximum number of concurrent loads from the weight store at which each
  /// runs at full speed.
  unsigned m_parallelStoreLoads = 4;
  /// An assignment that its engine has not started within this time is taken to
  /// be lost.
  base::Duration m_acceptanceTimeout = std::chrono::milliseconds(400);
  /// Requests per second that one copy of a model serves within their goals:
  /// the prefill of a prompt takes some 80 ms, and queued prompts delay the
  /// tokens of other requests.
  double m_requestsPerSecond = 4;
  /// Concurrent requests that one copy of a model serves within their goals.
  double m_concurrentRequests = 16;
  /// A model is kept for this long after it was loaded, so that the requests
  /// that waited for it are served.
  base::Duration m_minimumResidency = std::chrono::milliseconds(1200);
};

/// The state of an engine as reported by its loader.
struct PlannedEngine
{
  base::HostId m_loader;
  base::DeploymentId m_deployment;
  std::vector<HeldModel> m_models;
  WeightCopies m_copies;
  std::optional<base::ModelId> m_loading;
  base::Duration m_readyIn{};
  std::optional<base::ModelId> m_unloading;
  /// Whether the engine will exit soon: it gets no models, and those that it holds
  /// are to be loaded elsewhere.
  bool m_isLeaving = false;
  base::FailureDomainId m_failureDomain;
  base::SoftwareVersion m_version{};
};

/// A model for one engine to load, and the models that it may unload to make
/// room.
struct PlannedSwap
{
  base::HostId m_loader;
  base::ModelId m_load;
  std::vector<base::ModelId> m_unload;
  WeightTier m_tier = WeightTier::Remote;
};

/// What an engine can make room for.
struct EngineRoom
{
  struct Victim
  {
    double m_cost = 0;
    base::ModelId m_model;
    base::Megabytes m_weights;
  };

  /// False if the engine holds a model whose size is unknown.
  bool m_isKnown = true;
  base::Megabytes m_free;
  /// By rising cost of their eviction.
  std::vector<Victim> m_victims;
};

/// Decides for all engines which models to load next. Waiting requests come
/// first, those whose goal can still be met before the others. Engines that
/// have the weights in memory or on disk are preferred to engines that must
/// fetch them. The models to unload are those whose eviction costs least.
/// Models that no engine has locally are prefetched, so that their first
/// request need not wait for the weight store.
class SwapPlanner
{
public:
  explicit SwapPlanner(PlannerLimits aLimits)
    : m_limits(aLimits)
  {
  }

  void SetSpec(base::DeploymentId const& aDeployment, operators::EngineSpec aSpec);
  void OnEngine(PlannedEngine aEngine, base::Instant aNow);
  /// The loader has not reported for some time. Its engine gets no new swaps, but what
  /// it holds and loads still counts, as it may only be unable to report.
  void SetSilent(base::HostId const& aLoader);
  /// The loader's last status still holds.
  void SetReporting(base::HostId const& aLoader);
  void RemoveEngine(base::HostId const& aLoader);
  /// The engines of these failure domains get no models, and those that they hold are to
  /// be loaded elsewhere.
  void SetEvacuated(std::set<base::FailureDomainId> aDomains);
  /// Takes the demand at one gateway. A complete report replaces all its
  /// earlier reports; a partial one replaces only the entries of the models
  /// that it contains.
  void OnDemand(base::HostId const& aGateway, std::vector<WaitingDemand> const& aDemand,
                bool aIsComplete);
  /// Takes which streams at one gateway wait for a model at engines of their version.
  void OnVersionedDemand(base::HostId const& aGateway, VersionedDemand aDemand);
  void RemoveGateway(base::HostId const& aGateway);

  /// Returns the swaps to request now. A swap in progress is returned again
  /// only if the engine has not started it.
  std::vector<PlannedSwap> Plan(base::Instant aNow);

  /// Expected times until the models that a gateway's requests wait for are
  /// ready, according to the latest plan.
  std::map<base::ModelId, base::Duration> ForecastsFor(base::HostId const& aGateway,
                                                       base::Instant aNow) const;

  std::map<VersionedModel, base::Duration> VersionedForecastsFor(base::HostId const& aGateway,
                                                                 base::Instant aNow) const;

private:
  struct Engine
  {
    PlannedEngine m_status;
    base::Instant m_reportedAt{};
    std::optional<PlannedSwap> m_assigned;
    base::Instant m_assignedAt{};
    std::map<base::ModelId, base::Instant> m_loadedAt;
    bool m_isSilent = false;
    /// Computed when a plan first looks at the engine.
    std::optional<EngineRoom> m_room;
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

  /// Whether the engine is to be relied on for nothing, as it leaves or its failure
  /// domain is evacuated.
  bool IsGoing(PlannedEngine const& aEngine) const;
  void SumDemand();
  void CountCopies();
  /// Records what the engines load, for the plan that begins.
  void CountLoads();
  void CountLoad(Engine const& aEngine);
  /// Adds an engine's local copies of weights to the counts of the fleet, or
  /// subtracts them.
  void CountLocalCopies(Engine const& aEngine, int aSign);
  /// Collects the models that wait for a load from the weight store.
  void CollectAwaitedFetches();
  void DropStaleAssignments(base::Instant aNow);
  bool IsFree(Engine const& aEngine) const;
  std::optional<base::Duration> TimeToReady(base::ModelId const& aModel, base::Instant aNow) const;
  /// Time until the engine holds the model, if it were to load it now.
  base::Duration TimeToReadyAt(Engine const& aEngine, base::ModelId const& aModel,
                               base::Instant aNow) const;
  base::Duration LoadTimeFromStore(base::ModelId const& aModel) const;
  /// The same, with the loads that are ahead of it.
  base::Duration StoreLoadTime(base::ModelId const& aModel) const;
  bool IsBeingLoaded(base::ModelId const& aModel) const;
  bool IsHeldOnlyByLeaving(base::ModelId const& aModel) const;
  bool IsCachedSomewhere(base::ModelId const& aModel) const;
  WeightTier TierAt(Engine const& aEngine, base::ModelId const& aModel) const;
  base::Duration LoadTime(operators::EngineSpec const& aSpec, base::ModelId const& aModel,
                          WeightTier aTier) const;
  TotalDemand const& DemandOf(base::ModelId const& aModel) const;
  /// Number of copies needed to serve the demand for a model.
  double RequiredCopies(base::ModelId const& aModel) const;
  EngineRoom const& RoomAt(Engine& aEngine, base::Instant aNow) const;
  double EvictionCost(Engine const& aEngine, base::ModelId const& aModel, base::Instant aNow) const;
  std::optional<Option> OptionAt(Engine& aEngine, base::ModelId const& aModel, bool aMayFetch,
                                 base::Instant aNow) const;
  /// Only engines of aVersion count, if it is given.
  std::optional<Option> BestOption(base::ModelId const& aModel, bool aMayFetch, base::Instant aNow,
                                   base::SoftwareVersion const* aVersion = nullptr);
  /// Whether an engine of the version holds the model or is about to.
  bool IsProvided(VersionedModel const& aModel) const;
  /// Loads what streams wait for that only engines of one version may continue.
  void ServeStreams(std::vector<PlannedSwap>& aSwaps, base::Instant aNow);
  void Assign(Option aOption, std::vector<PlannedSwap>& aSwaps, base::Instant aNow);
  void ServeWaiting(std::vector<PlannedSwap>& aSwaps, base::Instant aNow);
  void Replicate(std::vector<PlannedSwap>& aSwaps, base::Instant aNow);
  void Prefetch(std::vector<PlannedSwap>& aSwaps, base::Instant aNow);

  PlannerLimits m_limits;
  std::map<base::DeploymentId, operators::EngineSpec> m_specs;
  std::map<base::HostId, Engine> m_engines;
  std::set<base::FailureDomainId> m_evacuated;
  std::map<base::HostId, std::map<base::ModelId, WaitingDemand>> m_demand;
  std::map<base::HostId, VersionedDemand> m_versionedDemand;
  std::map<base::ModelId, TotalDemand> m_totals;
  std::map<base::ModelId, unsigned> m_copies;
  /// Number of engines, those aside that are going, that hold the model or have its weights
  /// in memory or on disk.
  std::map<base::ModelId, unsigned> m_localCopies;

  /// When a load of a model ends.
  struct Arrival
  {
    /// Of loads that engines are carrying out.
    std::optional<base::Instant> m_at;
    /// Time that an assigned load takes from its start.
    std::optional<base::Duration> m_after;
  };
  /// Of the latest plan.
  std::map<base::ModelId, Arrival> m_arrivals;
  unsigned m_storeLoads = 0;
  std::set<base::ModelId> m_awaitedFetches;
};

} // namespace sardinefold::engine
