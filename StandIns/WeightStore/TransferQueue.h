#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace sardinefold::standins {

/// Speed of a store's transfers.
struct TransferLimits
{
  /// Duration of a model's transfer while at most m_modelsAtFullSpeed are in
  /// flight. With more, it grows in proportion to their number.
  base::Duration m_modelTime = std::chrono::milliseconds(800);
  std::size_t m_modelsAtFullSpeed = 4;
  /// Model transfers that may start per second.
  double m_modelsPerSecond = 4.5;
  base::Duration m_minimumAdapterTime = std::chrono::milliseconds(6);
  base::Duration m_maximumAdapterTime = std::chrono::milliseconds(20);
  std::size_t m_adaptersAtFullSpeed = 30;
  /// Factor on all durations.
  double m_slowdown = 1.0;
};

enum class TransferKind
{
  Model,
  Adapter
};

/// Shares the store's bandwidth among the transfers in flight.
class TransferQueue
{
public:
  explicit TransferQueue(TransferLimits aLimits)
    : m_limits(aLimits)
  {
  }

  TransferLimits& Limits() { return m_limits; }

  /// Reserves the start of a transfer and returns the time until then.
  base::Duration ReserveStart(TransferKind aKind, base::Instant aNow);
  void Begin(TransferKind aKind) { ++InFlight(aKind); }
  void End(TransferKind aKind) { --InFlight(aKind); }

  /// Returns the duration of a complete transfer at full speed. That of an
  /// adapter is derived from the hash of its name, so that it is the same each
  /// time.
  base::Duration FullSpeedTime(TransferKind aKind, std::size_t aNameHash) const;
  /// Returns the factor on the full-speed duration with the transfers that are
  /// in flight.
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
