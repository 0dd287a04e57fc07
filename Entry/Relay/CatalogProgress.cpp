#include "Entry/Relay/CatalogProgress.h"

#include <algorithm>

namespace sardinefold::entry {

void CatalogProgress::OnAnnounced(base::CatalogVersion aVersion, base::Instant aNow)
{
  m_announced = std::max(m_announced, aVersion);
  if (!m_inForce || aNow - m_firstAppliedAt < m_limits.m_startTime) {
    m_awaited = m_announced;
  }
}

void CatalogProgress::OnApplied(base::CatalogVersion aVersion, base::Instant aNow)
{
  if (!m_inForce) {
    m_firstAppliedAt = aNow;
  }
  m_inForce = std::max(m_inForce, std::optional(aVersion));
}

bool CatalogProgress::MayApply(base::CatalogVersion aVersion) const
{
  return !m_inForce || aVersion > *m_inForce;
}

bool CatalogProgress::IsHeld(base::Instant aNow) const
{
  return m_inForce && *m_inForce < m_awaited && aNow - m_firstAppliedAt < m_limits.m_maximumHold;
}

base::CatalogVersion CatalogProgress::Newest() const
{
  return std::max(m_announced, m_inForce.value_or(base::CatalogVersion()));
}

} // namespace sardinefold::entry
