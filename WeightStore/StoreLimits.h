#pragma once

#include "Base/Time.h"

namespace sardinefold::weightstore {

/// Limits within which the weight store serves loads at full speed.
struct StoreLimits
{
  unsigned m_concurrentLoads = 4;
  double m_loadsPerSecond = 4.5;
  unsigned m_concurrentAdapters = 30;
  /// Longest time that a slot is held; longer than the time-out of a load order.
  base::Duration m_slotLease = std::chrono::seconds(30);
  /// No load starts earlier than this after the gate's start.
  base::Duration m_firstGrantDelay{};
};

/// Returns the share of the limits that one of aAgents agents uses while no common
/// gate is reachable. The loads per second of all shares sum to the limit; the
/// agents' ranks, starting at 0, stagger their first loads.
StoreLimits ShareOf(StoreLimits const& aLimits, unsigned aAgents, unsigned aRank);

} // namespace sardinefold::weightstore
