#include "Engine/DemandTracker.h"

namespace sardinefold::engine {

namespace {

/// Time over which the request rate is averaged: long enough for models that
/// are requested every ten seconds.
constexpr base::Duration kRateAveragingTime = std::chrono::seconds(12);
/// Averaging time that detects a rise of the rate: short compared with the time
/// for which a fleet with too few copies of a model misses its goals.
constexpr base::Duration kRecentRateAveragingTime = std::chrono::milliseconds(2500);
/// Models with fewer requests per second than this are reported only while
/// requests wait or run.
constexpr double kMinimumReportedRate = 0.005;

} // namespace

DemandTracker::Model& DemandTracker::Find(base::ModelId const& aModel)
{
  auto const found = m_models.find(aModel);
  if (found != m_models.end()) {
    return found->second;
  }
  Model model{ {},
               0,
               DecayingRate(kRateAveragingTime, m_start),
               DecayingRate(kRecentRateAveragingTime, m_start) };
  return m_models.emplace(aModel, std::move(model)).first->second;
}

void DemandTracker::OnRequest(base::ModelId const& aModel, base::Instant aNow)
{
  auto& model = Find(aModel);
  model.m_rate.OnEvent(aNow);
  model.m_recentRate.OnEvent(aNow);
}

WaitTicket DemandTracker::StartWaiting(base::ModelId const& aModel, double aWorth,
                                       base::Instant aGoal)
{
  m_lastTicket = m_lastTicket.Next();
  Find(aModel).m_waiting.emplace(m_lastTicket, Waiting{ aWorth, aGoal });
  return m_lastTicket;
}

void DemandTracker::StopWaiting(base::ModelId const& aModel, WaitTicket aTicket)
{
  Find(aModel).m_waiting.erase(aTicket);
}

unsigned DemandTracker::WaitingFor(base::ModelId const& aModel) const
{
  auto const found = m_models.find(aModel);
  return found == m_models.end() ? 0 : static_cast<unsigned>(found->second.m_waiting.size());
}

std::vector<WaitingDemand> DemandTracker::Summary(base::Instant aNow) const
{
  std::vector<WaitingDemand> summary;
  for (auto const& [id, model] : m_models) {
    WaitingDemand demand;
    demand.m_model = id;
    demand.m_rate = model.m_rate.PerSecond(aNow);
    demand.m_recentRate = model.m_recentRate.PerSecond(aNow);
    demand.m_waiting = static_cast<unsigned>(model.m_waiting.size());
    demand.m_running = model.m_running;
    bool hasFuture = false;
    for (auto const& [ticket, waiting] : model.m_waiting) {
      demand.m_worth += waiting.m_worth;
      auto const goalIn = waiting.m_goal - aNow;
      bool const isFuture = goalIn > base::Duration::zero();
      if ((isFuture && !hasFuture) || (isFuture == hasFuture && goalIn < demand.m_timeToGoal)) {
        demand.m_timeToGoal = goalIn;
      }
      hasFuture = hasFuture || isFuture;
    }
    if (demand.m_waiting + demand.m_running > 0 || demand.m_rate > kMinimumReportedRate) {
      summary.push_back(std::move(demand));
    }
  }
  return summary;
}

} // namespace sardinefold::engine
