#pragma once

#include "Base/Time.h"

namespace sardinefold::engine {

/// Estimates an event rate as an exponentially weighted moving average. The
/// estimate is corrected for the time observed so far, so that it is unbiased
/// from the start.
class DecayingRate
{
public:
  /// aTimeConstant is the time in which the weight of an event falls to 1/e.
  DecayingRate(base::Duration aTimeConstant, base::Instant aStart)
    : m_timeConstantSeconds(base::ToSeconds(aTimeConstant))
    , m_start(aStart)
    , m_countedAt(aStart)
  {
  }

  /// aWeight counts the event as a part of one, or as several.
  void OnEvent(base::Instant aNow, double aWeight = 1);
  /// Events per second.
  double PerSecond(base::Instant aNow) const;

private:
  /// Sum of the decayed weights of all events.
  double Weight(base::Instant aNow) const;

  double m_timeConstantSeconds;
  base::Instant m_start;
  double m_weight = 0;
  base::Instant m_countedAt;
};

} // namespace sardinefold::engine
