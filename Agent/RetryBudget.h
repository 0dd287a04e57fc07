#pragma once

#include "Base/Time.h"

namespace sardinefold::agent {

struct RetryBudgetLimits
{
  /// Retries that each first attempt adds to the budget.
  double m_perRequest = 0.1;
  /// Retries per second that are always allowed, so that an entry with little
  /// traffic can retry.
  double m_perSecond = 1.0;
  /// Maximum number of retries that the budget accumulates.
  double m_maximum = 20.0;
};

/// Bounds the retries of one process to a share of its requests, so that
/// retries can't multiply the load on upstreams that fail because of overload.
class RetryBudget
{
public:
  RetryBudget(RetryBudgetLimits aLimits, base::Instant aNow);

  /// Replaces the limits. If the maximum grows, the difference is available at
  /// once.
  void SetLimits(RetryBudgetLimits aLimits);
  /// Called when the first attempt of a request is made.
  void OnRequest(base::Instant aNow);
  /// Takes one retry from the budget. Returns false if none is left.
  bool TryTake(base::Instant aNow);

  double Available() const { return m_available; }

private:
  void Refill(base::Instant aNow);

  RetryBudgetLimits m_limits;
  double m_available;
  base::Instant m_refilledAt;
};

} // namespace sardinefold::agent
