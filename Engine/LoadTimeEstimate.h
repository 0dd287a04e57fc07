#pragma once

#include "Base/Time.h"
#include "Base/Units.h"

namespace sardinefold::engine {

/// Estimates load times from the loads observed so far.
class LoadTimeEstimate
{
public:
  void Observe(base::Bytes aWeights, base::Duration aTime);
  /// The expected time from sending the order to its completion.
  base::Duration ExpectedTime(base::Bytes aWeights) const;
  /// The time at the highest observed load speed; zero before the first load.
  base::Duration MinimumTime(base::Bytes aWeights) const;

private:
  bool m_hasSamples = false;
  double m_secondsPerByte = 1e-9;
  double m_fastestSecondsPerByte = 0;
};

} // namespace sardinefold::engine
