#include "Agent/Fleet/FleetCast.h"

#include <algorithm>
#include <map>

namespace sardinefold::agent {

namespace {

/// Receivers that one leg serves, which bounds the datagram and the work of the
/// one that passes it on.
constexpr std::size_t kMostPerLeg = 32;

} // namespace

std::vector<CastLeg> PlanCast(base::FailureDomainId const& aHome,
                              std::vector<CastReceiver> const& aReceivers, std::size_t aTurn)
{
  std::vector<CastLeg> legs;
  std::map<base::FailureDomainId, std::vector<base::Endpoint>> away;
  for (auto const& receiver : aReceivers) {
    if (receiver.m_failureDomain == aHome) {
      legs.push_back({ receiver.m_endpoint, {} });
    } else {
      away[receiver.m_failureDomain].push_back(receiver.m_endpoint);
    }
  }
  for (auto& [domain, endpoints] : away) {
    for (std::size_t first = 0; first < endpoints.size(); first += kMostPerLeg) {
      auto const size = std::min(kMostPerLeg, endpoints.size() - first);
      auto const begin = endpoints.begin() + static_cast<std::ptrdiff_t>(first);
      CastLeg leg{ {}, { begin, begin + static_cast<std::ptrdiff_t>(size) } };
      auto const relay = leg.m_forwardTo.begin() + static_cast<std::ptrdiff_t>(aTurn % size);
      leg.m_receiver = *relay;
      leg.m_forwardTo.erase(relay);
      legs.push_back(std::move(leg));
    }
  }
  return legs;
}

} // namespace sardinefold::agent
