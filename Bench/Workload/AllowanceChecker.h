#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/ShareKey.h"

#include <algorithm>

namespace sardinefold::bench {

/// Sums the tokens that upstreams received for one workspace and finds the
/// window that exceeds its allowance most, independently of shares and slices.
///
/// The greatest excess over all windows that end now, max(sum - rate * length),
/// follows from its value at the last receipt: it decreases at the rate, down
/// to 0.
class AllowanceChecker
{
public:
  explicit AllowanceChecker(entry::Allowance aAllowance)
    : m_rate(aAllowance.m_rate.Value())
    , m_burst(static_cast<double>(aAllowance.m_burst.Value()))
    , m_bound(m_burst)
  {
  }

  /// Sets the allowance that applies from aNow. A window that began earlier may
  /// contain the larger of both bursts; windows that begin after aSettled may
  /// contain the new one only.
  void SetAllowance(entry::Allowance aAllowance, base::Instant aNow, base::Instant aSettled)
  {
    Leak(aNow);
    m_rate = aAllowance.m_rate.Value();
    m_burst = static_cast<double>(aAllowance.m_burst.Value());
    m_bound = std::max(m_bound, m_burst);
    m_settledExcess = 0;
    m_settledAt = aSettled;
  }

  /// Records that an upstream received a request that uses aTokens.
  void Receive(base::Tokens aTokens, base::Instant aNow)
  {
    Leak(aNow);
    auto const tokens = static_cast<double>(aTokens.Value());
    m_excess += tokens;
    m_received += aTokens;
    m_maximumRatio = std::max(m_maximumRatio, m_excess / m_bound);
    if (aNow >= m_settledAt) {
      m_settledExcess += tokens;
      m_maximumRatio = std::max(m_maximumRatio, m_settledExcess / m_burst);
    }
  }

  /// Returns the greatest fraction of the burst that any window used. More than
  /// 1 is a violation.
  double MaxOverAllowance() const { return m_maximumRatio; }
  base::Tokens Received() const { return m_received; }

private:
  void Leak(base::Instant aNow)
  {
    double const leaked = m_rate * base::ToSeconds(aNow - m_updatedAt);
    m_excess = std::max(0.0, m_excess - leaked);
    m_settledExcess = std::max(0.0, m_settledExcess - leaked);
    if (m_excess == 0) {
      m_bound = m_burst;
    }
    m_updatedAt = aNow;
  }

  double m_rate;
  double m_burst;
  /// Burst that windows with the present excess may contain.
  double m_bound;
  /// Greatest excess over all windows that end at m_updatedAt.
  double m_excess = 0;
  /// Greatest excess over windows that began after the latest change of the
  /// allowance had settled.
  double m_settledExcess = 0;
  base::Instant m_settledAt;
  double m_maximumRatio = 0;
  base::Tokens m_received;
  base::Instant m_updatedAt;
};

} // namespace sardinefold::bench
