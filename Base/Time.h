#pragma once

#include <chrono>
#include <cstdint>

namespace sardinefold::base {

using Duration = std::chrono::nanoseconds;

/// The process's monotonic time scale. It has no now(): the present time is
/// read at the edge of a program and passed to whatever decides.
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

/// Milliseconds since 1970-01-01 UTC, for people to read; never compared to
/// decide.
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
