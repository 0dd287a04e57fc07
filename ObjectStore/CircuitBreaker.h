#pragma once

#include "Base/Time.h"
#include "ObjectStore/Backoff.h"

#include <cstdint>
#include <memory>

namespace sardinefold::objectstore {

enum class CircuitState
{
  Closed,
  Open,
  HalfOpen
};

struct CircuitLimits
{
  /// Consecutive failures that open the circuit.
  std::uint32_t m_failures = 3;
  BackoffLimits m_backoff{ std::chrono::milliseconds(200), std::chrono::seconds(5) };
  /// A probe whose result was not reported after this time counts as lost.
  base::Duration m_probeTime = std::chrono::seconds(10);
};

/// Stops calls to a failing platform, and admits single probes at random, growing
/// intervals to detect its recovery.
class CircuitBreaker
{
public:
  CircuitBreaker(CircuitLimits aLimits, std::uint64_t aSeed);
  ~CircuitBreaker();
  CircuitBreaker(CircuitBreaker&&) noexcept;
  CircuitBreaker& operator=(CircuitBreaker&&) noexcept;

  /// Whether a call may be made now. A call that was allowed while the circuit
  /// is not closed is the probe.
  bool Allow(base::Instant aNow);
  /// Whether Allow() would return false, without a change of state.
  bool IsRefusing(base::Instant aNow) const;
  void OnSuccess(base::Instant aNow);
  void OnFailure(base::Instant aNow);

  CircuitState State() const;

private:
  class StateMachine;
  std::unique_ptr<StateMachine> m_stateMachine;
};

} // namespace sardinefold::objectstore
