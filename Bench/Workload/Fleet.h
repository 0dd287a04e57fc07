#pragma once

#include "Agent/Placement/PlacementDecider.h"
#include "Bench/Workload/EngineModel.h"
#include "Bench/Workload/Policies.h"
#include "Bench/Workload/RunResult.h"
#include "Bench/Workload/StoreModel.h"
#include "Engine/ReplicaManager.h"

#include <memory>

namespace sardinefold::bench {

/// Simulates a trace in virtual time: entries that route, agents with their
/// replica managers and one load gate run the project's decisions; the engines
/// and the weight store are models.
template<Routing RoutingPolicy, Gating GatePolicy>
class Fleet
{
public:
  Fleet(Workload const& aWorkload, base::Duration aBreakEven, std::uint64_t aSeed);

  RunResult Run();

private:
  struct Host
  {
    base::UpstreamId m_id;
    engine::ReplicaManager m_manager;
    EngineModel m_engine;
    std::map<engine::OrderId, weightstore::SlotRequest> m_slotRequests;
  };
  struct Entry
  {
    RoutingPolicy m_router;
  };
  struct RoutedRequest
  {
    std::size_t m_host = 0;
    agent::RouteTicket m_ticket;
  };

  static constexpr base::Instant kStart{ std::chrono::hours(1) };
  static constexpr base::Duration kTick = std::chrono::milliseconds(250);
  static constexpr base::Duration kReportInterval = std::chrono::milliseconds(500);
  static constexpr base::Duration kOrderTimeout = std::chrono::seconds(30);
  static constexpr base::Duration kUnloadTime = std::chrono::milliseconds(200);
  static constexpr base::Duration kInteractiveDeadline = std::chrono::seconds(10);
  static constexpr base::Duration kBatchDeadline = std::chrono::minutes(10);

  base::UpstreamId UpstreamNamed(std::size_t aHost) const;
  void CreateHosts(base::Duration aBreakEven);
  void CreateEntries(std::uint64_t aSeed);
  void PlaceModels();
  void Arrive(std::size_t aIndex);
  void ArriveAtAgent(std::size_t aIndex);
  void Tick();
  void Report();
  void CountIdle(Host const& aHost);
  void Finish(std::size_t aIndex);

  void ExecuteActions(std::size_t aHost, engine::ReplicaActions const& aActions);
  void ExecuteAction(std::size_t aHost, engine::RequestSlot const& aAsk);
  void ExecuteAction(std::size_t aHost, engine::ReleaseSlot const& aRelease);
  void ExecuteAction(std::size_t aHost, engine::OrderLoad const& aOrder);
  void ExecuteAction(std::size_t aHost, engine::OrderUnload const& aOrder);
  void ExecuteAction(std::size_t aHost, engine::RaiseFence const& aRaise);
  void ExecuteAction(std::size_t aHost, engine::ReadEngineState const& aRead);
  void ExecuteAction(std::size_t aHost, engine::StartRequest const& aStart);
  void ExecuteAction(std::size_t aHost, engine::RefuseRequest const& aRefuse);
  void ExecuteAction(std::size_t, engine::ConfirmRevoked const&) {}
  void Poll(std::size_t aHost, engine::OrderId aOrder);
  void OnResponse(std::size_t aHost, engine::OrderId aOrder);

  static std::size_t IndexOf(base::RequestId const& aRequest)
  {
    return std::stoul(aRequest.Text());
  }

  Workload const& m_workload;
  EventQueue m_events{ kStart };
  StoreModel m_store{ m_events };
  GatePolicy m_gate{ weightstore::StoreLimits(), kStart };
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<Entry> m_entries;
  std::vector<RoutedRequest> m_routedRequests;
  agent::PlacementDecider m_decider{ agent::PlacementPolicy() };
  RunResult m_result;
};

} // namespace sardinefold::bench

#include "Bench/Workload/FleetActions.h"
#include "Bench/Workload/FleetRun.h"
