#pragma once

#include "Base/Log.h"
#include "Base/LoopLateness.h"
#include "Base/Metrics.h"

#include <string>

namespace sardinefold::programs {

/// Exports and logs how long the turns of a program's event loop keep its timers
/// waiting.
class LoopMonitor
{
public:
  /// aInterval is the time between two calls of OnTick().
  LoopMonitor(base::Metrics& aMetrics, base::Duration aInterval)
    : m_lateness(aInterval)
    , m_histogram(aMetrics.Seconds("sardinefold_loop_lateness_seconds",
                                   "How late a periodic timer of the event loop fires."))
  {
  }

  void OnTick(base::Instant aNow)
  {
    base::Observe(m_histogram, m_lateness.OnTick(aNow));
    if (auto const longest = m_lateness.TakeReport(aNow)) {
      base::log::Warning("event loop was blocked",
                         { { "late_ms", std::to_string(base::ToMilliseconds(*longest)) } });
    }
  }

private:
  base::LoopLateness m_lateness;
  prometheus::Histogram& m_histogram;
};

} // namespace sardinefold::programs
