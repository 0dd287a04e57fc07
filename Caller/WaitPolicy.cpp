#include "Caller/WaitPolicy.h"

#include <algorithm>

namespace sardinefold::caller {

namespace {

/// Age from which a forecast is no longer used. The planner sends ten forecasts
/// per second, and messages may be lost.
constexpr base::Duration kMaximumForecastAge = std::chrono::milliseconds(800);
/// Minimum retry delay, and the delay without a current forecast: about the
/// time in which an engine swaps its model.
constexpr base::Duration kDefaultRetryAfter = std::chrono::milliseconds(1000);

/// How long a request may wait. Callers abandon a stream whose first event does
/// not arrive within the longest of these times (the platform's rule). A
/// request is refused slightly earlier, so that its caller still receives the
/// retry delay.
base::Duration MaximumWait(operators::RouteRule const& aRoute)
{
  constexpr base::Duration kLeast = std::chrono::seconds(2);
  constexpr int kGoals = 4;
  constexpr int kPauses = 8;
  constexpr int kPercentUsed = 85;
  auto const callers =
    std::max<base::Duration>({ kLeast, aRoute.m_goal * kGoals, aRoute.m_pause * kPauses });
  return callers * kPercentUsed / 100;
}

} // namespace

WaitPolicy::WaitPolicy(operators::RouteRule const& aRoute, base::Instant aStart, base::Instant aEnd)
  : m_end(std::min(aEnd, aStart + MaximumWait(aRoute)))
{
}

bool WaitPolicy::IsFresh(std::optional<ModelForecast> const& aForecast, base::Instant aNow)
{
  return aForecast && aNow - aForecast->m_reportedAt < kMaximumForecastAge;
}

bool WaitPolicy::MayWait(std::optional<ModelForecast> const& aForecast, base::Instant aNow) const
{
  return aNow < m_end && (!IsFresh(aForecast, aNow) || aForecast->m_readyAt < m_end);
}

base::Duration WaitPolicy::RetryAfter(std::optional<ModelForecast> const& aForecast,
                                      base::Instant aNow)
{
  return IsFresh(aForecast, aNow)
           ? std::max<base::Duration>(aForecast->m_readyAt - aNow, kDefaultRetryAfter)
           : kDefaultRetryAfter;
}

} // namespace sardinefold::caller
