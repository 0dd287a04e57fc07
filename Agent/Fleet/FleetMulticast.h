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

/// One datagram of a message for many.
struct MulticastDatagram
{
  base::Endpoint m_receiver;
  /// Whom the receiver passes it on to.
  std::vector<base::Endpoint> m_forwardTo;
};

/// Plans a message for many so that it crosses to each other failure domain
/// once, where one of the receivers passes it on to the rest. The one that does
/// changes with each turn, so that one that is lost costs a share of the
/// messages only. Receivers in the sender's own domain get it directly.
std::vector<MulticastDatagram> PlanMulticast(base::FailureDomainId const& aLocalDomain,
                                             std::vector<MulticastReceiver> const& aReceivers,
                                             std::size_t aRound);

} // namespace sardinefold::agent
