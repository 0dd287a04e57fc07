#pragma once

#include "Agent/Fleet/FleetMessages.h"
#include "Engine/RequestLimit.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sardinefold::programs {

/// What a gateway keeps to of upstreams' request limits.
template<typename Limiter>
concept RequestLimitFollower = requires(Limiter aLimiter, Limiter const aConstLimiter,
                                        std::vector<engine::RequestLimitPermits> const aPermits,
                                        base::Instant aNow)
{
  {
    aConstLimiter.Demands(aNow)
    } -> std::same_as<std::vector<engine::RequestLimitDemand>>;
  aLimiter.OnPermits(aPermits, aNow);
};

/// Exchanges demands and permits for upstreams with request limits with the planner. The
/// planner's grants are totals, so that a message that is lost, late or repeated changes
/// nothing.
class RequestLimitExchange
{
public:
  /// Returns what the next report lists.
  template<RequestLimitFollower Limiter>
  std::vector<engine::RequestLimitDemand> DemandsToReport(Limiter const& aLimiter,
                                                          base::Instant aNow)
  {
    auto demands = aLimiter.Demands(aNow);
    std::ranges::stable_sort(demands, std::greater<>(), &engine::RequestLimitDemand::m_asked);
    demands.resize(std::min(demands.size(), agent::kMaximumRequestLimits));
    for (auto& demand : demands) {
      auto const received = m_received.find(demand.m_state.m_start);
      demand.m_received = received == m_received.end() ? 0 : received->second;
    }
    return demands;
  }

  /// Called for each summary of the planner. One that arrives after a later one is ignored.
  /// Returns whether permits came with it.
  template<RequestLimitFollower Limiter>
  bool OnSummary(Limiter& aLimiter, agent::PlannerSummary const& aSummary, base::Instant aNow)
  {
    auto const& allowance = aSummary.m_allowance;
    bool const isSameRun = allowance.m_epoch == m_epoch;
    if (isSameRun && allowance.m_number < m_number) {
      return false;
    }
    m_epoch = allowance.m_epoch;
    m_number = allowance.m_number;
    std::map<engine::UpstreamStart, std::uint64_t> received;
    std::vector<engine::RequestLimitPermits> permits;
    bool hasPermits = false;
    for (auto const& grant : aSummary.m_requestLimits) {
      auto const& start = grant.m_state.m_start;
      auto const before = isSameRun ? m_received.find(start) : m_received.end();
      // What a planner granted before its first word here may have been used.
      auto const known = before == m_received.end() ? grant.m_total : before->second;
      auto const fresh = grant.m_total - std::min(known, grant.m_total);
      permits.push_back({ grant.m_state, static_cast<unsigned>(fresh), grant.m_waiting });
      received.emplace(start, grant.m_total);
      hasPermits = hasPermits || fresh > 0;
    }
    m_received = std::move(received);
    aLimiter.OnPermits(permits, aNow);
    return hasPermits;
  }

private:
  /// Of the latest summary: the planner's run, and its number in that.
  std::string m_epoch;
  entry::AllowanceSummaryNumber m_number;
  /// The totals in it.
  std::map<engine::UpstreamStart, std::uint64_t> m_received;
};

} // namespace sardinefold::programs
