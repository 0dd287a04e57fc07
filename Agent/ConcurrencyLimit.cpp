#include "Agent/ConcurrencyLimit.h"

#include <algorithm>

namespace sardinefold::agent {

namespace {

constexpr double kShrinkFactor = 0.9;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::size_t aMaximum)
  : m_maximum(std::max(1.0, static_cast<double>(aMaximum)))
  , m_limit(m_maximum)
{
}

void ConcurrencyLimit::OnEnded(LoadSignal aSignal, base::Duration aLatency, std::size_t aRunning,
                               base::Instant aNow)
{
  if (aSignal == LoadSignal::Served) {
    bool const wasFull = aRunning >= Current();
    m_limit = wasFull ? std::min(m_maximum, m_limit + 1.0 / m_limit) : m_limit;
    return;
  }
  if (aNow < m_mayShrinkAt) {
    return;
  }
  m_limit = std::max(1.0, m_limit * kShrinkFactor);
  // Requests that were sent before the limit shrank say nothing about the
  // smaller limit.
  m_mayShrinkAt = aNow + aLatency;
}

} // namespace sardinefold::agent
