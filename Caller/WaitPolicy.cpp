#include "Caller/WaitPolicy.h"

#include <algorithm>

namespace sardinefold::caller {

namespace {

/// What the planner said of a model holds for this long: it answers ten times a
/// second, and messages may be lost.
constexpr base::Duration kMaximumForecastAge = std::chrono::milliseconds(800);
/// What a refused caller is told when nothing better is known: about the time
/// in which an engine changes its model.
constexpr base::Duration kDefaultRetryAfter = std::chrono::milliseconds(1000);

/// Callers leave a stream whose first event does not come in the longest of
/// these times (the platform's rule); a request is given up a little earlier,
/// so that they hear when to come back.
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
