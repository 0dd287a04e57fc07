#pragma once

#include "Base/Time.h"
#include "Base/Units.h"

namespace sardinefold::engine {

/// Estimates how long a load takes from the loads seen so far.
class LoadTimeEstimate
{
public:
  void Observe(base::Bytes aWeights, base::Duration aTime);
  /// The expected time from the order to its end.
  base::Duration ExpectedTime(base::Bytes aWeights) const;
  /// No load seen was faster than this; zero before the first one.
  base::Duration MinimumTime(base::Bytes aWeights) const;

private:
  bool m_hasSamples = false;
  double m_secondsPerByte = 1e-9;
  double m_fastestSecondsPerByte = 0;
};

} // namespace sardinefold::engine
