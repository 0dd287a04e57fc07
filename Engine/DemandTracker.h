#pragma once

#include "Base/Identifiers.h"
#include "Base/Quantity.h"
#include "Base/Time.h"
#include "Engine/DecayingRate.h"

#include <cstdint>
#include <map>
#include <vector>

namespace sardinefold::engine {

/// Identifies one request that waits for a model.
using WaitTicket = base::Ordinal<struct WaitTicketTag>;

/// Requests that wait for one model, and the rate of requests for it.
struct WaitingDemand
{
  base::ModelId m_model;
  unsigned m_waiting = 0;
  /// Total credit that the waiting requests earn if the model is ready in time.
  double m_worth = 0;
  /// Time until the earliest goal that has not passed; if all have passed,
  /// until the earliest of all, which is negative.
  base::Duration m_timeToGoal{};
  /// Requests per second, averaged over some ten seconds.
  double m_rate = 0;
  /// Requests per second, averaged over a few seconds, which shows a rise
  /// early.
  double m_recentRate = 0;
  /// Requests that engines are processing.
  unsigned m_running = 0;
};

/// Tracks which models are requested at this process and which requests wait.
class DemandTracker
{
public:
  /// Requests are counted from aStart on.
  explicit DemandTracker(base::Instant aStart)
    : m_start(aStart)
  {
  }

  void OnRequest(base::ModelId const& aModel, base::Instant aNow);
  WaitTicket StartWaiting(base::ModelId const& aModel, double aWorth, base::Instant aGoal);
  void StopWaiting(base::ModelId const& aModel, WaitTicket aTicket);
  void StartRunning(base::ModelId const& aModel) { ++Find(aModel).m_running; }
  void StopRunning(base::ModelId const& aModel) { --Find(aModel).m_running; }

  std::vector<WaitingDemand> Summary(base::Instant aNow) const;
  unsigned WaitingFor(base::ModelId const& aModel) const;

private:
  struct Waiting
  {
    double m_worth;
    base::Instant m_goal;
  };
  struct Model
  {
    std::map<WaitTicket, Waiting> m_waiting;
    unsigned m_running = 0;
    DecayingRate m_rate;
    DecayingRate m_recentRate;
  };

  Model& Find(base::ModelId const& aModel);

  base::Instant m_start;
  std::map<base::ModelId, Model> m_models;
  WaitTicket m_lastTicket;
};

} // namespace sardinefold::engine
