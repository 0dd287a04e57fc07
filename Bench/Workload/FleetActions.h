#pragma once

#include "Bench/Workload/Fleet.h"

namespace sardinefold::bench {

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Carry(std::size_t aHost,
                                             engine::ReplicaActions const& aActions)
{
  for (auto const& action : aActions) {
    std::visit([this, aHost](auto const& aOne) { Do(aHost, aOne); }, action);
  }
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Do(std::size_t aHost, engine::RequestSlot const& aAsk)
{
  Host& host = *m_hosts[aHost];
  weightstore::SlotRequest const wish{ { host.m_id, base::IncarnationId(), aAsk.m_order },
                                       aAsk.m_replica,
                                       aAsk.m_class,
                                       aAsk.m_deadline };
  bool const isNew = host.m_wishes.insert_or_assign(aAsk.m_order, wish).second;
  if (isNew) {
    Poll(aHost, aAsk.m_order);
  }
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Poll(std::size_t aHost, engine::OrderId aOrder)
{
  base::Instant const asked = m_events.Now();
  m_events.After(m_workload.m_size.m_oneWay, [this, aHost, aOrder, asked] {
    auto const wish = m_hosts[aHost]->m_wishes.find(aOrder);
    if (wish == m_hosts[aHost]->m_wishes.end()) {
      return;
    }
    auto const answer = m_gate.RequestSlot(wish->second, m_events.Now());
    m_events.After(m_workload.m_size.m_oneWay, [this, aHost, aOrder, asked, answer] {
      if (!m_hosts[aHost]->m_wishes.contains(aOrder)) {
        return;
      }
      if (!answer.m_lease) {
        m_events.After(answer.m_retryAfter, [this, aHost, aOrder] { Poll(aHost, aOrder); });
        return;
      }
      m_hosts[aHost]->m_wishes.erase(aOrder);
      Carry(aHost, m_hosts[aHost]->m_manager.OnSlotGranted(aOrder, asked + *answer.m_lease,
                                                           m_events.Now()));
    });
  });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Do(std::size_t aHost, engine::ReleaseSlot const& aRelease)
{
  m_hosts[aHost]->m_wishes.erase(aRelease.m_order);
  weightstore::SlotKey const key{ m_hosts[aHost]->m_id, base::IncarnationId(), aRelease.m_order };
  m_events.After(m_workload.m_size.m_oneWay, [this, key] { m_gate.Release(key, m_events.Now()); });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Do(std::size_t aHost, engine::OrderLoad const& aOrder)
{
  ++m_result.m_loads;
  m_store.Load(m_workload.m_catalog.at(aOrder.m_replica).m_weights,
               [this, aHost, order = aOrder.m_order] { OnAnswer(aHost, order); });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Do(std::size_t aHost, engine::OrderUnload const& aOrder)
{
  m_events.After(kUnloadTime, [this, aHost, order = aOrder.m_order] { OnAnswer(aHost, order); });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::OnAnswer(std::size_t aHost, engine::OrderId aOrder)
{
  Carry(aHost, m_hosts[aHost]->m_manager.OnOrderOutcome(aOrder, engine::OrderOutcome::Done,
                                                        m_events.Now()));
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Do(std::size_t aHost, engine::RaiseFence const&)
{
  Carry(aHost,
        m_hosts[aHost]->m_manager.OnFenceOutcome(engine::OrderOutcome::Done, m_events.Now()));
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Do(std::size_t aHost, engine::ReadEngineState const&)
{
  Carry(aHost, m_hosts[aHost]->m_manager.OnEngineState({}, m_events.Now(), m_events.Now()));
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Do(std::size_t aHost, engine::StartRequest const& aStart)
{
  std::size_t const index = IndexOf(aStart.m_request);
  TraceRequest const& request = m_workload.m_requests[index];
  auto const onFirstToken = [this, index, &request] {
    m_result.m_requests[index].m_firstToken =
      m_events.Now() + m_workload.m_size.m_oneWay - request.m_arrival;
  };
  m_hosts[aHost]->m_engine.Run(request, { onFirstToken, [this, index] { Finish(index); } });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Finish(std::size_t aIndex)
{
  Journey const& journey = m_journeys[aIndex];
  auto const id = base::RequestId::FromValidated(std::to_string(aIndex));
  Carry(journey.m_host, m_hosts[journey.m_host]->m_manager.End(id, m_events.Now()));
  m_events.After(m_workload.m_size.m_oneWay, [this, aIndex] {
    auto const entry = m_workload.m_requests[aIndex].m_entry;
    m_entries[entry].m_router.OnDone(m_journeys[aIndex].m_ticket);
  });
}

template<Routing RoutingPolicy, Gating GatePolicy>
void Fleet<RoutingPolicy, GatePolicy>::Do(std::size_t, engine::RefuseRequest const& aRefuse)
{
  std::size_t const index = IndexOf(aRefuse.m_request);
  m_result.m_requests[index].m_wasRefused = true;
  auto const entry = m_workload.m_requests[index].m_entry;
  m_entries[entry].m_router.OnDone(m_journeys[index].m_ticket);
}

} // namespace sardinefold::bench
