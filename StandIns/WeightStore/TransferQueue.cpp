#include "StandIns/WeightStore/TransferQueue.h"

#include <algorithm>

namespace sardinefold::standins {

base::Duration TransferQueue::ReserveStart(TransferKind aKind, base::Instant aNow)
{
  if (aKind == TransferKind::Adapter) {
    return base::Duration::zero();
  }
  auto const start = std::max(m_nextStart, aNow);
  m_nextStart = start + base::FromSeconds(m_limits.m_slowdown / m_limits.m_modelsPerSecond);
  return start - aNow;
}

base::Duration TransferQueue::FullSpeedTime(TransferKind aKind, std::size_t aNameHash) const
{
  if (aKind == TransferKind::Model) {
    return m_limits.m_modelTime;
  }
  constexpr std::size_t kSteps = 1000;
  auto const step = static_cast<double>(aNameHash % (kSteps + 1)) / kSteps;
  auto const range = m_limits.m_maximumAdapterTime - m_limits.m_minimumAdapterTime;
  return m_limits.m_minimumAdapterTime + base::FromSeconds(base::ToSeconds(range) * step);
}

double TransferQueue::TimeFactor(TransferKind aKind) const
{
  auto const fullSpeed =
    aKind == TransferKind::Model ? m_limits.m_modelsAtFullSpeed : m_limits.m_adaptersAtFullSpeed;
  auto const share = static_cast<double>(Running(aKind)) / static_cast<double>(fullSpeed);
  return m_limits.m_slowdown * std::max(1.0, share);
}

std::size_t TransferQueue::Running(TransferKind aKind) const
{
  return aKind == TransferKind::Model ? m_models : m_adapters;
}

} // namespace sardinefold::standins
