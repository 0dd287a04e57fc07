#pragma once

#include "Base/Time.h"
#include "Base/Units.h"

#include <optional>

namespace sardinefold::entry {

struct CatalogHoldLimits
{
  /// An announcement within this time of the first catalog shows that the process
  /// started with an outdated one.
  base::Duration m_startTime = std::chrono::seconds(3);
  /// After this time without the announced version the store's word counts.
  base::Duration m_maximumHold = std::chrono::seconds(8);
};

/// Decides which version of the catalog may come into force, and whether requests
/// may be judged by it. A store that comes back from a copy may hold an older one
/// than was in force before, at this process or at others.
class CatalogProgress
{
public:
  explicit CatalogProgress(CatalogHoldLimits aLimits = {})
    : m_limits(aLimits)
  {
  }

  /// Records that a version is in force at another process.
  void OnAnnounced(base::CatalogVersion aVersion, base::Instant aNow);
  void OnApplied(base::CatalogVersion aVersion, base::Instant aNow);

  /// Whether a version that the store holds may come into force. What has been in
  /// force does not come back older.
  bool MayApply(base::CatalogVersion aVersion) const;
  /// Whether a newer version is in force elsewhere.
  bool IsBehind() const { return !m_inForce || m_announced > *m_inForce; }
  /// Whether the process started with a version older than one in force elsewhere,
  /// and has to wait for that one.
  bool IsHeld(base::Instant aNow) const;
  std::optional<base::CatalogVersion> InForce() const { return m_inForce; }
  /// The newest version known to be in force anywhere.
  base::CatalogVersion Newest() const;

private:
  CatalogHoldLimits m_limits;
  std::optional<base::CatalogVersion> m_inForce;
  base::Instant m_firstAppliedAt{};
  base::CatalogVersion m_announced;
  /// The newest version announced by the end of the start time.
  base::CatalogVersion m_awaited;
};

} // namespace sardinefold::entry
