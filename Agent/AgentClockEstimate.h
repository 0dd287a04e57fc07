#pragma once

#include "Agent/AgentClock.h"
#include "Base/Identifiers.h"

#include <optional>

namespace sardinefold::agent {

/// What an entry knows of an agent's clock from the agent's latest answer. The
/// estimate is never ahead of the agent's clock but for the drift between the
/// two, since it counts from when the reading arrived.
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

  /// The agent's clock at the latest moment at which a request may start that
  /// has to start within the given time from now.
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
