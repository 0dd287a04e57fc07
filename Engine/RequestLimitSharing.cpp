#include "Engine/RequestLimitSharing.h"

#include <algorithm>
#include <utility>

namespace sardinefold::engine {

namespace {

/// A planner that has just started waits this long for the reports of its gateways before
/// it grants permits.
constexpr base::Duration kSettleTime = std::chrono::seconds(1);
/// How long it is passed on that an upstream names no limit any more.
constexpr base::Duration kEndRetention = std::chrono::seconds(5);
/// A limit that no response has confirmed for this long is forgotten.
constexpr base::Duration kLimitRetention = std::chrono::seconds(60);
/// A limit that no gateway has reported for this long is forgotten.
constexpr base::Duration kUnlistedRetention = std::chrono::seconds(10);

bool IsEarlierStart(UpstreamStart const& aOne, UpstreamStart const& aOther)
{
  bool const isSame = aOne.m_instance == aOther.m_instance || aOne.m_endpoint == aOther.m_endpoint;
  return isSame && aOne.m_startedAt < aOther.m_startedAt;
}

} // namespace

void RequestLimitSharing::OnDemands(base::HostId const& aGateway,
                                    std::vector<RequestLimitDemand> const& aDemands,
                                    base::Instant aNow)
{
  m_reportedAt[aGateway] = aNow;
  m_planningSince = m_planningSince.value_or(aNow);
  for (auto const& demand : aDemands) {
    Learn(demand.m_state, aNow);
    auto const found = m_upstreams.find(demand.m_state.m_start);
    if (found != m_upstreams.end()) {
      found->second.m_listedAt = aNow;
      found->second.m_grants.OnDemand(aGateway, demand, aNow);
    }
  }
  for (auto& item : m_upstreams) {
    bool const isListed = std::ranges::any_of(
      aDemands, [&item](auto const& aDemand) { return aDemand.m_state.m_start == item.first; });
    if (!isListed) {
      item.second.m_grants.OnNoDemand(aGateway);
    }
  }
}

bool RequestLimitSharing::IsSuperseded(UpstreamStart const& aStart) const
{
  return std::ranges::any_of(
    m_upstreams, [&aStart](auto const& aItem) { return IsEarlierStart(aStart, aItem.first); });
}

void RequestLimitSharing::Learn(RequestLimitState const& aState, base::Instant aNow)
{
  bool const isOld = !aState.m_limit && aState.m_age > kEndRetention;
  if (isOld || aState.m_age > kLimitRetention || IsSuperseded(aState.m_start)) {
    return;
  }
  std::erase_if(m_upstreams, [&aState](auto const& aItem) {
    return IsEarlierStart(aItem.first, aState.m_start);
  });
  auto const toldAt = aNow - aState.m_age;
  auto const [found, isNew] = m_upstreams.try_emplace(aState.m_start);
  auto& upstream = found->second;
  if (isNew || toldAt > upstream.m_toldAt + WordTolerance(upstream.m_limit, aState.m_limit)) {
    upstream.m_limit = aState.m_limit;
    upstream.m_toldAt = toldAt;
  }
}

void RequestLimitSharing::Expire(base::Instant aNow)
{
  std::erase_if(m_reportedAt,
                [aNow](auto const& aItem) { return aNow - aItem.second > PermitGrants::kSilence; });
  if (m_reportedAt.empty()) {
    m_planningSince.reset();
  }
  std::erase_if(m_upstreams, [aNow](auto const& aItem) {
    auto const& upstream = aItem.second;
    auto const retention = upstream.m_limit ? kLimitRetention : kEndRetention;
    return aNow - upstream.m_toldAt > retention || aNow - upstream.m_listedAt > kUnlistedRetention;
  });
}

void RequestLimitSharing::Update(std::size_t aGatewaysPresent, base::Instant aNow)
{
  Expire(aNow);
  if (!m_planningSince || aNow - *m_planningSince < kSettleTime) {
    return;
  }
  // Gateways that report to no planner or to another one keep their part of the limits.
  auto const reporting = static_cast<double>(m_reportedAt.size());
  auto const part = reporting / std::max(reporting, static_cast<double>(aGatewaysPresent));
  for (auto& [start, upstream] : m_upstreams) {
    if (upstream.m_limit) {
      upstream.m_grants.Update(UsedRequestLimit(*upstream.m_limit) * part, aNow);
    }
  }
}

std::vector<RequestLimitGrant> RequestLimitSharing::GrantsFor(base::HostId const& aGateway,
                                                              base::Instant aNow) const
{
  std::vector<RequestLimitGrant> grants;
  for (auto const& [start, upstream] : m_upstreams) {
    grants.push_back({ { start, upstream.m_limit, aNow - upstream.m_toldAt },
                       upstream.m_grants.TotalOf(aGateway),
                       upstream.m_grants.Waiting(aNow) });
  }
  return grants;
}

std::vector<RequestLimitState> RequestLimitSharing::TakeChanges(base::Instant aNow)
{
  std::vector<RequestLimitState> changes;
  for (auto& [start, upstream] : m_upstreams) {
    if (std::exchange(upstream.m_reported, upstream.m_limit) != upstream.m_limit) {
      changes.push_back({ start, upstream.m_limit, aNow - upstream.m_toldAt });
    }
  }
  return changes;
}

} // namespace sardinefold::engine
