#include "Caller/WaitPolicy.h"

#include <algorithm>

namespace sardinefold::caller {

namespace {

/// What the planner said of a model holds for this long: it answers ten times a
/// second, and messages may be lost.
constexpr base::Duration kOutlookAge = std::chrono::milliseconds(800);
/// What a refused caller is told when nothing better is known: about the time
/// in which an engine changes its model.
constexpr base::Duration kRetryAfter = std::chrono::milliseconds(1000);

/// Callers leave a stream whose first event does not come in the longest of
/// these times (the platform's rule); a request is given up a little earlier,
/// so that they hear when to come back.
base::Duration Patience(operators::RouteRule const& aRoute)
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
  : m_end(std::min(aEnd, aStart + Patience(aRoute)))
{
}

bool WaitPolicy::IsFresh(std::optional<ExpectedModel> const& aExpected, base::Instant aNow)
{
  return aExpected && aNow - aExpected->m_toldAt < kOutlookAge;
}

bool WaitPolicy::MayWait(std::optional<ExpectedModel> const& aExpected, base::Instant aNow) const
{
  return aNow < m_end && (!IsFresh(aExpected, aNow) || aExpected->m_readyAt < m_end);
}

base::Duration WaitPolicy::RetryAfter(std::optional<ExpectedModel> const& aExpected,
                                      base::Instant aNow)
{
  return IsFresh(aExpected, aNow)
           ? std::max<base::Duration>(aExpected->m_readyAt - aNow, kRetryAfter)
           : kRetryAfter;
}

} // namespace sardinefold::caller
