#pragma once

#include "Agent/Fleet/FleetMessages.h"
#include "Agent/Fleet/FleetMulticast.h"

#include <vector>

namespace sardinefold::programs {

/// Sends messages to other processes of the fleet, any of which may be lost.
template<typename Messenger>
concept StatusMessenger = requires(Messenger& aMessenger, base::Endpoint const& aReceiver,
                                   std::vector<base::Endpoint> const& aReceivers,
                                   std::vector<agent::MulticastReceiver> const& aMulticastReceivers,
                                   base::FailureDomainId const& aLocalFailureDomain,
                                   agent::FleetMessage const& aMessage)
{
  aMessenger.Send(aReceiver, aMessage);
  aMessenger.SendToEach(aReceivers, aMessage);
  aMessenger.Multicast(aLocalFailureDomain, aMulticastReceivers, aMessage);
};

} // namespace sardinefold::programs
