#pragma once

#include "Base/Time.h"

namespace sardinefold::weightstore {

/// What the weight store carries at full speed.
struct StoreLimits
{
  unsigned m_concurrentLoads = 4;
  double m_loadsPerSecond = 4.5;
  unsigned m_concurrentAdapters = 30;
  /// How long a slot may be held; longer than the bound of a load order.
  base::Duration m_slotLease = std::chrono::seconds(30);
  /// No load begins earlier than this after the gate's start.
  base::Duration m_firstGrantDelay{};
};

/// The part of the limits that one of aAgents agents keeps to while no common
/// gate can be reached. The loads per second of all parts sum to the whole;
/// the agents' ranks, from 0, stagger their first loads.
StoreLimits ShareOf(StoreLimits const& aLimits, unsigned aAgents, unsigned aRank);

} // namespace sardinefold::weightstore
