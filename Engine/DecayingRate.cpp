#include "Engine/DecayingRate.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::engine {

namespace {

/// A shorter watch says little: one event in it would count as a high rate.
constexpr double kShortestWatchSeconds = 1;

} // namespace

double DecayingRate::Weight(base::Instant aNow) const
{
  return m_weight * std::exp(-base::ToSeconds(aNow - m_countedAt) / m_averaged);
}

void DecayingRate::OnEvent(base::Instant aNow)
{
  m_weight = Weight(aNow) + 1;
  m_countedAt = aNow;
}

double DecayingRate::PerSecond(base::Instant aNow) const
{
  double const watched = std::max(base::ToSeconds(aNow - m_start), kShortestWatchSeconds);
  return Weight(aNow) / (m_averaged * (1 - std::exp(-watched / m_averaged)));
}

} // namespace sardinefold::engine
