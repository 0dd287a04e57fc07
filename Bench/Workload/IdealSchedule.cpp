#include "Bench/Workload/IdealSchedule.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <queue>

namespace sardinefold::bench {

namespace {

constexpr std::size_t kStoreLanes = 4;

/// The requests of one model between two of its unloads.
struct Stay
{
  engine::ReplicaKey m_replica;
  std::vector<std::size_t> m_requests;
  operators::RequestClass m_class;
  base::Instant m_first;
  base::Duration m_load;
};

/// Cuts the trace into stays: a pause longer than aKeepThrough ends one.
std::vector<Stay> FindStays(Workload const& aWorkload, base::Duration aKeepThrough)
{
  std::vector<Stay> stays;
  std::map<engine::ReplicaKey, std::pair<std::size_t, base::Instant>> open;
  for (std::size_t index = 0; index < aWorkload.m_requests.size(); ++index) {
    TraceRequest const& request = aWorkload.m_requests[index];
    base::Instant const end = request.m_arrival + request.m_prefill + request.m_generation;
    auto const found = open.find(request.m_replica);
    bool const isNew =
      found == open.end() || request.m_arrival > found->second.second + aKeepThrough;
    if (isNew) {
      auto const& memory = aWorkload.m_catalog.at(request.m_replica);
      double const seconds = static_cast<double>(memory.m_weights.Value()) / kStoreBytesPerSecond;
      stays.push_back(
        { request.m_replica, {}, request.m_class, request.m_arrival, base::FromSeconds(seconds) });
      open.insert_or_assign(request.m_replica, std::pair(stays.size() - 1, end));
    }
    auto& [stay, lastEnd] = open.at(request.m_replica);
    stays[stay].m_requests.push_back(index);
    stays[stay].m_class = std::min(stays[stay].m_class, request.m_class);
    lastEnd = std::max(lastEnd, end);
  }
  return stays;
}

using Order = std::function<bool(Stay const&, Stay const&)>;

/// Loads the stays in the store's lanes, the next by aOrder whenever a lane is
/// free, and returns when each is loaded.
std::vector<base::Instant> ScheduleLoads(std::vector<Stay> const& aStays, Order const& aOrder)
{
  std::vector<base::Instant> loaded(aStays.size());
  std::array<base::Instant, kStoreLanes> lanes{};
  std::vector<std::size_t> pending;
  std::size_t next = 0;
  while (next < aStays.size() || !pending.empty()) {
    auto const lane = std::ranges::min_element(lanes);
    if (pending.empty()) {
      *lane = std::max(*lane, aStays[next].m_first);
    }
    while (next < aStays.size() && aStays[next].m_first <= *lane) {
      pending.push_back(next++);
    }
    auto const chosen =
      std::ranges::min_element(pending, [&](std::size_t aLeft, std::size_t aRight) {
        return aOrder(aStays[aLeft], aStays[aRight]);
      });
    base::Instant const start = std::max(*lane, aStays[*chosen].m_first);
    *lane = start + aStays[*chosen].m_load;
    loaded[*chosen] = *lane;
    pending.erase(chosen);
  }
  return loaded;
}

/// Time between uses for which a stay's replica sits loaded, by its share of
/// the accelerator.
base::Duration IdleOf(Stay const& aStay, base::Instant aLoaded, Workload const& aWorkload)
{
  base::Duration idle{};
  base::Instant busyUntil = aLoaded;
  for (std::size_t const index : aStay.m_requests) {
    TraceRequest const& request = aWorkload.m_requests[index];
    base::Instant const start = std::max(request.m_arrival, aLoaded);
    idle += std::max(start - busyUntil, base::Duration::zero());
    busyUntil = std::max(busyUntil, start + request.m_prefill + request.m_generation);
  }
  double const share =
    static_cast<double>(aWorkload.m_catalog.at(aStay.m_replica).Total().Value()) /
    static_cast<double>(kEngineMemory.Value());
  return base::FromSeconds(base::ToSeconds(idle) * share);
}

RunResult Evaluate(Workload const& aWorkload, std::vector<Stay> const& aStays,
                   std::vector<base::Instant> const& aLoaded)
{
  RunResult result;
  result.m_requests.resize(aWorkload.m_requests.size());
  result.m_loads = static_cast<unsigned>(aStays.size());
  for (std::size_t stay = 0; stay < aStays.size(); ++stay) {
    for (std::size_t const index : aStays[stay].m_requests) {
      TraceRequest const& request = aWorkload.m_requests[index];
      base::Instant const start = std::max(request.m_arrival, aLoaded[stay]);
      auto& one = result.m_requests[index];
      one.m_firstToken = start + request.m_prefill - request.m_arrival;
      one.m_wasCold = request.m_arrival < aLoaded[stay];
    }
    result.m_idle += IdleOf(aStays[stay], aLoaded[stay], aWorkload);
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

RunResult RunIdeally(Workload const& aWorkload, base::Duration aKeepThrough)
{
  auto const stays = FindStays(aWorkload, aKeepThrough);
  std::array<Order, 3> const orders{
    [](Stay const& aLeft, Stay const& aRight) {
      return std::tie(aLeft.m_class, aLeft.m_first) < std::tie(aRight.m_class, aRight.m_first);
    },
    [](Stay const& aLeft, Stay const& aRight) {
      return std::tie(aLeft.m_class, aLeft.m_load) < std::tie(aRight.m_class, aRight.m_load);
    },
    [](Stay const& aLeft, Stay const& aRight) {
      return std::pair(aLeft.m_class, aLeft.m_first + aLeft.m_load) <
             std::pair(aRight.m_class, aRight.m_first + aRight.m_load);
    },
  };
  RunResult best = Evaluate(aWorkload, stays, ScheduleLoads(stays, orders[0]));
  for (std::size_t index = 1; index < orders.size(); ++index) {
    RunResult result = Evaluate(aWorkload, stays, ScheduleLoads(stays, orders[index]));
    if (ColdTail(result) < ColdTail(best)) {
      best = std::move(result);
    }
  }
  return best;
}

} // namespace sardinefold::bench
