#pragma once

#include "Base/Time.h"
#include "Operator/ServingCatalog.h"

#include <optional>

namespace sardinefold::caller {

/// When the planner expects a model to be ready, and when it said so.
struct ModelForecast
{
  base::Instant m_readyAt{};
  base::Instant m_reportedAt{};
};

/// Decides how long one request waits for a model that no engine holds, and
/// when its caller is told to come back.
class WaitPolicy
{
public:
  /// aEnd is the end of the request's own time.
  WaitPolicy(operators::RouteRule const& aRoute, base::Instant aStart, base::Instant aEnd);

  /// When a request that waits is given up.
  base::Instant End() const { return m_end; }
  /// Whether the model is expected in time. While nothing fresh is known, which
  /// takes a fifth of a second, the request waits.
  bool MayWait(std::optional<ModelForecast> const& aForecast, base::Instant aNow) const;
  /// When to come back: when the model is expected, if that is known.
  static base::Duration RetryAfter(std::optional<ModelForecast> const& aForecast,
                                   base::Instant aNow);

private:
  static bool IsFresh(std::optional<ModelForecast> const& aForecast, base::Instant aNow);

  base::Instant m_end;
};

} // namespace sardinefold::caller
