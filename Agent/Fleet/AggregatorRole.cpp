#include "Agent/Fleet/AggregatorRole.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace sardinefold::agent {

namespace {

/// An aggregator and one deputy, so that the loss of one costs no messages.
constexpr std::size_t kAggregatorsPerDomain = 2;
/// Number of gateways from which a failure domain has an aggregator.
constexpr std::size_t kMinimumGateways = 4;

} // namespace

std::string_view ToText(DomainDuty aDuty)
{
  switch (aDuty) {
    case DomainDuty::Alone:
      return "alone";
    case DomainDuty::Member:
      return "member";
    case DomainDuty::Deputy:
      return "deputy";
    case DomainDuty::Aggregator:
      return "aggregator";
  }
  return "unknown";
}

DomainAggregators ChooseAggregators(std::vector<AggregatorCandidate> aCandidates)
{
  std::ranges::sort(aCandidates, {}, [](AggregatorCandidate const& aCandidate) {
    return std::tuple(aCandidate.m_failureDomain, -aCandidate.m_processorShare, aCandidate.m_host);
  });
  DomainAggregators aggregators;
  auto const inDomain = [](AggregatorCandidate const& aCandidate) {
    return aCandidate.m_failureDomain;
  };
  for (auto first = aCandidates.begin(); first != aCandidates.end();) {
    auto const last =
      std::ranges::upper_bound(first, aCandidates.end(), first->m_failureDomain, {}, inDomain);
    auto const size = static_cast<std::size_t>(last - first);
    if (size >= kMinimumGateways) {
      auto& named = aggregators[first->m_failureDomain];
      for (std::size_t rank = 0; rank < kAggregatorsPerDomain; ++rank) {
        named.push_back((first + static_cast<std::ptrdiff_t>(rank))->m_endpoint);
      }
    }
    first = last;
  }
  return aggregators;
}

void AggregatorRole::OnNamed(DomainAggregators aAggregators, base::Instant aNow)
{
  auto const before = Own();
  bool const isRecent = aNow - m_namedAt < m_limits.m_namingRetention;
  m_aggregators = std::move(aAggregators);
  m_namedAt = aNow;
  if (!isRecent || before != Own()) {
    m_namedSince = aNow;
  }
}

void AggregatorRole::OnDigest(base::Endpoint const& aSender, base::Instant aNow)
{
  m_lastDigestAt = aNow;
  if (!Own().empty() && Own().front() == aSender) {
    m_lastAggregatorDigestAt = aNow;
  }
}

std::vector<base::Endpoint> const& AggregatorRole::Own() const
{
  static std::vector<base::Endpoint> const kNone;
  auto const found = m_aggregators.find(m_domain);
  return found == m_aggregators.end() ? kNone : found->second;
}

std::size_t AggregatorRole::Rank() const
{
  return static_cast<std::size_t>(std::ranges::find(Own(), m_self) - Own().begin());
}

DomainDuty AggregatorRole::Duty(base::Instant aNow) const
{
  if (Own().empty() || aNow - m_namedAt >= m_limits.m_namingRetention) {
    return DomainDuty::Alone;
  }
  if (Rank() == 0) {
    return DomainDuty::Aggregator;
  }
  if (Rank() < Own().size()) {
    return DomainDuty::Deputy;
  }
  bool const isSilent = aNow - std::max(m_lastDigestAt, m_namedSince) >= m_limits.m_memberPatience;
  return isSilent ? DomainDuty::Alone : DomainDuty::Member;
}

bool AggregatorRole::IsSending(base::Instant aNow) const
{
  auto const duty = Duty(aNow);
  bool const isReplacing =
    duty == DomainDuty::Deputy &&
    aNow - std::max(m_lastAggregatorDigestAt, m_namedSince) >= m_limits.m_deputyPatience;
  return duty == DomainDuty::Aggregator || isReplacing;
}

std::vector<base::Endpoint> AggregatorRole::Remote(std::size_t aRound) const
{
  std::vector<base::Endpoint> receivers;
  for (auto const& [domain, aggregators] : m_aggregators) {
    if (domain != m_domain && !aggregators.empty()) {
      receivers.push_back(aggregators[aRound % aggregators.size()]);
    }
  }
  return receivers;
}

} // namespace sardinefold::agent
