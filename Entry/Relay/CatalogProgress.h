#pragma once

#include "Base/Time.h"
#include "Base/Units.h"

#include <optional>

namespace sardinefold::entry {

/// Decides which version of the catalog may come into force. A store that comes
/// back from a copy may hold an older one than was in force before, at this
/// process or at others.
class CatalogProgress
{
public:
  /// Records that a version is in force at another process.
  void OnAnnounced(base::CatalogVersion aVersion);
  void OnApplied(base::CatalogVersion aVersion);

  /// Whether a version that the store holds may come into force. What has been in
  /// force does not come back older.
  bool MayApply(base::CatalogVersion aVersion) const;
  /// Whether a newer version is in force elsewhere.
  bool IsBehind() const { return !m_inForce || m_announced > *m_inForce; }
  std::optional<base::CatalogVersion> InForce() const { return m_inForce; }
  /// The newest version known to be in force anywhere.
  base::CatalogVersion Newest() const;

private:
  std::optional<base::CatalogVersion> m_inForce;
  base::CatalogVersion m_announced;
};

} // namespace sardinefold::entry
