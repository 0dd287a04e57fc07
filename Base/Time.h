#pragma once

#include <chrono>
#include <cstdint>

namespace sardinefold::base {

using Duration = std::chrono::nanoseconds;

/// The process's monotonic time scale. It has no now(): the current time is read
/// in the programs and passed to the deciding code as an argument.
struct MonotonicScale
{
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicScale, duration>;
};

/// A point on the monotonic time scale of one process. Instants of different
/// processes are not comparable.
using Instant = MonotonicScale::time_point;

/// Milliseconds since 1970-01-01 UTC. Wall-clock time is only for display; no
/// decision compares it.
struct WallTime
{
  std::int64_t m_milliseconds = 0;
};

constexpr double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

constexpr Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

constexpr std::int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace sardinefold::base
