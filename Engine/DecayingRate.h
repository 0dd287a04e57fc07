#pragma once

#include "Base/Time.h"

namespace sardinefold::engine {

/// Estimates how often something happens, newer events weighing more. Until it
/// has watched for several times its averaging time, the estimate counts only
/// the time that it has watched, so that it is right from the start.
class DecayingRate
{
public:
  /// aTimeConstant is the time after which an event weighs 1/e of a new one.
  DecayingRate(base::Duration aTimeConstant, base::Instant aStart)
    : m_timeConstantSeconds(base::ToSeconds(aTimeConstant))
    , m_start(aStart)
    , m_countedAt(aStart)
  {
  }

  void OnEvent(base::Instant aNow);
  /// Events per second.
  double PerSecond(base::Instant aNow) const;

private:
  /// What is left of the events' weights.
  double Weight(base::Instant aNow) const;

  double m_timeConstantSeconds;
  base::Instant m_start;
  double m_weight = 0;
  base::Instant m_countedAt;
};

} // namespace sardinefold::engine
