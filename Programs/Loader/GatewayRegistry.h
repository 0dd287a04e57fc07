#pragma once

#include "Agent/Fleet/FleetMessages.h"
#include "Agent/Fleet/FleetMulticast.h"

#include <algorithm>
#include <map>
#include <vector>

namespace sardinefold::programs {

/// The gateways that a loader receives messages from, and the planners that they
/// have chosen.
class GatewayRegistry
{
public:
  void OnPresence(agent::GatewayPresence const& aPresence, base::Endpoint const& aOrigin,
                  base::Instant aNow)
  {
    m_gateways[aPresence.m_host] = { aOrigin, aPresence.m_failureDomain, aPresence.m_planner,
                                     aNow };
  }

  void Expire(base::Instant aNow)
  {
    // Gateways announce themselves once a second.
    static constexpr base::Duration kPresenceTimeout = std::chrono::seconds(4);
    std::erase_if(m_gateways, [aNow](auto const& aItem) {
      return aNow - aItem.second.m_lastContactAt > kPresenceTimeout;
    });
  }

  std::size_t Size() const { return m_gateways.size(); }

  bool Contains(base::Endpoint const& aEndpoint) const
  {
    return std::ranges::any_of(
      m_gateways, [&aEndpoint](auto const& aItem) { return aItem.second.m_endpoint == aEndpoint; });
  }

  std::vector<agent::MulticastReceiver> Gateways() const
  {
    std::vector<agent::MulticastReceiver> receivers;
    for (auto const& [host, gateway] : m_gateways) {
      receivers.push_back({ gateway.m_endpoint, gateway.m_failureDomain });
    }
    return receivers;
  }

  /// Returns the distinct planners that the gateways have chosen. There is
  /// usually one, so each gets a datagram of its own: all are given the sender's
  /// failure domain, where nothing is forwarded.
  std::vector<agent::MulticastReceiver> Planners(
    base::FailureDomainId const& aLocalFailureDomain) const
  {
    std::vector<agent::MulticastReceiver> planners;
    for (auto const& item : m_gateways) {
      auto const& planner = item.second.m_planner;
      bool const isKnown = std::ranges::any_of(
        planners, [&planner](auto const& aOther) { return aOther.m_endpoint == planner; });
      if (planner.m_port != 0 && !isKnown) {
        planners.push_back({ planner, aLocalFailureDomain });
      }
    }
    return planners;
  }

private:
  struct Gateway
  {
    base::Endpoint m_endpoint;
    base::FailureDomainId m_failureDomain;
    base::Endpoint m_planner;
    base::Instant m_lastContactAt{};
  };

  std::map<base::HostId, Gateway> m_gateways;
};

} // namespace sardinefold::programs
