#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/ShareKey.h"

#include <algorithm>
#include <optional>

namespace sardinefold::bench {

/// Token bucket that every request reaches without delay. With the complete
/// allowance of a workspace it is the oracle: the requests that it admits are
/// those within the rate.
class OracleBucket
{
public:
  explicit OracleBucket(entry::Allowance aAllowance)
    : m_rate(aAllowance.m_rate.Value())
    , m_burst(static_cast<double>(aAllowance.m_burst.Value()))
    , m_level(m_burst)
  {
  }

  void SetAllowance(entry::Allowance aAllowance, base::Instant aNow)
  {
    Refill(aNow);
    m_rate = aAllowance.m_rate.Value();
    m_burst = static_cast<double>(aAllowance.m_burst.Value());
    m_level = std::min(m_level, m_burst);
  }

  bool Reserve(base::Tokens aTokens, base::Instant aNow)
  {
    Refill(aNow);
    auto const tokens = static_cast<double>(aTokens.Value());
    if (m_level < tokens) {
      return false;
    }
    m_level -= tokens;
    return true;
  }

  /// Returns how long a request would have to wait; nothing if it never fits.
  std::optional<base::Duration> WaitFor(base::Tokens aTokens, base::Instant aNow)
  {
    Refill(aNow);
    auto const tokens = static_cast<double>(aTokens.Value());
    if (tokens > m_burst) {
      return std::nullopt;
    }
    return base::FromSeconds(std::max(0.0, tokens - m_level) / m_rate);
  }

  /// Takes tokens, including some that are not refilled yet.
  void TakeInAdvance(base::Tokens aTokens, base::Instant aNow)
  {
    Refill(aNow);
    m_level -= static_cast<double>(aTokens.Value());
  }

  void Clear(base::Instant aNow)
  {
    Refill(aNow);
    m_level = 0;
  }

  void Refund(base::Tokens aTokens, base::Instant aNow)
  {
    Refill(aNow);
    m_level = std::min(m_burst, m_level + static_cast<double>(aTokens.Value()));
  }

private:
  void Refill(base::Instant aNow)
  {
    m_level = std::min(m_burst, m_level + m_rate * base::ToSeconds(aNow - m_updatedAt));
    m_updatedAt = aNow;
  }

  double m_rate;
  double m_burst;
  double m_level;
  base::Instant m_updatedAt;
};

} // namespace sardinefold::bench
