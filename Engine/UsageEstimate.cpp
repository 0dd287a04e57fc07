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
  base::Duration const idle = aNow - m_lastUse;
  if (idle > m_averageGap) {
    return idle;
  }
  return m_averageGap - idle + kMaximumBurstGap;
}

} // namespace sardinefold::engine
