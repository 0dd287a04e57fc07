#pragma once

#include "Bench/Workload/EventQueue.h"
#include "Bench/Workload/Trace.h"

#include <list>

namespace sardinefold::bench {

/// Model of the weight store. It starts 4.5 loads per second and serves four at
/// full speed; more loads share that bandwidth.
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

  /// Starts a load and calls aDone when the weights have been transferred.
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
  /// Number of loads that may start at once, as of m_refilledAt. It is negative
  /// while starts are reserved for later.
  double m_availableStarts = kFullSpeedLoads;
  base::Instant m_refilledAt{};
  std::list<Transfer> m_transfers;
  std::uint64_t m_generation = 0;
};

} // namespace sardinefold::bench
