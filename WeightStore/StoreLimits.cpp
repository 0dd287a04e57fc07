#include "WeightStore/StoreLimits.h"

#include <algorithm>

namespace sardinefold::weightstore {

StoreLimits ShareOf(StoreLimits const& aWhole, unsigned aAgents, unsigned aRank)
{
  unsigned const agents = std::max(aAgents, 1U);
  StoreLimits share = aWhole;
  share.m_concurrentLoads = std::max(aWhole.m_concurrentLoads / agents, 1U);
  share.m_concurrentAdapters = std::max(aWhole.m_concurrentAdapters / agents, 1U);
  share.m_loadsPerSecond = aWhole.m_loadsPerSecond / agents;
  share.m_firstGrantDelay = base::FromSeconds((aRank % agents) / aWhole.m_loadsPerSecond);
  return share;
}

} // namespace sardinefold::weightstore
