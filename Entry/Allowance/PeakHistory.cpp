#include "Entry/Allowance/PeakHistory.h"

#include <algorithm>

namespace sardinefold::entry {

void PeakHistory::Record(base::Duration aTime, base::Tokens aAmount)
{
  std::int64_t const cell = CellOf(aTime);
  if (m_oldest < 0) {
    m_oldest = cell;
    m_newest = cell;
    At(cell) = aAmount;
  }
  std::int64_t const oldestToFill = std::max(m_newest + 1, cell - kCellCount + 1);
  for (std::int64_t index = oldestToFill; index <= cell; ++index) {
    At(index) = m_last;
  }
  m_newest = std::max(m_newest, cell);
  m_oldest = std::max(m_oldest, m_newest - kCellCount + 1);
  At(m_newest) = std::max(At(m_newest), aAmount);
  m_last = aAmount;
}

bool PeakHistory::Covers(base::Duration aTime) const
{
  std::int64_t const cell = CellOf(aTime);
  return aTime >= base::Duration::zero() && cell >= m_oldest && cell <= m_newest;
}

base::Tokens PeakHistory::PeakSince(base::Duration aTime) const
{
  base::Tokens peak;
  for (std::int64_t cell = CellOf(aTime); cell <= m_newest; ++cell) {
    peak = std::max(peak, At(cell));
  }
  return peak;
}

void PeakHistory::Raise(base::Duration aTime, base::Tokens aIncrease)
{
  for (std::int64_t cell = CellOf(aTime); cell <= m_newest; ++cell) {
    At(cell) += aIncrease;
  }
  m_last += aIncrease;
}

} // namespace sardinefold::entry
