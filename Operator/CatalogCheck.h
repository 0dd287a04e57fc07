#pragma once

#include "Operator/CatalogFinding.h"
#include "Operator/ServingCatalog.h"

#include <optional>
#include <set>

namespace sardinefold::operators {

/// What a site offers to a catalog, as far as it is known where the catalog is checked.
struct SiteCapacity
{
  /// The regions of the site; empty if they are not known.
  std::set<base::RegionId> m_regions;
  /// Memory of the smallest gateway.
  std::optional<base::Bytes> m_gatewayMemory;
};

/// Checks a catalog by itself: references, entries that can never match, and limits that
/// contradict each other. Returns all findings, section by section.
CatalogFindings CheckCatalog(ServingCatalog const& aCatalog, SiteCapacity const& aSite);

} // namespace sardinefold::operators
