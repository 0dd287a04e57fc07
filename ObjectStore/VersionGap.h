#pragma once

#include "Base/Time.h"
#include "Base/Units.h"
#include "ObjectStore/RandomSource.h"

#include <algorithm>
#include <optional>

namespace sardinefold::objectstore {

/// Changes that a process has missed, and when it reads them from the store. The
/// time is random, so that the processes that miss the same changes do not all
/// read at once.
class VersionGap
{
public:
  VersionGap(base::Duration aMaximumWait, std::uint64_t aSeed)
    : m_maximumWait(aMaximumWait)
    , m_random(aSeed)
  {
  }

  /// Records that changes up to aVersion are missing.
  void OnGap(base::ObjectVersion aVersion, base::Instant aNow)
  {
    if (!m_readAt) {
      m_readAt = aNow + m_random.Below(m_maximumWait);
    }
    m_end = std::max(m_end, aVersion);
  }

  /// Records up to which version all changes are known now.
  void OnVersion(base::ObjectVersion aVersion)
  {
    if (aVersion >= m_end) {
      m_readAt.reset();
    }
  }

  bool IsDue(base::Instant aNow) const { return m_readAt && *m_readAt <= aNow; }
  /// Returns the largest duration if there is no gap.
  base::Duration TimeUntilDue(base::Instant aNow) const
  {
    return m_readAt ? std::max(*m_readAt - aNow, base::Duration::zero()) : base::Duration::max();
  }

private:
  base::Duration m_maximumWait;
  RandomSource m_random;
  base::ObjectVersion m_end;
  std::optional<base::Instant> m_readAt;
};

} // namespace sardinefold::objectstore
