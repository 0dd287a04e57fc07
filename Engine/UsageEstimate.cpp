#include "Engine/UsageEstimate.h"

namespace sardinefold::engine {

namespace {

/// Weight of the newest gap in the moving average.
constexpr int kNewestGapDivisor = 4;

} // namespace

void UsageEstimate::RecordUse(base::Instant aNow)
{
  base::Duration const gap = aNow - m_lastUse;
  if (m_wasUsed && gap > kMaximumBurstGap) {
    m_averageGap += (gap - m_averageGap) / kNewestGapDivisor;
  }
  m_wasUsed = true;
  m_lastUse = aNow;
}

base::Duration UsageEstimate::ExpectedIdle(base::Instant aNow) const
{
  base::Duration const silent = aNow - m_lastUse;
  if (silent > m_averageGap) {
    return silent;
  }
  return m_averageGap - silent + kMaximumBurstGap;
}

} // namespace sardinefold::engine
