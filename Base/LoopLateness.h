#pragma once

#include "Base/Time.h"

#include <optional>

namespace sardinefold::base {

/// Tells from the times at which a periodic timer fires for how long the event loop
/// was blocked.
class LoopLateness
{
public:
  explicit LoopLateness(Duration aInterval)
    : m_interval(aInterval)
  {
  }

  /// To be called each time the timer fires. Returns how late it is.
  Duration OnTick(Instant aNow);
  /// Returns the longest lateness since the last report if it is worth one. There is
  /// at most one report a second.
  std::optional<Duration> TakeReport(Instant aNow);

private:
  Duration m_interval;
  std::optional<Instant> m_lastTick;
  std::optional<Instant> m_lastReport;
  Duration m_longest{};
};

} // namespace sardinefold::base
