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
  /// Failures in a row that open the circuit.
  std::uint32_t m_failures = 3;
  BackoffLimits m_backoff{ std::chrono::milliseconds(200), std::chrono::seconds(5) };
  /// After this a probe whose result was never told counts as lost.
  base::Duration m_probeTime = std::chrono::seconds(10);
};

/// Stops calls to a platform that fails, and lets one through at a time, after
/// random and growing waits, to see whether it has returned.
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
  /// Whether Allow() would say no; asking changes nothing.
  bool IsRefusing(base::Instant aNow) const;
  void OnSuccess(base::Instant aNow);
  void OnFailure(base::Instant aNow);

  CircuitState State() const;

private:
  class StateMachine;
  std::unique_ptr<StateMachine> m_stateMachine;
};

} // namespace sardinefold::objectstore
