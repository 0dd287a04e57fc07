#pragma once

#include "Agent/Fleet/FleetCodec.h"
#include "Base/DatagramEndpoint.h"

#include <set>
#include <string>

namespace sardinefold::programs {

/// Sends an engine's status to one kind of receivers when it is due or when
/// something has changed that they act on, they themselves included.
class StatusStream
{
public:
  void Send(base::DatagramEndpoint& aPeers, std::set<base::Endpoint> const& aReceivers,
            agent::EngineStatus const& aStatus, bool aIsDue)
  {
    // Load and time left change all the time and are worth no message.
    auto steady = aStatus;
    steady.m_gatewaysPresent = 0;
    steady.m_running = 0;
    steady.m_waiting = 0;
    steady.m_cacheUsed = base::Tokens();
    steady.m_change.m_readyIn = base::Duration::zero();
    auto steadyText = agent::EncodeFleetMessage(steady);
    if (!aIsDue && steadyText == m_lastSteady && aReceivers == m_lastReceivers) {
      return;
    }
    m_lastSteady = std::move(steadyText);
    m_lastReceivers = aReceivers;
    auto const text = agent::EncodeFleetMessage(aStatus);
    for (auto const& receiver : aReceivers) {
      aPeers.Send(receiver, text);
    }
  }

private:
  std::string m_lastSteady;
  std::set<base::Endpoint> m_lastReceivers;
};

} // namespace sardinefold::programs
