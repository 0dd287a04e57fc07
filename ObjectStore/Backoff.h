#pragma once

#include "ObjectStore/RandomSource.h"

#include <algorithm>

namespace sardinefold::objectstore {

struct BackoffLimits
{
  base::Duration m_initial = std::chrono::milliseconds(100);
  base::Duration m_maximum = std::chrono::seconds(5);
};

/// Exponential backoff with full jitter: the n-th wait is random between zero
/// and the first limit doubled n times.
class Backoff
{
public:
  Backoff(BackoffLimits aLimits, std::uint64_t aSeed)
    : m_limits(aLimits)
    , m_current(aLimits.m_initial)
    , m_random(aSeed)
  {
  }

  base::Duration Next()
  {
    auto const wait = m_random.Below(m_current);
    m_current = std::min(m_current * 2, m_limits.m_maximum);
    return wait;
  }

  void Reset() { m_current = m_limits.m_initial; }

private:
  BackoffLimits m_limits;
  base::Duration m_current;
  RandomSource m_random;
};

} // namespace sardinefold::objectstore
