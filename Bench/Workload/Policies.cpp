#include "Bench/Workload/Policies.h"

#include <algorithm>

namespace sardinefold::bench {

void RandomRouter::SetPlacement(agent::Placement const& aPlacement)
{
  auto& holders = m_holders[aPlacement.m_model];
  holders.clear();
  for (agent::Holder const& holder : aPlacement.m_holders) {
    if (holder.m_state == agent::HolderState::Granted) {
      holders.push_back(holder.m_upstream);
    }
  }
}

tl::expected<agent::RouteDecision, agent::RouteError> RandomRouter::Choose(
  agent::RouteQuery const& aQuery, base::Instant)
{
  auto const& holders = m_holders[aQuery.m_replica.m_model];
  if (holders.empty()) {
    return tl::make_unexpected(agent::RouteError::NoUpstream);
  }
  std::uniform_int_distribution<std::size_t> any(0, holders.size() - 1);
  return agent::RouteDecision{ holders[any(m_random)], {}, {} };
}

weightstore::SlotResponse FifoGate::RequestSlot(weightstore::SlotRequest const& aRequest,
                                                base::Instant aNow)
{
  if (!m_leases.contains(aRequest.m_key) &&
      std::ranges::find(m_waiting, aRequest.m_key) == m_waiting.end()) {
    m_waiting.push_back(aRequest.m_key);
  }
  while (m_leases.size() < m_limits.m_concurrentLoads && !m_waiting.empty()) {
    m_leases.emplace(m_waiting.front(), aNow + m_limits.m_slotLease);
    m_waiting.pop_front();
  }
  auto const lease = m_leases.find(aRequest.m_key);
  if (lease == m_leases.end()) {
    return { std::nullopt, std::chrono::milliseconds(10) };
  }
  return { lease->second - aNow, {} };
}

void FifoGate::Release(weightstore::SlotKey const& aKey, base::Instant)
{
  m_leases.erase(aKey);
  std::erase(m_waiting, aKey);
}

} // namespace sardinefold::bench
