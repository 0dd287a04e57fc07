#include "Engine/BurstEstimate.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::engine {

namespace {

/// Factor by which the weight of all earlier samples falls with each new one.
constexpr double kDecayFactor = 0.99;
/// Prior before the first sample: bursts of eight gaps, with a mean gap of a
/// tenth of the break-even time.
constexpr double kPriorGaps = 8;
constexpr double kPriorEnds = 1;
constexpr double kPriorGapShare = 0.1;
/// Number of gaps after which a burst's own mean gap weighs as much as the
/// average over all bursts.
constexpr double kAverageGapWeight = 2;

} // namespace

BurstEstimate::BurstEstimate(base::Duration aBreakEven, double aGapsInBurst)
  : m_breakEvenSeconds(base::ToSeconds(aBreakEven))
  , m_gaps(aGapsInBurst * kPriorEnds)
  , m_ends(kPriorEnds)
  , m_gapSeconds(m_gaps * kPriorGapShare * m_breakEvenSeconds)
{
}

void BurstEstimate::OnGapWithinBurst(base::Duration aGap)
{
  Decay();
  m_gaps += 1;
  m_gapSeconds += base::ToSeconds(aGap);
}

void BurstEstimate::OnBurstEnd()
{
  Decay();
  m_ends += 1;
}

void BurstEstimate::Decay()
{
  m_gaps *= kDecayFactor;
  m_ends *= kDecayFactor;
  m_gapSeconds *= kDecayFactor;
}

base::Duration BurstEstimate::KeepTime(Burst const& aBurst) const
{
  // With mean gap m and odds o that a gap lies within the burst, the odds after
  // an idle time t are o * exp(-t / m). Waiting costs one second per second and
  // saves the break-even time B at the rate p / m, where p is the probability
  // that the burst continues; so it pays while p > m / B.
  double const average = m_gapSeconds / std::max(m_gaps, 1e-9);
  double const mean = (average * kAverageGapWeight + base::ToSeconds(aBurst.m_length)) /
                      (kAverageGapWeight + aBurst.m_gaps);
  if (mean >= m_breakEvenSeconds || mean <= 0) {
    return base::Duration::zero();
  }
  double const odds = m_gaps / std::max(m_ends, 1e-9);
  double const gain = odds * (m_breakEvenSeconds - mean) / mean;
  double const seconds = gain > 1 ? mean * std::log(gain) : 0;
  return base::FromSeconds(std::min(seconds, m_breakEvenSeconds));
}

} // namespace sardinefold::engine
