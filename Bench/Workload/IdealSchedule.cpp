#include "Bench/Workload/IdealSchedule.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <queue>

namespace sardinefold::bench {

namespace {

constexpr std::size_t kParallelLoads = 4;

/// A period for which a model stays loaded, and its requests in that period.
struct Residency
{
  engine::ReplicaKey m_replica;
  std::vector<std::size_t> m_requests;
  operators::RequestClass m_class;
  base::Instant m_first;
  base::Duration m_load;
};

/// Divides the trace into residencies. A pause longer than aMaximumIdle ends
/// one.
std::vector<Residency> FindResidencies(Workload const& aWorkload, base::Duration aMaximumIdle)
{
  std::vector<Residency> residencies;
  std::map<engine::ReplicaKey, std::pair<std::size_t, base::Instant>> open;
  for (std::size_t index = 0; index < aWorkload.m_requests.size(); ++index) {
    TraceRequest const& request = aWorkload.m_requests[index];
    base::Instant const end = request.m_arrival + request.m_prefill + request.m_generation;
    auto const found = open.find(request.m_replica);
    bool const isNew =
      found == open.end() || request.m_arrival > found->second.second + aMaximumIdle;
    if (isNew) {
      auto const& memory = aWorkload.m_catalog.at(request.m_replica);
      double const seconds = static_cast<double>(memory.m_weights.Value()) / kStoreBytesPerSecond;
      residencies.push_back(
        { request.m_replica, {}, request.m_class, request.m_arrival, base::FromSeconds(seconds) });
      open.insert_or_assign(request.m_replica, std::pair(residencies.size() - 1, end));
    }
    auto& [residency, lastEnd] = open.at(request.m_replica);
    residencies[residency].m_requests.push_back(index);
    residencies[residency].m_class = std::min(residencies[residency].m_class, request.m_class);
    lastEnd = std::max(lastEnd, end);
  }
  return residencies;
}

using Order = std::function<bool(Residency const&, Residency const&)>;

/// Schedules the loads on kParallelLoads lanes of the store, the next by aOrder
/// whenever a lane is free, and returns the time at which each is complete.
std::vector<base::Instant> ScheduleLoads(std::vector<Residency> const& aResidencies,
                                         Order const& aOrder)
{
  std::vector<base::Instant> loaded(aResidencies.size());
  std::array<base::Instant, kParallelLoads> lanes{};
  std::vector<std::size_t> pending;
  std::size_t next = 0;
  while (next < aResidencies.size() || !pending.empty()) {
    auto const lane = std::ranges::min_element(lanes);
    if (pending.empty()) {
      *lane = std::max(*lane, aResidencies[next].m_first);
    }
    while (next < aResidencies.size() && aResidencies[next].m_first <= *lane) {
      pending.push_back(next++);
    }
    auto const chosen =
      std::ranges::min_element(pending, [&](std::size_t aLeft, std::size_t aRight) {
        return aOrder(aResidencies[aLeft], aResidencies[aRight]);
      });
    base::Instant const start = std::max(*lane, aResidencies[*chosen].m_first);
    *lane = start + aResidencies[*chosen].m_load;
    loaded[*chosen] = *lane;
    pending.erase(chosen);
  }
  return loaded;
}

/// Returns the time for which a residency's replica is loaded but unused,
/// multiplied by its share of the accelerator's memory.
base::Duration IdleTime(Residency const& aResidency, base::Instant aLoaded,
                        Workload const& aWorkload)
{
  base::Duration idle{};
  base::Instant busyUntil = aLoaded;
  for (std::size_t const index : aResidency.m_requests) {
    TraceRequest const& request = aWorkload.m_requests[index];
    base::Instant const start = std::max(request.m_arrival, aLoaded);
    idle += std::max(start - busyUntil, base::Duration::zero());
    busyUntil = std::max(busyUntil, start + request.m_prefill + request.m_generation);
  }
  double const share =
    static_cast<double>(aWorkload.m_catalog.at(aResidency.m_replica).Total().Value()) /
    static_cast<double>(kEngineMemory.Value());
  return base::FromSeconds(base::ToSeconds(idle) * share);
}

RunResult Evaluate(Workload const& aWorkload, std::vector<Residency> const& aResidencies,
                   std::vector<base::Instant> const& aLoaded)
{
  RunResult result;
  result.m_requests.resize(aWorkload.m_requests.size());
  result.m_loads = static_cast<unsigned>(aResidencies.size());
  for (std::size_t residency = 0; residency < aResidencies.size(); ++residency) {
    for (std::size_t const index : aResidencies[residency].m_requests) {
      TraceRequest const& request = aWorkload.m_requests[index];
      base::Instant const start = std::max(request.m_arrival, aLoaded[residency]);
      auto& one = result.m_requests[index];
      one.m_firstToken = start + request.m_prefill - request.m_arrival;
      one.m_wasCold = request.m_arrival < aLoaded[residency];
    }
    result.m_idle += IdleTime(aResidencies[residency], aLoaded[residency], aWorkload);
  }
  return result;
}

base::Duration ColdTail(RunResult const& aResult)
{
  std::vector<base::Duration> cold;
  for (RequestResult const& request : aResult.m_requests) {
    if (request.m_wasCold) {
      cold.push_back(request.m_firstToken);
    }
  }
  return Percentile(std::move(cold), 0.99);
}

} // namespace

RunResult RunIdealSchedule(Workload const& aWorkload, base::Duration aMaximumIdle)
{
  auto const residencies = FindResidencies(aWorkload, aMaximumIdle);
  std::array<Order, 3> const orders{
    [](Residency const& aLeft, Residency const& aRight) {
      return std::tie(aLeft.m_class, aLeft.m_first) < std::tie(aRight.m_class, aRight.m_first);
    },
    [](Residency const& aLeft, Residency const& aRight) {
      return std::tie(aLeft.m_class, aLeft.m_load) < std::tie(aRight.m_class, aRight.m_load);
    },
    [](Residency const& aLeft, Residency const& aRight) {
      return std::pair(aLeft.m_class, aLeft.m_first + aLeft.m_load) <
             std::pair(aRight.m_class, aRight.m_first + aRight.m_load);
    },
  };
  RunResult best = Evaluate(aWorkload, residencies, ScheduleLoads(residencies, orders[0]));
  for (std::size_t index = 1; index < orders.size(); ++index) {
    RunResult result = Evaluate(aWorkload, residencies, ScheduleLoads(residencies, orders[index]));
    if (ColdTail(result) < ColdTail(best)) {
      best = std::move(result);
    }
  }
  return best;
}

} // namespace sardinefold::bench
