#pragma once

#include "Agent/AgentClock.h"
#include "Base/Identifiers.h"

#include <optional>

namespace sardinefold::agent {

/// An entry's estimate of an agent's clock, taken from the agent's latest
/// response. The estimate counts from the arrival of the reading, so it is
/// never ahead of the agent's clock except for the drift between the two
/// clocks.
class AgentClockEstimate
{
public:
  void Update(base::IncarnationId const& aIncarnation, AgentClock aReading,
              base::Instant aReceivedAt)
  {
    m_incarnation = aIncarnation;
    m_reading = aReading;
    m_receivedAt = aReceivedAt;
  }

  bool IsKnown() const { return !m_incarnation.IsEmpty(); }
  base::IncarnationId const& Incarnation() const { return m_incarnation; }

  /// Returns the reading of the agent's clock at aNow + aLimit, the latest
  /// moment at which a request may start.
  AgentClock StartBy(base::Instant aNow, base::Duration aLimit) const
  {
    return m_reading + AgentClock(base::ToMilliseconds(aNow - m_receivedAt + aLimit));
  }

private:
  base::IncarnationId m_incarnation;
  AgentClock m_reading;
  base::Instant m_receivedAt{};
};

} // namespace sardinefold::agent
