#include "Bench/Workload/ScheduleBound.h"

#include <algorithm>
#include <map>

namespace sardinefold::bench {

namespace {

/// A request with the minimum time of a slot that serving it takes.
struct Load
{
  base::Instant m_arrival;
  double m_weight;
  double m_slotSeconds;
};

using ByModel = std::map<base::ModelId, std::vector<ScheduledRequest>>;

/// Returns how many requests for a model a single load could serve together
/// with aRequest, which is one of them.
std::size_t CountSharing(std::vector<ScheduledRequest> const& aOfModel,
                         ScheduledRequest const& aRequest)
{
  return static_cast<std::size_t>(std::ranges::count_if(aOfModel, [&](auto const& aOther) {
    return aOther.m_arrival <= aRequest.m_goal && aOther.m_goal >= aRequest.m_arrival;
  }));
}

std::vector<Load> ToLoads(ByModel const& aRequests, base::Duration aSwapTime)
{
  std::vector<Load> loads;
  for (auto const& [model, requests] : aRequests) {
    for (std::size_t index = 0; index < requests.size(); ++index) {
      auto const& request = requests[index];
      // Keeping the model loaded since the previous request may take less time
      // than a load.
      auto const kept = index == 0 ? aSwapTime : request.m_arrival - requests[index - 1].m_arrival;
      double const seconds = base::ToSeconds(std::min(aSwapTime, kept)) /
                             static_cast<double>(CountSharing(requests, request));
      loads.push_back({ request.m_arrival, request.m_weight, seconds });
    }
  }
  std::ranges::sort(loads, {}, &Load::m_arrival);
  return loads;
}

/// Returns the maximum weight of loads that fit into aSeconds of slot time, with
/// fractions of loads allowed.
double Fill(std::vector<Load> aLoads, double aSeconds)
{
  std::ranges::sort(aLoads, [](Load const& aLeft, Load const& aRight) {
    return aLeft.m_weight * aRight.m_slotSeconds > aRight.m_weight * aLeft.m_slotSeconds;
  });
  double weight = 0;
  for (auto const& load : aLoads) {
    if (load.m_slotSeconds > aSeconds) {
      return weight + load.m_weight * aSeconds / load.m_slotSeconds;
    }
    aSeconds -= load.m_slotSeconds;
    weight += load.m_weight;
  }
  return weight;
}

/// Returns the bound with time divided into windows of length aWindow.
double WeightInWindows(std::vector<Load> const& aLoads, base::Duration aWindow,
                       base::Duration aSpill, unsigned aSlots)
{
  double weight = 0;
  for (auto first = aLoads.begin(); first != aLoads.end();) {
    auto const end = first->m_arrival + aWindow;
    auto const last = std::find_if(first, aLoads.end(),
                                   [end](Load const& aLoad) { return aLoad.m_arrival >= end; });
    // Loads for these requests may begin before the window and end after it.
    weight += Fill({ first, last }, aSlots * base::ToSeconds(aWindow + aSpill));
    first = last;
  }
  return weight;
}

} // namespace

double MaximumWeight(std::vector<ScheduledRequest> aRequests, ScheduledFleet aFleet)
{
  if (aRequests.empty()) {
    return 0;
  }
  std::ranges::sort(aRequests, {}, &ScheduledRequest::m_arrival);
  base::Duration longestGoal{};
  ByModel byModel;
  for (auto const& request : aRequests) {
    longestGoal = std::max(longestGoal, request.m_goal - request.m_arrival);
    byModel[request.m_model].push_back(request);
  }
  auto const loads = ToLoads(byModel, aFleet.m_swapTime);
  auto const length = loads.back().m_arrival - loads.front().m_arrival + base::Duration(1);
  auto const spill = longestGoal + aFleet.m_swapTime;
  double best = WeightInWindows(loads, length, spill, aFleet.m_slots);
  for (base::Duration window = std::chrono::seconds(1); window < length; window *= 2) {
    best = std::min(best, WeightInWindows(loads, window, spill, aFleet.m_slots));
  }
  return best;
}

} // namespace sardinefold::bench
