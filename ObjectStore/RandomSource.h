#pragma once

#include "Base/Time.h"

#include <cstdint>

namespace sardinefold::objectstore {

/// A SplitMix64 generator for jitter; the same seed yields the same numbers.
class RandomSource
{
public:
  explicit RandomSource(std::uint64_t aSeed)
    : m_state(aSeed)
  {
  }

  /// At least 0 and less than 1.
  double Fraction();
  /// At least zero and less than the given time.
  base::Duration Below(base::Duration aLimit);

private:
  std::uint64_t m_state;
};

} // namespace sardinefold::objectstore
