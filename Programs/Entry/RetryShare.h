#pragma once

#include "Base/Time.h"

#include <algorithm>

namespace sardinefold::programs {

/// Lets at most a fifth as many retries as requests through, and a few more
/// when there are few requests.
class RetryShare
{
public:
  void NoteRequest(base::Instant) { m_available = std::min(m_available + kShare, kMost); }

  bool TryTake(base::Instant)
  {
    if (m_available < 1) {
      return false;
    }
    m_available -= 1;
    return true;
  }

private:
  static constexpr double kShare = 0.2;
  static constexpr double kMost = 20;

  double m_available = kMost;
};

} // namespace sardinefold::programs
