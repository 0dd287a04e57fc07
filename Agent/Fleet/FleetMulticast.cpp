#include "Agent/Fleet/FleetMulticast.h"

#include <algorithm>
#include <map>

namespace sardinefold::agent {

namespace {

/// Maximum number of receivers per datagram, which bounds the size of the
/// datagram and the work of its relay.
constexpr std::size_t kMaximumReceiversPerDatagram = 32;

} // namespace

std::vector<MulticastDatagram> PlanMulticast(base::FailureDomainId const& aLocalDomain,
                                             std::vector<MulticastReceiver> const& aReceivers,
                                             std::size_t aRound)
{
  std::vector<MulticastDatagram> datagrams;
  std::map<base::FailureDomainId, std::vector<base::Endpoint>> remote;
  for (auto const& receiver : aReceivers) {
    if (receiver.m_failureDomain == aLocalDomain) {
      datagrams.push_back({ receiver.m_endpoint, {} });
    } else {
      remote[receiver.m_failureDomain].push_back(receiver.m_endpoint);
    }
  }
  for (auto& [domain, endpoints] : remote) {
    for (std::size_t first = 0; first < endpoints.size(); first += kMaximumReceiversPerDatagram) {
      auto const size = std::min(kMaximumReceiversPerDatagram, endpoints.size() - first);
      auto const begin = endpoints.begin() + static_cast<std::ptrdiff_t>(first);
      MulticastDatagram datagram{ {}, { begin, begin + static_cast<std::ptrdiff_t>(size) } };
      auto const relay = datagram.m_forwardTo.begin() + static_cast<std::ptrdiff_t>(aRound % size);
      datagram.m_receiver = *relay;
      datagram.m_forwardTo.erase(relay);
      datagrams.push_back(std::move(datagram));
    }
  }
  return datagrams;
}

} // namespace sardinefold::agent
