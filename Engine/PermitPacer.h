#pragma once

#include "Base/Time.h"
#include "Base/Units.h"

#include <optional>

namespace sardinefold::engine {

/// Yields permits at a rate and stores at most one, so that no more than rate x time + 1
/// are taken in any time.
class PermitPacer
{
public:
  /// A rate of zero takes the stored part of a permit away.
  void SetRate(base::RequestsPerSecond aRate, base::Instant aNow);
  base::RequestsPerSecond Rate() const { return m_rate; }
  /// Sets the stored part of a permit, from 0 to 1.
  void Store(double aPart, base::Instant aNow);

  bool Has(unsigned aPermits, base::Instant aNow) const;
  void Take(base::Instant aNow);
  /// When that many permits will have come, if those before are taken as they come;
  /// nothing if the rate is zero.
  std::optional<base::Instant> HasAt(unsigned aPermits, base::Instant aNow) const;

private:
  double StoredAt(base::Instant aNow) const;

  base::RequestsPerSecond m_rate;
  double m_stored = 0;
  base::Instant m_storedAt{};
};

} // namespace sardinefold::engine
