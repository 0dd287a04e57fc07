#pragma once

#include "Bench/Workload/EventQueue.h"
#include "Bench/Workload/Trace.h"

#include <list>

namespace sardinefold::bench {

/// The weight store: begins 4.5 loads a second, and sends at full speed to
/// four at once; more share that bandwidth.
class StoreModel
{
public:
  static constexpr double kFullSpeedLoads = 4;
  static constexpr double kLoadsPerSecond = 4.5;

  explicit StoreModel(EventQueue& aEvents)
    : m_events(aEvents)
    , m_changedAt(aEvents.Now())
  {
  }

  /// Calls aDone when the weights have been sent.
  void Load(base::Bytes aWeights, std::function<void()> aDone);

private:
  struct Transfer
  {
    double m_bytesLeft;
    std::function<void()> m_done;
  };

  double SpeedPerTransfer() const;
  void UpdateTransfers();
  void ScheduleNextEnd();
  void CompleteFinished(std::uint64_t aGeneration);

  EventQueue& m_events;
  base::Instant m_changedAt;
  /// Loads that may begin at once, and when that was true.
  double m_availableStarts = kFullSpeedLoads;
  base::Instant m_refilledAt{};
  std::list<Transfer> m_transfers;
  std::uint64_t m_generation = 0;
};

} // namespace sardinefold::bench
