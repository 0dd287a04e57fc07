#pragma once

#include "Agent/Fleet/AggregatorRole.h"
#include "Agent/Fleet/EngineDigestBoard.h"
#include "Base/Log.h"
#include "Programs/StatusMessenger.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sardinefold::programs {

/// Passes the statuses of the engines of a gateway's failure domain on to all gateways
/// while the gateway is the domain's aggregator, and those of the other domains to its
/// neighbours.
template<StatusMessenger Messenger>
class DomainExchange
{
public:
  DomainExchange(Messenger& aMessenger, base::FailureDomainId const& aDomain, base::Endpoint aSelf)
    : m_messenger(aMessenger)
    , m_domain(aDomain)
    , m_self(aSelf)
    , m_role({}, aDomain, std::move(aSelf))
    , m_board(aDomain)
  {
  }

  /// Takes the gateways of the failure domain and the aggregators of all domains, as
  /// the planner named them.
  void OnNamed(std::map<base::HostId, base::Endpoint> const& aNeighbours,
               agent::DomainAggregators const& aAggregators, base::Instant aNow)
  {
    m_neighbours.clear();
    for (auto const& [host, endpoint] : aNeighbours) {
      if (endpoint != m_self) {
        m_neighbours.push_back(endpoint);
      }
    }
    m_role.OnNamed(aAggregators, aNow);
  }

  /// A loader sent its status to this gateway.
  void OnStatus(agent::EngineStatus const& aStatus, base::Instant aNow)
  {
    if (IsAggregating(aNow) && aStatus.m_failureDomain == m_domain) {
      m_board.OnStatus(aStatus, aNow);
    }
  }

  void OnHeartbeat(agent::EngineHeartbeat const& aHeartbeat, base::Instant aNow)
  {
    if (IsAggregating(aNow)) {
      m_board.OnHeartbeat(aHeartbeat, aNow);
    }
  }

  void OnDigest(agent::EngineDigest const& aDigest, base::Endpoint const& aSender,
                base::Instant aNow)
  {
    if (aDigest.m_failureDomain == m_domain) {
      m_role.OnDigest(aSender, aNow);
      m_board.OnSentElsewhere(aDigest);
      return;
    }
    bool const isFromNeighbour = std::ranges::find(m_neighbours, aSender) != m_neighbours.end();
    if (IsAggregating(aNow) && !isFromNeighbour) {
      m_messenger.SendToEach(m_neighbours, aDigest);
    }
  }

  /// Sends the digests that are due. To be called ten times a second.
  void Tick(base::Instant aNow)
  {
    RecordDuty(aNow);
    if (!m_role.IsSending(aNow)) {
      return;
    }
    for (auto const& digest : m_board.TakeDigests(aNow)) {
      auto receivers = m_neighbours;
      bool const isEmpty = digest.m_statuses.empty() && digest.m_heartbeats.empty();
      if (!isEmpty) {
        auto const remote = m_role.Remote(m_round++);
        receivers.insert(receivers.end(), remote.begin(), remote.end());
      }
      m_messenger.SendToEach(receivers, digest);
    }
  }

  agent::DomainDuty Duty(base::Instant aNow) const { return m_role.Duty(aNow); }
  /// Whether this gateway announces the gateways of its domain to the loaders.
  bool IsSending(base::Instant aNow) const { return m_role.IsSending(aNow); }
  std::vector<base::Endpoint> const& Aggregators() const { return m_role.Own(); }

private:
  bool IsAggregating(base::Instant aNow) const
  {
    auto const duty = m_role.Duty(aNow);
    return duty == agent::DomainDuty::Aggregator || duty == agent::DomainDuty::Deputy;
  }

  void RecordDuty(base::Instant aNow)
  {
    auto const duty = m_role.Duty(aNow);
    bool const isSending = m_role.IsSending(aNow);
    if (duty == m_lastDuty && isSending == m_wasSending) {
      return;
    }
    base::log::Info(
      "duty in the failure domain",
      { { "duty", std::string(ToText(duty)) },
        { "before", std::string(ToText(m_lastDuty)) },
        { "sending", isSending ? "true" : "false" },
        { "aggregator", m_role.Own().empty() ? "" : m_role.Own().front().Text() },
        { "named_ms_ago", std::to_string(base::ToMilliseconds(m_role.NamingAge(aNow))) },
        { "digest_ms_ago", std::to_string(base::ToMilliseconds(m_role.DigestAge(aNow))) } });
    m_lastDuty = duty;
    m_wasSending = isSending;
  }

  Messenger& m_messenger;
  base::FailureDomainId m_domain;
  base::Endpoint m_self;
  agent::AggregatorRole m_role;
  agent::EngineDigestBoard m_board;
  /// The other gateways of the failure domain.
  std::vector<base::Endpoint> m_neighbours;
  agent::DomainDuty m_lastDuty = agent::DomainDuty::Alone;
  bool m_wasSending = false;
  std::size_t m_round = 0;
};

} // namespace sardinefold::programs
