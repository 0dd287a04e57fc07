#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstddef>
#include <map>
#include <string_view>
#include <vector>

namespace sardinefold::agent {

/// The aggregator of each failure domain and its deputies, in this order.
using DomainAggregators = std::map<base::FailureDomainId, std::vector<base::Endpoint>>;

/// A gateway that may become the aggregator of its failure domain.
struct AggregatorCandidate
{
  base::HostId m_host;
  base::Endpoint m_endpoint;
  base::FailureDomainId m_failureDomain;
  /// Part of a core that its process may use.
  double m_processorShare = 0;
};

/// Names the aggregators of the failure domains: the gateways with the largest
/// processor share, by host name among equals. A domain with few gateways has none,
/// as its processes exchange messages directly at no greater cost.
DomainAggregators ChooseAggregators(std::vector<AggregatorCandidate> aCandidates);

/// What a gateway does for its failure domain.
enum class DomainDuty
{
  /// Exchanges messages with all loaders itself.
  Alone,
  /// Relies on the aggregator.
  Member,
  /// Receives what the aggregator receives, and takes over while that is silent.
  Deputy,
  Aggregator
};
std::string_view ToText(DomainDuty aDuty);

struct AggregatorRoleLimits
{
  /// Time for which the aggregators that the planner last named are relied on.
  base::Duration m_namingRetention = std::chrono::seconds(3);
  /// Silence of the aggregator after which its deputy sends digests, too. The
  /// aggregator sends ten a second.
  base::Duration m_deputyPatience = std::chrono::milliseconds(350);
  /// Silence of aggregator and deputy after which a gateway acts alone.
  base::Duration m_memberPatience = std::chrono::milliseconds(1200);
};

/// Decides which duty a gateway has in its failure domain. No vote and no lease is
/// involved: two gateways that aggregate at the same time cost only messages, and
/// every receiver orders statuses by the loader's own numbers.
class AggregatorRole
{
public:
  AggregatorRole(AggregatorRoleLimits aLimits, base::FailureDomainId aDomain, base::Endpoint aSelf)
    : m_limits(aLimits)
    , m_domain(std::move(aDomain))
    , m_self(std::move(aSelf))
  {
  }

  /// Takes the aggregators that the planner named.
  void OnNamed(DomainAggregators aAggregators, base::Instant aNow);
  /// A digest of the own failure domain arrived from aSender.
  void OnDigest(base::Endpoint const& aSender, base::Instant aNow);

  DomainDuty Duty(base::Instant aNow) const;
  /// Whether this gateway sends digests and announces its domain's gateways.
  bool IsSending(base::Instant aNow) const;
  /// The aggregators of the own failure domain.
  std::vector<base::Endpoint> const& Own() const;
  /// Returns one aggregator of each other failure domain. It changes with aRound,
  /// so that a lost one costs a share of the messages only.
  std::vector<base::Endpoint> Remote(std::size_t aRound) const;
  /// Time since the planner last named aggregators, and since the last digest of the
  /// own failure domain.
  base::Duration NamingAge(base::Instant aNow) const { return aNow - m_namedAt; }
  base::Duration DigestAge(base::Instant aNow) const { return aNow - m_lastDigestAt; }

private:
  std::size_t Rank() const;

  AggregatorRoleLimits m_limits;
  base::FailureDomainId m_domain;
  base::Endpoint m_self;
  DomainAggregators m_aggregators;
  /// When the planner last named aggregators, and since when it has named the present
  /// ones of the own failure domain, whose silence counts from then on.
  base::Instant m_namedAt{};
  base::Instant m_namedSince{};
  /// When a digest of the own failure domain last arrived, and one of its aggregator
  /// and not of the deputy.
  base::Instant m_lastDigestAt{};
  base::Instant m_lastAggregatorDigestAt{};
};

} // namespace sardinefold::agent
