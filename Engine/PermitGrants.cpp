#include "Engine/PermitGrants.h"

#include <algorithm>

namespace sardinefold::engine {

namespace {

/// Permits that are stored while no request waits: at least this many, and those of this
/// time.
constexpr double kLeastStored = 1;
constexpr base::Duration kStoredTime = std::chrono::milliseconds(500);
/// A gateway that asks for less is not given a permit unasked.
constexpr base::RequestsPerSecond kLeastAsked(0.02);
/// A wait that is longer counts as this one.
constexpr base::Duration kLongestWait = std::chrono::minutes(1);

double SecondsSince(base::Instant aThen, base::Instant aNow)
{
  return base::ToSeconds(std::min(aNow - aThen, kLongestWait));
}

} // namespace

void PermitGrants::OnDemand(base::HostId const& aGateway, RequestLimitDemand const& aDemand,
                            base::Instant aNow)
{
  auto& gateway = m_gateways[aGateway];
  gateway.m_demand = aDemand;
  gateway.m_reportedAt = aNow;
}

void PermitGrants::OnNoDemand(base::HostId const& aGateway)
{
  if (auto const found = m_gateways.find(aGateway); found != m_gateways.end()) {
    found->second.m_demand.m_waiting = 0;
    found->second.m_demand.m_asked = {};
  }
}

std::uint64_t PermitGrants::Needed(Gateway const& aGateway)
{
  auto const received = std::min(aGateway.m_demand.m_received, aGateway.m_total);
  auto const underWay = aGateway.m_total - received;
  return aGateway.m_demand.m_waiting -
         std::min<std::uint64_t>(aGateway.m_demand.m_waiting, underWay);
}

PermitGrants::Gateway* PermitGrants::FindNeediest(base::Instant aNow)
{
  Gateway* neediest = nullptr;
  double most = 0;
  for (auto& [host, gateway] : m_gateways) {
    auto const needed = aNow - gateway.m_reportedAt < kSilence ? Needed(gateway) : 0;
    // A gateway with few requests gets its turn, too.
    double const need =
      needed == 0 ? 0 : static_cast<double>(needed) + SecondsSince(gateway.m_grantedAt, aNow);
    if (need > most) {
      most = need;
      neediest = &gateway;
    }
  }
  return neediest;
}

PermitGrants::Gateway* PermitGrants::FindAsking(base::Instant aNow)
{
  Gateway* asking = nullptr;
  double most = 0;
  for (auto& [host, gateway] : m_gateways) {
    bool const mayAsk = aNow - gateway.m_reportedAt < kSilence &&
                        gateway.m_demand.m_asked >= kLeastAsked &&
                        gateway.m_demand.m_received >= gateway.m_total;
    double const expected =
      mayAsk ? gateway.m_demand.m_asked.Value() * SecondsSince(gateway.m_grantedAt, aNow) : 0;
    if (expected > most) {
      most = expected;
      asking = &gateway;
    }
  }
  return asking;
}

void PermitGrants::Grant(Gateway& aGateway, base::Instant aNow)
{
  ++aGateway.m_total;
  aGateway.m_grantedAt = aNow;
  m_stored -= 1;
}

void PermitGrants::Update(base::RequestsPerSecond aRate, base::Instant aNow)
{
  // What has come since the last call is not stored yet.
  double const come = aRate.Value() * base::ToSeconds(aNow - m_storedAt.value_or(aNow));
  double const most = std::max(kLeastStored, aRate.Value() * base::ToSeconds(kStoredTime));
  m_stored = std::min(most, m_stored) + std::min(most, come);
  m_storedAt = aNow;
  bool const isFull = m_stored >= most;
  while (m_stored >= 1) {
    auto* const neediest = FindNeediest(aNow);
    if (!neediest) {
      break;
    }
    Grant(*neediest, aNow);
  }
  if (!isFull || m_stored < 1) {
    return;
  }
  // A gateway that holds a permit sends its next request without a wait, and learns whether
  // the upstream still names a limit.
  if (auto* const asking = FindAsking(aNow)) {
    Grant(*asking, aNow);
  }
}

std::uint64_t PermitGrants::TotalOf(base::HostId const& aGateway) const
{
  auto const found = m_gateways.find(aGateway);
  return found == m_gateways.end() ? 0 : found->second.m_total;
}

unsigned PermitGrants::Waiting(base::Instant aNow) const
{
  unsigned waiting = 0;
  for (auto const& [host, gateway] : m_gateways) {
    waiting += aNow - gateway.m_reportedAt < kSilence ? gateway.m_demand.m_waiting : 0;
  }
  return waiting;
}

} // namespace sardinefold::engine
