#pragma once

#include "Operator/CatalogFinding.h"
#include "Operator/ChangeKind.h"
#include "Operator/ServingCatalog.h"

#include <string>
#include <vector>

namespace sardinefold::operators {

/// One entry in which a catalog differs from the one in force.
struct CatalogChange
{
  ChangeKind m_kind = ChangeKind::Changed;
  CatalogSection m_section = CatalogSection::Whole;
  /// Name of the entry; empty for the section as a whole.
  std::string m_entry;
  /// What the change does, one text a field. Never holds a key.
  std::vector<std::string> m_effects;
};

/// Returns what changes when aAfter replaces aInForce, section by section.
std::vector<CatalogChange> CompareCatalogs(ServingCatalog const& aInForce,
                                           ServingCatalog const& aAfter);

/// Returns why aAfter cannot replace aInForce, or what an operator should confirm.
CatalogFindings CheckReplacement(ServingCatalog const& aInForce, ServingCatalog const& aAfter);

} // namespace sardinefold::operators
