#include "Engine/DecayingRate.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::engine {

namespace {

/// Lower bound for the observed time: in a shorter one, a single event would
/// yield a high rate.
constexpr double kMinimumObservationSeconds = 1;

} // namespace

double DecayingRate::Weight(base::Instant aNow) const
{
  return m_weight * std::exp(-base::ToSeconds(aNow - m_countedAt) / m_timeConstantSeconds);
}

void DecayingRate::OnEvent(base::Instant aNow, double aWeight)
{
  m_weight = Weight(aNow) + aWeight;
  m_countedAt = aNow;
}

double DecayingRate::PerSecond(base::Instant aNow) const
{
  double const observed = std::max(base::ToSeconds(aNow - m_start), kMinimumObservationSeconds);
  return Weight(aNow) / (m_timeConstantSeconds * (1 - std::exp(-observed / m_timeConstantSeconds)));
}

} // namespace sardinefold::engine
