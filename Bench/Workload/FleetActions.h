#pragma once

#include "Bench/Workload/Fleet.h"

namespace sardinefold::bench {

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ExecuteActions(std::size_t aHost,
                                                      engine::ReplicaActions const& aActions)
{
  for (auto const& action : aActions) {
    std::visit([this, aHost](auto const& aOne) { ExecuteAction(aHost, aOne); }, action);
  }
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ExecuteAction(std::size_t aHost,
                                                     engine::RequestSlot const& aAsk)
{
  Host& host = *m_hosts[aHost];
  weightstore::SlotRequest const slotRequest{ { host.m_id, base::IncarnationId(), aAsk.m_order },
                                              aAsk.m_replica,
                                              aAsk.m_class,
                                              aAsk.m_deadline };
  bool const isNew = host.m_slotRequests.insert_or_assign(aAsk.m_order, slotRequest).second;
  if (isNew) {
    Poll(aHost, aAsk.m_order);
  }
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Poll(std::size_t aHost, engine::OrderId aOrder)
{
  base::Instant const requestedAt = m_events.Now();
  m_events.After(m_workload.m_size.m_oneWayDelay, [this, aHost, aOrder, requestedAt] {
    auto const slotRequest = m_hosts[aHost]->m_slotRequests.find(aOrder);
    if (slotRequest == m_hosts[aHost]->m_slotRequests.end()) {
      return;
    }
    auto const response = m_gate.RequestSlot(slotRequest->second, m_events.Now());
    m_events.After(m_workload.m_size.m_oneWayDelay, [this, aHost, aOrder, requestedAt, response] {
      if (!m_hosts[aHost]->m_slotRequests.contains(aOrder)) {
        return;
      }
      if (!response.m_lease) {
        m_events.After(response.m_retryAfter, [this, aHost, aOrder] { Poll(aHost, aOrder); });
        return;
      }
      m_hosts[aHost]->m_slotRequests.erase(aOrder);
      ExecuteActions(aHost, m_hosts[aHost]->m_manager.OnSlotGranted(
                              aOrder, requestedAt + *response.m_lease, m_events.Now()));
    });
  });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ExecuteAction(std::size_t aHost,
                                                     engine::ReleaseSlot const& aRelease)
{
  m_hosts[aHost]->m_slotRequests.erase(aRelease.m_order);
  weightstore::SlotKey const key{ m_hosts[aHost]->m_id, base::IncarnationId(), aRelease.m_order };
  m_events.After(m_workload.m_size.m_oneWayDelay,
                 [this, key] { m_gate.Release(key, m_events.Now()); });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ExecuteAction(std::size_t aHost,
                                                     engine::OrderLoad const& aOrder)
{
  ++m_result.m_loads;
  m_store.Load(m_workload.m_catalog.at(aOrder.m_replica).m_weights,
               [this, aHost, order = aOrder.m_order] { OnResponse(aHost, order); });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ExecuteAction(std::size_t aHost,
                                                     engine::OrderUnload const& aOrder)
{
  m_events.After(kUnloadTime, [this, aHost, order = aOrder.m_order] { OnResponse(aHost, order); });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::OnResponse(std::size_t aHost, engine::OrderId aOrder)
{
  ExecuteActions(aHost, m_hosts[aHost]->m_manager.OnOrderOutcome(aOrder, engine::OrderOutcome::Done,
                                                                 m_events.Now()));
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ExecuteAction(std::size_t aHost, engine::RaiseFence const&)
{
  ExecuteActions(
    aHost, m_hosts[aHost]->m_manager.OnFenceOutcome(engine::OrderOutcome::Done, m_events.Now()));
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ExecuteAction(std::size_t aHost,
                                                     engine::ReadEngineState const&)
{
  ExecuteActions(aHost,
                 m_hosts[aHost]->m_manager.OnEngineState({}, m_events.Now(), m_events.Now()));
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ExecuteAction(std::size_t aHost,
                                                     engine::StartRequest const& aStart)
{
  std::size_t const index = IndexOf(aStart.m_request);
  TraceRequest const& request = m_workload.m_requests[index];
  auto const onFirstToken = [this, index, &request] {
    m_result.m_requests[index].m_firstToken =
      m_events.Now() + m_workload.m_size.m_oneWayDelay - request.m_arrival;
  };
  m_hosts[aHost]->m_engine.Run(request, { onFirstToken, [this, index] { Finish(index); } });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Finish(std::size_t aIndex)
{
  RoutedRequest const& routed = m_routedRequests[aIndex];
  auto const id = base::RequestId::FromValidated(std::to_string(aIndex));
  ExecuteActions(routed.m_host, m_hosts[routed.m_host]->m_manager.End(id, m_events.Now()));
  m_events.After(m_workload.m_size.m_oneWayDelay, [this, aIndex] {
    auto const entry = m_workload.m_requests[aIndex].m_entry;
    m_entries[entry].m_router.OnDone(m_routedRequests[aIndex].m_ticket);
  });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::ExecuteAction(std::size_t,
                                                     engine::RefuseRequest const& aRefuse)
{
  std::size_t const index = IndexOf(aRefuse.m_request);
  m_result.m_requests[index].m_wasRefused = true;
  auto const entry = m_workload.m_requests[index].m_entry;
  m_entries[entry].m_router.OnDone(m_routedRequests[index].m_ticket);
}

} // namespace sardinefold::bench
