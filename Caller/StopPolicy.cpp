#include "Caller/StopPolicy.h"

#include <algorithm>

namespace sardinefold::caller {

namespace {

/// The load balancer polls readiness once a second and needs two responses to react.
constexpr base::Duration kBalancerDelay = std::chrono::milliseconds(2300);
/// Parts of the grace that are left when open requests are ended, and when the
/// process ends. An engine that is at work has until the last sixth (the platform's
/// rule).
constexpr int kEndPart = 8;
constexpr int kExitPart = 16;
/// Time to relay a response: a few round trips.
constexpr base::Duration kRelayTime = std::chrono::milliseconds(150);

} // namespace

StopTimes StopTimes::Plan(base::Instant aNow, base::Duration aGrace)
{
  StopTimes times;
  times.m_end = aNow + aGrace - aGrace / kEndPart;
  times.m_exit = aNow + aGrace - aGrace / kExitPart;
  times.m_waitEnd = std::min(aNow + kBalancerDelay, aNow + aGrace / 2);
  return times;
}

bool StopPolicy::MayBegin(operators::RouteRule const& aRoute, base::Instant aRequestEnd,
                          base::Instant aNow) const
{
  if (!m_end || aRequestEnd + kRelayTime <= *m_end) {
    return true;
  }
  bool const isCutHonest = aRoute.m_repeatability != operators::Repeatability::AtMostOnce;
  return isCutHonest && m_waitEnd && aNow < *m_waitEnd;
}

base::Instant StopPolicy::LimitOf(base::Instant aRequestEnd) const
{
  return m_end ? std::min(aRequestEnd, *m_end - kRelayTime) : aRequestEnd;
}

} // namespace sardinefold::caller
