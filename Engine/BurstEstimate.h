#pragma once

#include "Base/Time.h"

namespace sardinefold::engine {

/// The burst of uses that a replica is in, up to its latest use.
struct Burst
{
  unsigned m_gaps = 0;
  base::Duration m_length{};
};

/// Estimates from the gaps between uses how long a replica is worth keeping
/// after its last use. Each gap either lies within a burst or ends it. Gaps
/// within a burst are modelled as exponentially distributed, with a separate
/// mean for each burst.
class BurstEstimate
{
public:
  /// aBreakEven is the idle time that costs as much as a reload; aGapsInBurst
  /// is the assumed number of gaps in a burst before the first sample.
  BurstEstimate(base::Duration aBreakEven, double aGapsInBurst);

  void OnGapWithinBurst(base::Duration aGap);
  void OnBurstEnd();

  /// How long to keep an idle replica after its last use: until the probability
  /// that the burst continues no longer justifies the memory it holds.
  base::Duration KeepTime(Burst const& aBurst) const;

private:
  void Decay();

  double m_breakEvenSeconds;
  /// Counts that are exponentially weighted towards newer samples.
  double m_gaps;
  double m_ends;
  double m_gapSeconds;
};

} // namespace sardinefold::engine
