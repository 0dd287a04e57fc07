#include "Engine/UsageEstimate.h"

namespace sardinefold::engine {

namespace {

/// Weight of the newest gap in the moving average.
constexpr int kNewestGapDivisor = 4;

} // namespace

void UsageEstimate::Use(base::Instant aNow)
{
  base::Duration const gap = aNow - m_lastUse;
  if (m_wasUsed && gap > kBurstGap) {
    m_usualGap += (gap - m_usualGap) / kNewestGapDivisor;
  }
  m_wasUsed = true;
  m_lastUse = aNow;
}

base::Duration UsageEstimate::ExpectedIdle(base::Instant aNow) const
{
  base::Duration const silent = aNow - m_lastUse;
  if (silent > m_usualGap) {
    return silent;
  }
  return m_usualGap - silent + kBurstGap;
}

} // namespace sardinefold::engine
