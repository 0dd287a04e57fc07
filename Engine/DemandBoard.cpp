#include "Engine/DemandBoard.h"

namespace sardinefold::engine {

namespace {

/// Time over which the rate of requests is averaged: long enough for models
/// that are asked for every ten seconds.
constexpr base::Duration kRateTime = std::chrono::seconds(12);
/// Time over which a rise of the rate is seen: short against the time for which
/// a fleet that lacks copies of a model is late.
constexpr base::Duration kRecentTime = std::chrono::milliseconds(2500);
/// Models below this rate with nothing waiting are not reported.
constexpr double kNoRate = 0.005;

} // namespace

DemandBoard::Model& DemandBoard::Find(base::ModelId const& aModel)
{
  auto const found = m_models.find(aModel);
  if (found != m_models.end()) {
    return found->second;
  }
  Model model{ {}, 0, DecayingRate(kRateTime, m_start), DecayingRate(kRecentTime, m_start) };
  return m_models.emplace(aModel, std::move(model)).first->second;
}

void DemandBoard::OnAsked(base::ModelId const& aModel, base::Instant aNow)
{
  auto& model = Find(aModel);
  model.m_rate.OnEvent(aNow);
  model.m_recentRate.OnEvent(aNow);
}

WaitTicket DemandBoard::StartWaiting(base::ModelId const& aModel, double aWorth,
                                     base::Instant aGoal)
{
  m_lastTicket = m_lastTicket.Next();
  Find(aModel).m_waiting.emplace(m_lastTicket, Waiting{ aWorth, aGoal });
  return m_lastTicket;
}

void DemandBoard::StopWaiting(base::ModelId const& aModel, WaitTicket aTicket)
{
  Find(aModel).m_waiting.erase(aTicket);
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
    demand.m_rate = model.m_rate.PerSecond(aNow);
    demand.m_recentRate = model.m_recentRate.PerSecond(aNow);
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
