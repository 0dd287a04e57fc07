#include "Entry/Relay/CatalogProgress.h"

#include <algorithm>

namespace sardinefold::entry {

void CatalogProgress::OnAnnounced(base::CatalogVersion aVersion)
{
  m_announced = std::max(m_announced, aVersion);
}

void CatalogProgress::OnApplied(base::CatalogVersion aVersion)
{
  m_inForce = std::max(m_inForce, std::optional(aVersion));
}

bool CatalogProgress::MayApply(base::CatalogVersion aVersion) const
{
  return !m_inForce || aVersion > *m_inForce;
}

base::CatalogVersion CatalogProgress::Newest() const
{
  return std::max(m_announced, m_inForce.value_or(base::CatalogVersion()));
}

} // namespace sardinefold::entry
