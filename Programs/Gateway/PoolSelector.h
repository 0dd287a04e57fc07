#pragma once

#include "Base/Endpoint.h"
#include "Base/Time.h"

#include <optional>

namespace sardinefold::programs {

/// Selects the planner whose pool of allowances a gateway is in. It follows the choice of
/// the planner, but where that changed for a short silence, it stays while the pool's
/// planner answers again: a gateway that lost a few messages would be alone in another pool,
/// with the allowance of one gateway, until it returns.
class PoolSelector
{
public:
  struct Choice
  {
    std::optional<base::Endpoint> m_planner;
    /// Whether the gateway joins this planner's pool anew.
    bool m_isNew = false;
  };

  /// Called for each summary.
  void OnSummary(base::Endpoint const& aPlanner, base::Instant aNow)
  {
    if (m_pool == aPlanner) {
      m_lastAnswerAt = aNow;
    }
  }

  /// To be called before each report. aIsPoolFresh says whether the present pool's planner
  /// has answered lately.
  Choice Choose(std::optional<base::Endpoint> const& aPlanner, bool aIsPoolFresh,
                base::Instant aNow)
  {
    // A planner that answered within this time was left for a better one.
    static constexpr base::Duration kSilence = std::chrono::milliseconds(350);
    // Longer than a planner that did not answer is left alone.
    static constexpr base::Duration kLongestStay = std::chrono::milliseconds(3'500);
    if (aPlanner == m_pool) {
      m_leavingSince.reset();
      return { m_pool, false };
    }
    bool const isLeftForSilence = m_leavingSince || aNow - m_lastAnswerAt >= kSilence;
    m_leavingSince = m_leavingSince.value_or(aNow);
    if (m_pool && aIsPoolFresh && isLeftForSilence && aNow - *m_leavingSince < kLongestStay) {
      return { m_pool, false };
    }
    m_pool = aPlanner;
    m_leavingSince.reset();
    return { m_pool, m_pool.has_value() };
  }

  /// Whether the gateway is in this planner's pool, or joins it.
  bool IsPool(base::Endpoint const& aPlanner) const { return m_pool == aPlanner; }

private:
  std::optional<base::Endpoint> m_pool;
  std::optional<base::Instant> m_leavingSince;
  base::Instant m_lastAnswerAt{};
};

} // namespace sardinefold::programs
