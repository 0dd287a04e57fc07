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
  /// A gateway announced itself to this loader.
  void OnPresence(agent::GatewayPresence const& aPresence, base::Endpoint const& aOrigin,
                  base::Instant aNow)
  {
    Record(aPresence, aOrigin, aNow).m_lastDirectAt = aNow;
  }

  /// The aggregator of a failure domain announced the gateways there.
  void OnDomainPresence(agent::DomainPresence const& aDomain,
                        base::FailureDomainId const& aLocalFailureDomain, base::Instant aNow)
  {
    for (auto const& gateway : aDomain.m_gateways) {
      Record(gateway.m_presence, gateway.m_endpoint, aNow);
    }
    if (aDomain.m_failureDomain == aLocalFailureDomain) {
      for (auto const& aggregator : aDomain.m_aggregators) {
        m_aggregators[aggregator] = aNow;
      }
    }
  }

  void Expire(base::Instant aNow)
  {
    // Gateways announce themselves once a second.
    static constexpr base::Duration kPresenceTimeout = std::chrono::seconds(4);
    std::erase_if(m_gateways, [aNow](auto const& aItem) {
      return aNow - aItem.second.m_lastContactAt > kPresenceTimeout;
    });
    std::erase_if(m_aggregators,
                  [aNow](auto const& aItem) { return aNow - aItem.second > kDirectTimeout; });
  }

  std::size_t Size() const { return m_gateways.size(); }

  bool Contains(base::Endpoint const& aEndpoint) const
  {
    return std::ranges::any_of(
      m_gateways, [&aEndpoint](auto const& aItem) { return aItem.second.m_endpoint == aEndpoint; });
  }

  /// Returns who passes the loader's status on: the aggregators of the local failure
  /// domain, and the gateways that announce themselves. Without an aggregator there,
  /// all gateways.
  std::vector<agent::MulticastReceiver> Receivers(base::FailureDomainId const& aLocalFailureDomain,
                                                  base::Instant aNow) const
  {
    std::vector<agent::MulticastReceiver> receivers;
    for (auto const& [aggregator, namedAt] : m_aggregators) {
      receivers.push_back({ aggregator, aLocalFailureDomain });
    }
    for (auto const& [host, gateway] : m_gateways) {
      bool const isDirect =
        m_aggregators.empty() || aNow - gateway.m_lastDirectAt <= kDirectTimeout;
      if (isDirect && !m_aggregators.contains(gateway.m_endpoint)) {
        receivers.push_back({ gateway.m_endpoint, gateway.m_failureDomain });
      }
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
  /// A gateway that has not announced itself, and an aggregator that nobody has
  /// named, for this long is no longer sent statuses as such.
  static constexpr base::Duration kDirectTimeout = std::chrono::milliseconds(2500);

  struct Gateway
  {
    base::Endpoint m_endpoint;
    base::FailureDomainId m_failureDomain;
    base::Endpoint m_planner;
    base::Instant m_lastContactAt{};
    base::Instant m_lastDirectAt{};
  };

  Gateway& Record(agent::GatewayPresence const& aPresence, base::Endpoint const& aEndpoint,
                  base::Instant aNow)
  {
    auto& gateway = m_gateways[aPresence.m_host];
    gateway.m_endpoint = aEndpoint;
    gateway.m_failureDomain = aPresence.m_failureDomain;
    gateway.m_planner = aPresence.m_planner;
    gateway.m_lastContactAt = aNow;
    return gateway;
  }

  std::map<base::HostId, Gateway> m_gateways;
  /// The aggregators of the local failure domain, and when each was last named.
  std::map<base::Endpoint, base::Instant> m_aggregators;
};

} // namespace sardinefold::programs
