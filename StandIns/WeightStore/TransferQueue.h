#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace sardinefold::standins {

/// How a store's transfers take time.
struct TransferLimits
{
  /// Time of one model's weights while at most m_modelsAtFullSpeed are in
  /// flight; longer in proportion beyond that.
  base::Duration m_modelTime = std::chrono::milliseconds(800);
  std::size_t m_modelsAtFullSpeed = 4;
  /// Models that may start in a second.
  double m_modelsPerSecond = 4.5;
  base::Duration m_minimumAdapterTime = std::chrono::milliseconds(6);
  base::Duration m_maximumAdapterTime = std::chrono::milliseconds(20);
  std::size_t m_adaptersAtFullSpeed = 30;
  /// All times are this many times as long.
  double m_slowdown = 1.0;
};

enum class TransferKind
{
  Model,
  Adapter
};

/// Shares the store's speed among the transfers in flight.
class TransferQueue
{
public:
  explicit TransferQueue(TransferLimits aLimits)
    : m_limits(aLimits)
  {
  }

  TransferLimits& Limits() { return m_limits; }

  /// Time to wait before a transfer may begin, which reserves its start.
  base::Duration ReserveStart(TransferKind aKind, base::Instant aNow);
  void Begin(TransferKind aKind) { ++InFlight(aKind); }
  void End(TransferKind aKind) { --InFlight(aKind); }

  /// Time of a whole transfer at full speed; of an adapter it follows from its
  /// size hash, so that it is the same each time.
  base::Duration FullSpeedTime(TransferKind aKind, std::size_t aNameHash) const;
  /// How many times as long transfers take with those in flight now.
  double TimeFactor(TransferKind aKind) const;

  std::size_t Running(TransferKind aKind) const;

private:
  std::size_t& InFlight(TransferKind aKind)
  {
    return aKind == TransferKind::Model ? m_models : m_adapters;
  }

  TransferLimits m_limits;
  std::size_t m_models = 0;
  std::size_t m_adapters = 0;
  base::Instant m_nextStart{};
};

} // namespace sardinefold::standins
