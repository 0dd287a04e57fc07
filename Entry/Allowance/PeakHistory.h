#pragma once

#include "Base/Units.h"

#include <array>
#include <cstdint>

namespace sardinefold::entry {

/// The highest value of a varying amount in each quarter second of the last 64
/// seconds. PeakSince never returns less than an amount recorded in its range.
class PeakHistory
{
public:
  /// Records the amount at a time; times must not decrease.
  void Record(base::Duration aTime, base::Tokens aAmount);
  bool Covers(base::Duration aTime) const;
  /// Returns the highest amount at or after a covered time.
  base::Tokens PeakSince(base::Duration aTime) const;
  /// Adds to every amount at or after a covered time.
  void Raise(base::Duration aTime, base::Tokens aIncrease);

private:
  static constexpr std::int64_t kCellCount = 256;
  static constexpr base::Duration kCellLength = std::chrono::milliseconds(250);

  static std::int64_t CellOf(base::Duration aTime) { return aTime / kCellLength; }
  base::Tokens& At(std::int64_t aCell)
  {
    return m_peaks[static_cast<std::size_t>(aCell % kCellCount)];
  }
  base::Tokens At(std::int64_t aCell) const
  {
    return m_peaks[static_cast<std::size_t>(aCell % kCellCount)];
  }

  std::array<base::Tokens, kCellCount> m_peaks{};
  std::int64_t m_oldest = -1;
  std::int64_t m_newest = -1;
  base::Tokens m_last;
};

} // namespace sardinefold::entry
