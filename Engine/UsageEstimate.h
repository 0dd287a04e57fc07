#pragma once

#include "Base/Time.h"

namespace sardinefold::engine {

/// Estimates how long a replica will stay unused, from the gaps between its
/// uses so far.
class UsageEstimate
{
public:
  /// Uses closer together than this belong to one burst and say nothing about
  /// the gap between bursts.
  static constexpr base::Duration kMaximumBurstGap = std::chrono::seconds(1);

  void RecordUse(base::Instant aNow);
  /// Time from now until the next use. A replica that has been silent for
  /// longer than its usual gap is expected to stay silent as long again.
  base::Duration ExpectedIdle(base::Instant aNow) const;
  base::Instant LastUse() const { return m_lastUse; }

private:
  bool m_wasUsed = false;
  base::Instant m_lastUse;
  base::Duration m_averageGap = std::chrono::minutes(10);
};

} // namespace sardinefold::engine
