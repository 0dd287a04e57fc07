#include "Engine/DemandBoard.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::engine {

namespace {

/// Time over which the rate of requests is averaged: long enough for models
/// that are asked for every ten seconds.
constexpr base::Duration kRateTime = std::chrono::seconds(12);
/// Models below this rate with nothing waiting are not reported.
constexpr double kNoRate = 0.005;

} // namespace

double DemandBoard::Decayed(Model const& aModel, base::Instant aNow)
{
  double const age = base::ToSeconds(aNow - aModel.m_countedAt) / base::ToSeconds(kRateTime);
  return aModel.m_recent * std::exp(-age);
}

void DemandBoard::OnAsked(base::ModelId const& aModel, base::Instant aNow)
{
  auto& model = m_models[aModel];
  model.m_recent = Decayed(model, aNow) + 1;
  model.m_countedAt = aNow;
}

WaitTicket DemandBoard::StartWaiting(base::ModelId const& aModel, double aWorth,
                                     base::Instant aGoal)
{
  m_lastTicket = m_lastTicket.Next();
  m_models[aModel].m_waiting.emplace(m_lastTicket, Waiting{ aWorth, aGoal });
  return m_lastTicket;
}

void DemandBoard::StopWaiting(base::ModelId const& aModel, WaitTicket aTicket)
{
  m_models[aModel].m_waiting.erase(aTicket);
}

unsigned DemandBoard::WaitingFor(base::ModelId const& aModel) const
{
  auto const found = m_models.find(aModel);
  return found == m_models.end() ? 0 : static_cast<unsigned>(found->second.m_waiting.size());
}

std::vector<WaitingDemand> DemandBoard::Summary(base::Instant aNow) const
{
  std::vector<WaitingDemand> summary;
  for (auto const& [id, model] : m_models) {
    WaitingDemand demand;
    demand.m_model = id;
    demand.m_rate = Decayed(model, aNow) / base::ToSeconds(kRateTime);
    demand.m_waiting = static_cast<unsigned>(model.m_waiting.size());
    demand.m_running = model.m_running;
    bool hasFuture = false;
    for (auto const& [ticket, waiting] : model.m_waiting) {
      demand.m_worth += waiting.m_worth;
      auto const goalIn = waiting.m_goal - aNow;
      bool const isFuture = goalIn > base::Duration::zero();
      if ((isFuture && !hasFuture) || (isFuture == hasFuture && goalIn < demand.m_goalIn)) {
        demand.m_goalIn = goalIn;
      }
      hasFuture = hasFuture || isFuture;
    }
    if (demand.m_waiting + demand.m_running > 0 || demand.m_rate > kNoRate) {
      summary.push_back(std::move(demand));
    }
  }
  return summary;
}

} // namespace sardinefold::engine
