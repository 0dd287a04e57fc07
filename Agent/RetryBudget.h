#pragma once

#include "Base/Time.h"

namespace sardinefold::agent {

struct RetryBudgetLimits
{
  /// Retries that each first attempt adds to the budget.
  double m_perRequest = 0.1;
  /// Retries a second that are always allowed, so that a quiet entry can retry.
  double m_perSecond = 1.0;
  /// Most retries that can be saved up.
  double m_maximum = 20.0;
};

/// Bounds the retries of one process to a share of its requests, so that
/// retries can't multiply the load on upstreams that fail because of load.
class RetryBudget
{
public:
  RetryBudget(RetryBudgetLimits aLimits, base::Instant aNow);

  /// Puts other limits in force; what a larger maximum adds is saved up already.
  void SetLimits(RetryBudgetLimits aLimits);
  /// A first attempt was made.
  void OnRequest(base::Instant aNow);
  /// Takes one retry; false if none is left.
  bool TryTake(base::Instant aNow);

  double Available() const { return m_available; }

private:
  void Refill(base::Instant aNow);

  RetryBudgetLimits m_limits;
  double m_available;
  base::Instant m_refilledAt;
};

} // namespace sardinefold::agent
