#include "Engine/WarmUpLimiter.h"

#include "Base/Digest.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <string>
#include <utility>

namespace sardinefold::engine {

namespace {

/// Added to a warm-up that the list tells, as the times of upstreams are rounded.
constexpr base::Duration kEndMargin = std::chrono::milliseconds(100);
/// Time after which a permit that another attempt has reserved is looked for again.
constexpr base::Duration kReservedWait = std::chrono::milliseconds(50);
/// Time for which a start is remembered that is no longer listed: an entry that lapses
/// in an outage of the store returns with the same start.
constexpr base::Duration kGoneMemory = std::chrono::minutes(2);

bool IsWithinWindow(base::Instant aSentAt, base::Instant aNow)
{
  return aNow - aSentAt < WarmUpShare::kWindow;
}

std::size_t CountSent(std::deque<base::Instant> const& aSentAt, base::Instant aNow)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aSentAt, [aNow](base::Instant aSent) { return IsWithinWindow(aSent, aNow); }));
}

} // namespace

void WarmUpLimiter::SetTerms(std::map<base::DeploymentId, WarmUpTerms> aTerms)
{
  if (m_terms == aTerms) {
    return;
  }
  m_terms = std::move(aTerms);
  UpdateShares();
}

void WarmUpLimiter::OnProcessCount(unsigned aProcesses, base::Instant aNow)
{
  auto const before = m_fleetSize.Size();
  m_fleetSize.OnReport(aProcesses, aNow);
  if (m_fleetSize.Size() != before) {
    UpdateShares();
  }
}

void WarmUpLimiter::UpdateShares()
{
  m_shares.clear();
  for (auto const& [deployment, terms] : m_terms) {
    m_shares.emplace(deployment, WarmUpShare(terms, m_fleetSize.Size()));
  }
}

void WarmUpLimiter::OnStart(Upstream& aUpstream, UpstreamStart aStart)
{
  // Requests to the earlier start count on: they may have reached this one.
  aUpstream.m_start = std::move(aStart);
  auto const name =
    aUpstream.m_start.m_instance.Text() + " " + std::to_string(aUpstream.m_start.m_startedAt);
  aUpstream.m_draw = static_cast<double>(base::FastHash(name, m_seed)) /
                     static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  aUpstream.m_listedEnd = {};
  aUpstream.m_seenAt.reset();
}

void WarmUpLimiter::OnListed(UpstreamEntry const& aEntry, StartKnowledge aKnowledge,
                             base::Instant aNow)
{
  m_gone.erase(aEntry.m_instance);
  auto const [found, isNew] = m_upstreams.try_emplace(aEntry.m_instance);
  auto& upstream = found->second;
  upstream.m_deployment = aEntry.m_deployment;
  // The clock of an upstream's host may be set back between two starts.
  bool const isOtherStart = aEntry.m_startedAt != upstream.m_start.m_startedAt &&
                            aEntry.m_startedAt != upstream.m_listedStart;
  bool const isStart = isNew || isOtherStart || upstream.m_start.m_endpoint != aEntry.m_endpoint;
  upstream.m_listedStart = aEntry.m_startedAt;
  if (isStart) {
    OnStart(upstream, { aEntry.m_instance, aEntry.m_endpoint, aEntry.m_startedAt });
  }
  bool const isWarmUpListed = aEntry.m_warmUpLeft > base::Duration::zero();
  if (isWarmUpListed) {
    upstream.m_listedEnd = std::max(upstream.m_listedEnd, aNow + aEntry.m_warmUpLeft + kEndMargin);
  } else if (isStart && !(isNew && aKnowledge == StartKnowledge::Earlier)) {
    upstream.m_seenAt = aNow;
  }
  if (isWarmUpListed || upstream.m_seenAt == aNow) {
    m_changing.try_emplace(aEntry.m_instance, false);
  }
}

void WarmUpLimiter::OnGone(InstanceId const& aInstance, base::Instant aNow)
{
  m_gone.try_emplace(aInstance, aNow);
}

void WarmUpLimiter::OnStartSeen(InstanceId const& aInstance, std::int64_t aStartedAt,
                                base::Instant aNow)
{
  auto const found = m_upstreams.find(aInstance);
  if (found == m_upstreams.end() || found->second.m_start.m_startedAt >= aStartedAt) {
    return;
  }
  auto start = found->second.m_start;
  start.m_startedAt = aStartedAt;
  OnStart(found->second, std::move(start));
  found->second.m_seenAt = aNow;
  m_changing.try_emplace(aInstance, false);
}

WarmUpLimiter::Upstream const* WarmUpLimiter::FindLimited(InstanceId const& aInstance) const
{
  if (m_terms.empty()) {
    return nullptr;
  }
  auto const found = m_upstreams.find(aInstance);
  bool const isLimited = found != m_upstreams.end() && m_terms.contains(found->second.m_deployment);
  return isLimited ? &found->second : nullptr;
}

base::Instant WarmUpLimiter::EndOf(Upstream const& aUpstream) const
{
  auto const terms = m_terms.find(aUpstream.m_deployment);
  if (terms == m_terms.end() || !aUpstream.m_seenAt) {
    return aUpstream.m_listedEnd;
  }
  return std::max(aUpstream.m_listedEnd, *aUpstream.m_seenAt + terms->second.m_time);
}

unsigned WarmUpLimiter::PermitsOf(Upstream const& aUpstream, base::Instant aNow) const
{
  auto const share = m_shares.find(aUpstream.m_deployment);
  return share == m_shares.end() || !m_fleetSize.IsSettled(aNow)
           ? 0
           : share->second.PermitsFor(aUpstream.m_draw);
}

bool WarmUpLimiter::IsWarmingUp(InstanceId const& aInstance, base::Instant aNow) const
{
  auto const* const upstream = FindLimited(aInstance);
  return upstream && aNow < EndOf(*upstream);
}

bool WarmUpLimiter::IsOpen(InstanceId const& aInstance, base::Instant aNow) const
{
  auto const* const upstream = FindLimited(aInstance);
  return !upstream || aNow >= EndOf(*upstream) ||
         CountSent(upstream->m_sentAt, aNow) + upstream->m_reserved < PermitsOf(*upstream, aNow);
}

base::Instant WarmUpLimiter::OpensAt(InstanceId const& aInstance, base::Instant aNow) const
{
  auto const* const upstream = FindLimited(aInstance);
  if (!upstream) {
    return aNow;
  }
  auto const end = EndOf(*upstream);
  if (!m_fleetSize.IsSettled(aNow)) {
    return std::min(end, m_fleetSize.SettlesAt().value_or(aNow + WarmUpFleetSize::kSettleTime));
  }
  if (IsOpen(aInstance, aNow)) {
    return aNow;
  }
  auto const permits = PermitsOf(*upstream, aNow);
  if (permits == 0) {
    return end;
  }
  // The permit that is free next is that of the request that is the last of those in
  // excess.
  auto const& sent = upstream->m_sentAt;
  auto const excess = CountSent(sent, aNow) + upstream->m_reserved + 1 - permits;
  auto const old = sent.size() - CountSent(sent, aNow);
  return old + excess <= sent.size() ? std::min(end, sent[old + excess - 1] + WarmUpShare::kWindow)
                                     : std::min(end, aNow + kReservedWait);
}

void WarmUpLimiter::Reserve(InstanceId const& aInstance)
{
  auto const found = m_upstreams.find(aInstance);
  if (found != m_upstreams.end()) {
    ++found->second.m_reserved;
  }
}

std::optional<base::Instant> WarmUpLimiter::Use(InstanceId const& aInstance,
                                                std::optional<base::Instant> aUsedAt,
                                                base::Instant aNow)
{
  auto const found = m_upstreams.find(aInstance);
  if (found == m_upstreams.end()) {
    return aNow;
  }
  auto& upstream = found->second;
  auto& sent = upstream.m_sentAt;
  auto const earlier = aUsedAt ? std::ranges::find(sent, *aUsedAt) : sent.end();
  if (earlier != sent.end()) {
    sent.erase(earlier);
  }
  bool const isLimited = FindLimited(aInstance) && aNow < EndOf(upstream);
  if (isLimited && CountSent(sent, aNow) >= PermitsOf(upstream, aNow)) {
    return std::nullopt;
  }
  if (!aUsedAt && upstream.m_reserved > 0) {
    --upstream.m_reserved;
  }
  if (m_terms.contains(upstream.m_deployment)) {
    std::erase_if(sent, [aNow](base::Instant aSent) { return !IsWithinWindow(aSent, aNow); });
    sent.push_back(aNow);
  }
  return aNow;
}

void WarmUpLimiter::Return(InstanceId const& aInstance)
{
  auto const found = m_upstreams.find(aInstance);
  if (found != m_upstreams.end() && found->second.m_reserved > 0) {
    --found->second.m_reserved;
  }
}

std::vector<WarmUpChange> WarmUpLimiter::TakeChanges(base::Instant aNow)
{
  std::vector<WarmUpChange> changes;
  for (auto item = m_changing.begin(); item != m_changing.end();) {
    auto& [instance, wasReported] = *item;
    auto const* const upstream = FindLimited(instance);
    bool const isWarmingUp = upstream && aNow < EndOf(*upstream);
    if (upstream && isWarmingUp != std::exchange(wasReported, isWarmingUp)) {
      changes.push_back({ upstream->m_start, upstream->m_deployment, isWarmingUp,
                          isWarmingUp ? EndOf(*upstream) - aNow : base::Duration::zero(),
                          PermitsOf(*upstream, aNow) });
    }
    item = isWarmingUp ? std::next(item) : m_changing.erase(item);
  }
  return changes;
}

void WarmUpLimiter::Expire(base::Instant aNow)
{
  std::erase_if(m_gone, [&](auto const& aItem) {
    bool const isExpired = aNow - aItem.second >= kGoneMemory;
    if (isExpired) {
      m_upstreams.erase(aItem.first);
      m_changing.erase(aItem.first);
    }
    return isExpired;
  });
}

} // namespace sardinefold::engine
