#pragma once

#include "Base/Time.h"
#include "Operator/ServingCatalog.h"

#include <optional>

namespace sardinefold::caller {

/// The planner's forecast of when a model is ready, and when it was received.
struct ModelForecast
{
  base::Instant m_readyAt{};
  base::Instant m_reportedAt{};
};

/// Decides how long one request waits for a model that no engine holds, and
/// when its caller should retry.
class WaitPolicy
{
public:
  /// aEnd is the request's own deadline.
  WaitPolicy(operators::RouteRule const& aRoute, base::Instant aStart, base::Instant aEnd);

  /// When the request stops waiting.
  base::Instant End() const { return m_end; }
  /// Whether the model is expected in time. Without a current forecast, which
  /// takes about 200 ms to arrive, the request waits.
  bool MayWait(std::optional<ModelForecast> const& aForecast, base::Instant aNow) const;
  /// How long the caller should wait before it retries: until the model is
  /// expected to be ready, if there is a current forecast.
  static base::Duration RetryAfter(std::optional<ModelForecast> const& aForecast,
                                   base::Instant aNow);

private:
  static bool IsFresh(std::optional<ModelForecast> const& aForecast, base::Instant aNow);

  base::Instant m_end;
};

} // namespace sardinefold::caller
