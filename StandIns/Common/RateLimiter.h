#pragma once

#include "Base/Time.h"

#include <algorithm>
#include <cstdint>

namespace sardinefold::standins {

/// Token bucket that admits a number of calls per second. The burst is one
/// second of the rate.
class RateLimiter
{
public:
  explicit RateLimiter(double aCallsPerSecond)
    : m_callsPerSecond(aCallsPerSecond)
    , m_tokens(aCallsPerSecond)
  {
  }

  bool Admit(base::Instant aNow)
  {
    auto const refilled = m_tokens + m_callsPerSecond * base::ToSeconds(aNow - m_refilledAt);
    m_tokens = std::min(m_callsPerSecond, refilled);
    m_refilledAt = aNow;
    if (m_tokens < 1.0) {
      ++m_refused;
      return false;
    }
    m_tokens -= 1.0;
    ++m_admitted;
    return true;
  }

  std::uint64_t Admitted() const { return m_admitted; }
  std::uint64_t Refused() const { return m_refused; }

private:
  double m_callsPerSecond;
  double m_tokens;
  base::Instant m_refilledAt{};
  std::uint64_t m_admitted = 0;
  std::uint64_t m_refused = 0;
};

} // namespace sardinefold::standins
