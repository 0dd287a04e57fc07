#include "Engine/DecayingRate.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::engine {

namespace {

/// A shorter watch says little: one event in it would count as a high rate.
constexpr double kMinimumObservationSeconds = 1;

} // namespace

double DecayingRate::Weight(base::Instant aNow) const
{
  return m_weight * std::exp(-base::ToSeconds(aNow - m_countedAt) / m_timeConstantSeconds);
}

void DecayingRate::OnEvent(base::Instant aNow)
{
  m_weight = Weight(aNow) + 1;
  m_countedAt = aNow;
}

double DecayingRate::PerSecond(base::Instant aNow) const
{
  double const observed = std::max(base::ToSeconds(aNow - m_start), kMinimumObservationSeconds);
  return Weight(aNow) / (m_timeConstantSeconds * (1 - std::exp(-observed / m_timeConstantSeconds)));
}

} // namespace sardinefold::engine
