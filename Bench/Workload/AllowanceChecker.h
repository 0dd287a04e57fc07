#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/ShareKey.h"

#include <algorithm>

namespace sardinefold::bench {

/// Sums what upstreams received for one workspace and finds the window that
/// exceeds its allowance most. Knows nothing of shares or slices.
///
/// The greatest excess over all windows that end now, max(sum - rate * length),
/// follows from that of the last receipt: it falls at the rate, never under 0.
class AllowanceChecker
{
public:
  explicit AllowanceChecker(entry::Allowance aAllowance)
    : m_rate(aAllowance.m_rate.Value())
    , m_burst(static_cast<double>(aAllowance.m_burst.Value()))
    , m_bound(m_burst)
  {
  }

  /// The allowance from this time on. What a larger one before it allowed may
  /// be seen in windows that reach back, and falls at the new rate.
  void SetAllowance(entry::Allowance aAllowance, base::Instant aNow)
  {
    Fall(aNow);
    m_rate = aAllowance.m_rate.Value();
    m_burst = static_cast<double>(aAllowance.m_burst.Value());
    m_bound = std::max(m_bound, m_burst);
  }

  /// An upstream received a request that used this many tokens.
  void Receive(base::Tokens aTokens, base::Instant aNow)
  {
    Fall(aNow);
    m_excess += static_cast<double>(aTokens.Value());
    m_received += aTokens;
    m_worst = std::max(m_worst, m_excess / m_bound);
  }

  /// Greatest part of the burst that any window used; over 1 is a violation.
  double MaxOverAllowance() const { return m_worst; }
  base::Tokens Received() const { return m_received; }

private:
  void Fall(base::Instant aNow)
  {
    double const fall = m_rate * base::ToSeconds(aNow - m_last);
    m_excess = std::max(0.0, m_excess - fall);
    m_bound = std::max(m_burst, m_bound - fall);
    m_last = aNow;
  }

  double m_rate;
  double m_burst;
  double m_bound;
  double m_excess = 0;
  double m_worst = 0;
  base::Tokens m_received;
  base::Instant m_last;
};

} // namespace sardinefold::bench
