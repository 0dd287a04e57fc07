#include "Caller/AttemptHistory.h"

#include <algorithm>

namespace sardinefold::caller {

std::string_view ToText(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Delivered:
      return "delivered";
    case AttemptEnd::NotSent:
      return "not sent";
    case AttemptEnd::NotRun:
      return "not run";
    case AttemptEnd::Unknown:
      return "unknown";
    case AttemptEnd::Failed:
      return "failed";
    case AttemptEnd::CallerGone:
      return "caller gone";
  }
  return "unknown";
}

void AttemptHistory::OnEnd(AttemptEnd aEnd)
{
  m_attempts -= aEnd == AttemptEnd::NotSent ? 1 : 0;
  m_lastWasNotRun = aEnd == AttemptEnd::NotRun || aEnd == AttemptEnd::NotSent;
  m_runs += m_lastWasNotRun ? 0 : 1;
}

void AttemptHistory::OnForwarded(std::optional<EventNumber> aEvent)
{
  m_hasBegun = true;
  if (aEvent) {
    m_lastEvent = aEvent;
  }
}

bool AttemptHistory::MayRetry(operators::RouteRule const& aRoute) const
{
  bool const canResume = !m_hasBegun || (aRoute.m_isResumable && m_lastEvent.has_value());
  bool const mayRepeat = m_lastWasNotRun || (aRoute.MayRepeat() && canResume);
  return mayRepeat && m_runs < std::max(aRoute.m_maximumAttempts, 1U);
}

} // namespace sardinefold::caller
