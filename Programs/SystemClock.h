#pragma once

#include "Base/Time.h"

#include <chrono>

namespace sardinefold::programs {

/// The only code that reads the system's clocks.
struct SystemClock
{
  static base::Instant Monotonic()
  {
    auto const sinceBoot = std::chrono::steady_clock::now().time_since_epoch();
    return base::Instant(std::chrono::duration_cast<base::Duration>(sinceBoot));
  }

  static base::WallTime Wall()
  {
    auto const sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() };
  }
};

} // namespace sardinefold::programs
