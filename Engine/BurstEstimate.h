#pragma once

#include "Base/Time.h"

namespace sardinefold::engine {

/// The burst of uses that a replica is in, as far as it has come.
struct Burst
{
  unsigned m_gaps = 0;
  base::Duration m_length{};
};

/// Learns from the gaps between uses how long a replica is worth keeping after
/// its last use. A gap either lies within a burst, and is then taken to be
/// exponentially distributed with a mean of that burst's own, or ends it.
class BurstEstimate
{
public:
  /// aBreakEven is the idle time that costs as much as a reload; aGapsInBurst
  /// is believed of a burst before the first sample.
  BurstEstimate(base::Duration aBreakEven, double aGapsInBurst);

  void OnGapWithinBurst(base::Duration aGap);
  void OnBurstEnd();

  /// How long to keep an idle replica after its last use: until the chance that
  /// the burst goes on is too small to pay for the waiting.
  base::Duration KeepTime(Burst const& aBurst) const;

private:
  void Decay();

  double m_breakEvenSeconds;
  /// Weighted counts, newer ones weighing more.
  double m_gaps;
  double m_ends;
  double m_gapSeconds;
};

} // namespace sardinefold::engine
