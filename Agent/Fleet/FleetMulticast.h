#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"

#include <cstddef>
#include <vector>

namespace sardinefold::agent {

struct MulticastReceiver
{
  base::Endpoint m_endpoint;
  base::FailureDomainId m_failureDomain;
};

/// One datagram of a message to several receivers.
struct MulticastDatagram
{
  base::Endpoint m_receiver;
  /// Endpoints that the receiver forwards the message to.
  std::vector<base::Endpoint> m_forwardTo;
};

/// Plans the datagrams of a message to several receivers. The message crosses
/// to each other failure domain once per group of receivers, where one
/// receiver, the relay, forwards it to the rest. The relay changes with aRound,
/// so that a failed relay costs only a share of the messages. Receivers in the
/// sender's own domain get the message directly.
std::vector<MulticastDatagram> PlanMulticast(base::FailureDomainId const& aLocalDomain,
                                             std::vector<MulticastReceiver> const& aReceivers,
                                             std::size_t aRound);

} // namespace sardinefold::agent
