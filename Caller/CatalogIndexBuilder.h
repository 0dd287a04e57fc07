#pragma once

#include "Caller/CatalogIndex.h"

#include <cstddef>
#include <memory>
#include <utility>

namespace sardinefold::caller {

/// Builds the index of a catalog in steps of bounded work.
class CatalogIndexBuilder
{
public:
  explicit CatalogIndexBuilder(operators::ServingCatalog aCatalog)
    : m_index(new CatalogIndex())
  {
    m_index->m_catalog = std::move(aCatalog);
  }

  /// Indexes at most aEntries further entries. Returns whether the index is complete.
  bool Add(std::size_t aEntries) { return m_index->Add(aEntries, m_progress); }
  /// Returns the index. To be called once, when it is complete.
  std::unique_ptr<CatalogIndex> Take() { return std::move(m_index); }

private:
  std::unique_ptr<CatalogIndex> m_index;
  CatalogIndex::Progress m_progress;
};

} // namespace sardinefold::caller
