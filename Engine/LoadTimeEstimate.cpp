#include "Engine/LoadTimeEstimate.h"

#include <algorithm>

namespace sardinefold::engine {

namespace {

/// Weight of the newest load in the moving average.
constexpr double kNewestWeight = 0.25;

base::Duration TimeFor(base::Bytes aWeights, double aSecondsPerByte)
{
  return base::FromSeconds(static_cast<double>(aWeights.Value()) * aSecondsPerByte);
}

} // namespace

void LoadTimeEstimate::Observe(base::Bytes aWeights, base::Duration aTime)
{
  if (aWeights <= base::Bytes(0) || aTime <= base::Duration::zero()) {
    return;
  }
  double const seen = base::ToSeconds(aTime) / static_cast<double>(aWeights.Value());
  if (!m_hasSamples) {
    m_secondsPerByte = seen;
    m_fastestSecondsPerByte = seen;
    m_hasSamples = true;
    return;
  }
  m_secondsPerByte += (seen - m_secondsPerByte) * kNewestWeight;
  m_fastestSecondsPerByte = std::min(m_fastestSecondsPerByte, seen);
}

base::Duration LoadTimeEstimate::ExpectedTime(base::Bytes aWeights) const
{
  return TimeFor(aWeights, m_secondsPerByte);
}

base::Duration LoadTimeEstimate::MinimumTime(base::Bytes aWeights) const
{
  return TimeFor(aWeights, m_fastestSecondsPerByte);
}

} // namespace sardinefold::engine
