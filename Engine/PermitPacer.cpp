#include "Engine/PermitPacer.h"

#include <algorithm>

namespace sardinefold::engine {

namespace {

constexpr double kMostStored = 1;
/// Tolerance for the rounding of sums of parts.
constexpr double kTolerance = 1e-6;
/// Added to a time that is calculated, so that the permit is there then.
constexpr base::Duration kRounding = std::chrono::microseconds(10);

} // namespace

double PermitPacer::StoredAt(base::Instant aNow) const
{
  return std::min(kMostStored, m_stored + m_rate.Value() * base::ToSeconds(aNow - m_storedAt));
}

void PermitPacer::SetRate(base::RequestsPerSecond aRate, base::Instant aNow)
{
  bool const isStopped = aRate.Value() <= 0;
  Store(isStopped ? 0 : StoredAt(aNow), aNow);
  m_rate = isStopped ? base::RequestsPerSecond(0) : aRate;
}

void PermitPacer::Store(double aPart, base::Instant aNow)
{
  m_stored = aPart;
  m_storedAt = aNow;
}

bool PermitPacer::Has(unsigned aPermits, base::Instant aNow) const
{
  return StoredAt(aNow) + kTolerance >= aPermits;
}

void PermitPacer::Take(base::Instant aNow)
{
  Store(std::max(0.0, StoredAt(aNow) - 1), aNow);
}

std::optional<base::Instant> PermitPacer::HasAt(unsigned aPermits, base::Instant aNow) const
{
  if (Has(aPermits, aNow)) {
    return aNow;
  }
  if (m_rate.Value() <= 0) {
    return std::nullopt;
  }
  return aNow + base::FromSeconds((aPermits - StoredAt(aNow)) / m_rate.Value()) + kRounding;
}

} // namespace sardinefold::engine
