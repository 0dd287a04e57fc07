#include "Engine/WarmUpFleetSize.h"

#include <algorithm>

namespace sardinefold::engine {

void WarmUpFleetSize::OnReport(unsigned aProcesses, base::Instant aNow)
{
  if (aProcesses == 0) {
    return;
  }
  if (!m_firstAt) {
    m_firstAt = aNow;
    m_periodStart = aNow;
  }
  if (aNow - m_periodStart >= kMemory) {
    m_highestBefore = m_highest;
    m_highest = 0;
    m_periodStart = aNow;
  }
  m_highest = std::max(m_highest, aProcesses);
}

unsigned WarmUpFleetSize::Size() const
{
  return std::max({ m_highest, m_highestBefore, kLeast });
}

std::optional<base::Instant> WarmUpFleetSize::SettlesAt() const
{
  return m_firstAt ? std::optional(*m_firstAt + kSettleTime) : std::nullopt;
}

} // namespace sardinefold::engine
