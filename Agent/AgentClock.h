#pragma once

#include "Base/Quantity.h"
#include "Base/Time.h"

namespace sardinefold::agent {

/// A reading, in milliseconds, of the monotonic clock of one incarnation of an
/// agent. Entries pass such readings back to the agent they came from and
/// never compare them with a clock of their own.
using AgentClock = base::Quantity<struct AgentClockTag>;

/// What an agent's clock shows at a point of its own time.
inline AgentClock ToAgentClock(base::Instant aInstant)
{
  return AgentClock(base::ToMilliseconds(aInstant.time_since_epoch()));
}

} // namespace sardinefold::agent
