#pragma once

#include "Base/Quantity.h"
#include "Base/Time.h"

namespace sardinefold::agent {

/// A reading, in milliseconds, of the monotonic clock of one incarnation of an
/// agent. Entries return such readings to the agent that issued them and never
/// compare them with their own clock.
using AgentClock = base::Quantity<struct AgentClockTag>;

/// Converts an instant of the agent's own clock to a reading.
inline AgentClock ToAgentClock(base::Instant aInstant)
{
  return AgentClock(base::ToMilliseconds(aInstant.time_since_epoch()));
}

} // namespace sardinefold::agent
