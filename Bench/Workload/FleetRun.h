#pragma once

#include "Bench/Workload/Fleet.h"

namespace sardinefold::bench {

template<Routing RoutingPolicy, Gating GatePolicy>
Fleet<RoutingPolicy, GatePolicy>::Fleet(Workload const& aWorkload, base::Duration aBreakEven,
                                        std::uint64_t aSeed)
  : m_workload(aWorkload)
  , m_routedRequests(aWorkload.m_requests.size())
{
  m_result.m_requests.resize(aWorkload.m_requests.size());
  CreateHosts(aBreakEven);
  CreateEntries(aSeed);
  PlaceModels();
}

template<Routing RoutingPolicy, Gating GatePolicy>
base::UpstreamId Fleet<RoutingPolicy, GatePolicy>::UpstreamNamed(std::size_t aHost) const
{
  return base::UpstreamId::FromValidated("u" + std::to_string(aHost));
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::CreateHosts(base::Duration aBreakEven)
{
  engine::ReplicaManagerSettings const settings{ kEngineMemory, aBreakEven };
  for (int number = 0; number < m_workload.m_size.m_engines; ++number) {
    engine::WriterLease lease(engine::FencingSupport::Checked, { kOrderTimeout, kOrderTimeout });
    lease.Acquire(base::FencingNumber(1), kStart, kStart);
    auto const index = m_hosts.size();
    m_hosts.push_back(std::make_unique<Host>(Host{
      UpstreamNamed(index), engine::ReplicaManager(settings, lease), EngineModel(m_events), {} }));
    ExecuteActions(index, m_hosts[index]->m_manager.SetCatalog(m_workload.m_catalog, kStart));
  }
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::CreateEntries(std::uint64_t aSeed)
{
  for (int number = 0; number < m_workload.m_size.m_entries; ++number) {
    m_entries.push_back({ RoutingPolicy(aSeed + static_cast<std::uint64_t>(number)) });
    for (auto const& host : m_hosts) {
      m_entries.back().m_router.SetUpstream(
        { host->m_id, {}, 2 * m_workload.m_size.m_oneWayDelay, EngineModel::kSlots });
    }
    for (auto const& [key, memory] : m_workload.m_catalog) {
      agent::RouteCosts costs;
      costs.m_loadFromRemote =
        base::FromSeconds(static_cast<double>(memory.m_weights.Value()) / kStoreBytesPerSecond);
      costs.m_memory = memory.Total();
      m_entries.back().m_router.SetCosts(key.m_model, costs);
    }
  }
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::PlaceModels()
{
  auto const deployment = base::DeploymentId::FromValidated("d");
  std::vector<agent::PlacementModel> models;
  for (auto const& [key, memory] : m_workload.m_catalog) {
    models.push_back({ key.m_model, deployment, memory.Total(), 0, 4 });
  }
  std::vector<agent::PlacementUpstream> upstreams;
  for (std::size_t index = 0; index < m_hosts.size(); ++index) {
    auto const domain = index % static_cast<std::size_t>(m_workload.m_size.m_failureDomains);
    upstreams.push_back({ m_hosts[index]->m_id, deployment,
                          base::FailureDomainId::FromValidated("f" + std::to_string(domain)),
                          kEngineMemory, EngineModel::kSlots });
  }
  std::map<base::ModelId, agent::VersionedPlacement> placements;
  for (auto changes = m_decider.Decide(models, upstreams, placements, {}); !changes.empty();
       changes = m_decider.Decide(models, upstreams, placements, {})) {
    for (auto const& change : changes) {
      placements[change.m_placement.m_model] = { change.m_placement, base::ObjectVersion(1) };
    }
  }
  std::vector<engine::Permissions> permissions(m_hosts.size());
  for (auto const& [model, versioned] : placements) {
    for (Entry& entry : m_entries) {
      entry.m_router.SetPlacement(versioned.m_placement);
    }
    for (agent::Holder const& holder : versioned.m_placement.m_holders) {
      permissions[std::stoul(holder.m_upstream.Text().substr(1))][model] = {};
    }
  }
  for (std::size_t index = 0; index < m_hosts.size(); ++index) {
    ExecuteActions(index, m_hosts[index]->m_manager.SetPermissions(permissions[index], kStart));
  }
}

template<Routing RoutingPolicy, Gating GatePolicy>
RunResult Fleet<RoutingPolicy, GatePolicy>::Run()
{
  Tick();
  Report();
  for (std::size_t index = 0; index < m_workload.m_requests.size(); ++index) {
    m_events.At(m_workload.m_requests[index].m_arrival, [this, index] { Arrive(index); });
  }
  m_events.RunUntil(kStart + m_workload.m_length + kBatchDeadline);
  return std::move(m_result);
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Arrive(std::size_t aIndex)
{
  TraceRequest const& request = m_workload.m_requests[aIndex];
  agent::RouteQuery query;
  query.m_replica = request.m_replica;
  query.m_class = request.m_class;
  query.m_promptTokens = base::Tokens(request.m_prefill / std::chrono::microseconds(100));
  auto const decision = m_entries[request.m_entry].m_router.Choose(query, m_events.Now());
  if (!decision) {
    m_result.m_requests[aIndex].m_wasRefused = true;
    return;
  }
  m_routedRequests[aIndex] = { std::stoul(decision->m_upstream.Text().substr(1)),
                               decision->m_ticket };
  m_events.After(m_workload.m_size.m_oneWayDelay, [this, aIndex] { ArriveAtAgent(aIndex); });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ArriveAtAgent(std::size_t aIndex)
{
  TraceRequest const& request = m_workload.m_requests[aIndex];
  std::size_t const host = m_routedRequests[aIndex].m_host;
  auto& manager = m_hosts[host]->m_manager;
  bool const isLoaded =
    manager.Replicas().StateOf(request.m_replica) == engine::ReplicaState::Loaded;
  m_result.m_requests[aIndex].m_wasCold = !isLoaded;
  bool const isBatch = request.m_class == operators::RequestClass::Batch;
  base::Instant const deadline =
    request.m_arrival + (isBatch ? kBatchDeadline : kInteractiveDeadline);
  auto const id = base::RequestId::FromValidated(std::to_string(aIndex));
  ExecuteActions(
    host, manager.Request(id, request.m_replica, { request.m_class, deadline }, m_events.Now()));
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Tick()
{
  for (std::size_t index = 0; index < m_hosts.size(); ++index) {
    ExecuteActions(index, m_hosts[index]->m_manager.Tick(m_events.Now()));
    CountIdle(*m_hosts[index]);
  }
  m_events.After(kTick, [this] { Tick(); });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::CountIdle(Host const& aHost)
{
  for (auto const& [key, replica] : aHost.m_manager.Replicas().All()) {
    if (!replica.IsLoaded() || !replica.IsIdle()) {
      continue;
    }
    double const share = static_cast<double>(replica.m_memory.Total().Value()) /
                         static_cast<double>(kEngineMemory.Value());
    m_result.m_idle += base::FromSeconds(base::ToSeconds(kTick) * share);
  }
}

/// Reports the states and the load of all agents' replicas to the entries. A
/// report arrives after one network delay and describes the time of sending.
template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Report()
{
  for (auto const& host : m_hosts) {
    std::vector<std::pair<engine::ReplicaKey, agent::ReplicaForecast>> states;
    for (auto const& [key, replica] : host->m_manager.Replicas().All()) {
      base::Instant const readyAt =
        m_events.Now() + host->m_manager.ExpectedTimeToReady(key, m_events.Now());
      states.emplace_back(
        key, agent::ReplicaForecast{ replica.State(), engine::WeightTier::Remote, readyAt });
    }
    agent::LoadReport load;
    load.m_running = static_cast<unsigned>(host->m_engine.Running());
    load.m_loadable = host->m_manager.LoadableMemory(m_events.Now());
    m_events.After(m_workload.m_size.m_oneWayDelay,
                   [this, id = host->m_id, states, load, madeAt = m_events.Now()] {
                     for (Entry& entry : m_entries) {
                       entry.m_router.OnLoadReport(id, load, madeAt);
                       for (auto const& [key, status] : states) {
                         entry.m_router.SetReplica(id, key, status);
                       }
                     }
                   });
  }
  m_events.After(kReportInterval, [this] { Report(); });
}

} // namespace sardinefold::bench
