#include "Agent/RetryBudget.h"

#include <algorithm>

namespace sardinefold::agent {

RetryBudget::RetryBudget(RetryBudgetLimits aLimits, base::Instant aNow)
  : m_limits(aLimits)
  , m_available(aLimits.m_maximum)
  , m_refilledAt(aNow)
{
}

void RetryBudget::SetLimits(RetryBudgetLimits aLimits)
{
  auto const added = std::max(aLimits.m_maximum - m_limits.m_maximum, 0.0);
  m_limits = aLimits;
  m_available = std::min(m_limits.m_maximum, m_available + added);
}

void RetryBudget::Refill(base::Instant aNow)
{
  auto const added = m_limits.m_perSecond * base::ToSeconds(aNow - m_refilledAt);
  m_available = std::min(m_limits.m_maximum, m_available + added);
  m_refilledAt = aNow;
}

void RetryBudget::OnRequest(base::Instant aNow)
{
  Refill(aNow);
  m_available = std::min(m_limits.m_maximum, m_available + m_limits.m_perRequest);
}

bool RetryBudget::TryTake(base::Instant aNow)
{
  Refill(aNow);
  if (m_available < 1.0) {
    return false;
  }
  m_available -= 1.0;
  return true;
}

} // namespace sardinefold::agent
