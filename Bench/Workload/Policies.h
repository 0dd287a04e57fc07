#pragma once

#include "Agent/Routing/Router.h"
#include "WeightStore/LoadGate.h"

#include <concepts>
#include <deque>

namespace sardinefold::bench {

/// Policy that chooses upstreams: the project's router or a baseline.
template<typename T>
concept Routing = requires(T aRouting, agent::RouteQuery const& aQuery, base::Instant aNow,
                           agent::RouteTicket aTicket)
{
  { aRouting.Choose(aQuery, aNow) };
  aRouting.OnDone(aTicket);
};

/// Policy that grants slots of the weight store: the project's load gate or a
/// baseline.
template<typename T>
concept Gating = requires(T aGate, weightstore::SlotRequest const& aRequest, base::Instant aNow)
{
  {
    aGate.RequestSlot(aRequest, aNow)
    } -> std::same_as<weightstore::SlotResponse>;
  aGate.Release(aRequest.m_key, aNow);
};

/// Baseline that chooses a random upstream among those that may hold the model.
class RandomRouter
{
public:
  explicit RandomRouter(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  void SetUpstream(agent::UpstreamFacts const&) {}
  void SetPlacement(agent::Placement const& aPlacement);
  void SetCosts(base::ModelId const&, agent::RouteCosts) {}
  void SetReplica(base::UpstreamId const&, engine::ReplicaKey const&, agent::ReplicaForecast) {}
  void OnLoadReport(base::UpstreamId const&, agent::LoadReport const&, base::Instant) {}
  tl::expected<agent::RouteDecision, agent::RouteError> Choose(agent::RouteQuery const& aQuery,
                                                               base::Instant aNow);
  void OnDone(agent::RouteTicket) {}

private:
  std::mt19937_64 m_random;
  std::map<base::ModelId, std::vector<base::UpstreamId>> m_holders;
};

/// Baseline that grants the store's concurrent loads in order of arrival.
class FifoGate
{
public:
  FifoGate(weightstore::StoreLimits aLimits, base::Instant)
    : m_limits(aLimits)
  {
  }

  weightstore::SlotResponse RequestSlot(weightstore::SlotRequest const& aRequest,
                                        base::Instant aNow);
  void Release(weightstore::SlotKey const& aKey, base::Instant aNow);

private:
  weightstore::StoreLimits m_limits;
  std::deque<weightstore::SlotKey> m_waiting;
  std::map<weightstore::SlotKey, base::Instant> m_leases;
};

static_assert(Routing<agent::Router> && Routing<RandomRouter>);
static_assert(Gating<weightstore::LoadGate> && Gating<FifoGate>);

} // namespace sardinefold::bench
