#include "WeightStore/StoreLimits.h"

#include <algorithm>

namespace sardinefold::weightstore {

StoreLimits ShareOf(StoreLimits const& aLimits, unsigned aAgents, unsigned aRank)
{
  unsigned const agents = std::max(aAgents, 1U);
  StoreLimits share = aLimits;
  share.m_concurrentLoads = std::max(aLimits.m_concurrentLoads / agents, 1U);
  share.m_concurrentAdapters = std::max(aLimits.m_concurrentAdapters / agents, 1U);
  share.m_loadsPerSecond = aLimits.m_loadsPerSecond / agents;
  share.m_firstGrantDelay = base::FromSeconds((aRank % agents) / aLimits.m_loadsPerSecond);
  return share;
}

} // namespace sardinefold::weightstore
