#pragma once

#include "Base/Time.h"

namespace sardinefold::engine {

/// Estimates how long a replica will stay unused from the gaps between its
/// uses.
class UsageEstimate
{
public:
  /// Uses closer together than this belong to one burst and do not count as a
  /// gap between bursts.
  static constexpr base::Duration kMaximumBurstGap = std::chrono::seconds(1);

  void RecordUse(base::Instant aNow);
  /// Expected time from now until the next use. A replica that has been idle
  /// for longer than its average gap is expected to stay idle for as long
  /// again.
  base::Duration ExpectedIdle(base::Instant aNow) const;
  base::Instant LastUse() const { return m_lastUse; }

private:
  bool m_wasUsed = false;
  base::Instant m_lastUse;
  base::Duration m_averageGap = std::chrono::minutes(10);
};

} // namespace sardinefold::engine
