#include "Entry/Allowance/SliceHolder.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace sardinefold::entry {

namespace {

/// Time constant of the smoothed demand.
constexpr base::Duration kDemandSmoothing = 1s;
/// Demand that amounts to fewer tokens than this within the prefetch horizon is
/// served by a token request for each request.
constexpr base::Tokens kSmallestPrefetch{ 256 };
/// Number of other shares that are asked at a time when the local share has a
/// shortage.
constexpr std::int64_t kSharesInTurn = 2;
/// Shortest retry time that a refused caller is given.
constexpr base::Duration kMinimumRetryAfter = 1s;

template<typename Item>
void MoveTo(std::vector<Item>& aTarget, std::vector<Item>& aSource)
{
  std::move(aSource.begin(), aSource.end(), std::back_inserter(aTarget));
}

} // namespace

void HolderActions::Append(HolderActions&& aOther)
{
  MoveTo(m_granted, aOther.m_granted);
  MoveTo(m_refused, aOther.m_refused);
  MoveTo(m_requests, aOther.m_requests);
}

SliceHolder::SliceHolder(base::WorkspaceId const& aWorkspace, HolderKey const& aHolder,
                         std::uint64_t aShares, ShareIndex aLocalShare, Allowance aAllowance,
                         TokenRequestNumber aLastNumber)
  : m_localShare(aLocalShare)
  , m_allowance(aAllowance)
{
  for (std::uint64_t index = 0; index < aShares; ++index) {
    m_links.emplace_back(ShareKey{ aWorkspace, ShareIndex(index) }, aHolder, aLastNumber);
  }
}

HolderActions SliceHolder::Reserve(ReservationId aId, base::Tokens aTokens, base::Instant aDeadline,
                                   base::Instant aNow)
{
  HolderActions actions;
  auto const shares = static_cast<std::int64_t>(m_links.size());
  bool const fitsNever = aTokens > m_allowance.Part(m_links.size()).m_burst * shares;
  if (fitsNever || (aTokens > Available() && aNow + EstimatedWait(aNow) > aDeadline)) {
    base::Duration const wait = std::max(EstimatedWait(aNow), RefillTime(aTokens));
    actions.m_refused.push_back({ aId, std::max(kMinimumRetryAfter, wait) });
    return actions;
  }
  m_waiting.push_back({ aId, aTokens, aDeadline });
  m_waitingTokens += aTokens;
  return Run(aNow);
}

HolderActions SliceHolder::Settle(ReservationId aId, base::Tokens aUsed, base::Instant aNow)
{
  auto const waiting = std::ranges::find(m_waiting, aId, &Waiting::m_id);
  if (waiting != m_waiting.end()) {
    m_waitingTokens -= waiting->m_tokens;
    m_waiting.erase(waiting);
    return Run(aNow);
  }
  auto const found = m_reservations.find(aId);
  if (found == m_reservations.end()) {
    return {};
  }
  Reservation const reservation = std::move(found->second);
  m_reservations.erase(found);
  base::Tokens unused = std::max(base::Tokens(), reservation.m_tokens - aUsed);
  for (ReservationPart part : reservation.m_parts) {
    base::Tokens const back = std::min(part.m_tokens, unused);
    unused -= back;
    ShareLink& link = Link(part.m_share);
    if (reservation.m_isSpent) {
      if (back > base::Tokens()) {
        link.Refund(part, back, reservation.m_dispatched + kStartLimit);
      }
      continue;
    }
    link.Restore(part, back);
    part.m_tokens -= back;
    link.Spend(part);
  }
  return Run(aNow);
}

HolderActions SliceHolder::Receive(TokenGrant const& aGrant, base::Instant aNow)
{
  if (aGrant.m_share.m_share.Value() >= m_links.size()) {
    return {};
  }
  Link(aGrant.m_share.m_share).Receive(aGrant, aNow);
  return Run(aNow);
}

HolderActions SliceHolder::Advance(base::Instant aNow)
{
  return Run(aNow);
}

HolderActions SliceHolder::Drain(base::Instant aNow)
{
  HolderActions actions;
  for (ShareLink& link : m_links) {
    link.ReturnTokens(link.Available());
    if (!link.IsIdle()) {
      actions.m_requests.push_back(link.MakeRequest({}, aNow));
    }
  }
  return actions;
}

HolderActions SliceHolder::Run(base::Instant aNow)
{
  HolderActions actions;
  for (ShareLink& link : m_links) {
    link.Advance(aNow);
  }
  SpendDue(aNow);
  ServeWaiting(actions, aNow);
  RefuseOverdue(actions, aNow);
  ReturnIdle(aNow);
  RequestFromShares(actions, aNow);
  return actions;
}

void SliceHolder::SpendDue(base::Instant aNow)
{
  while (!m_pendingSpends.empty() && m_pendingSpends.front().m_at <= aNow) {
    auto const found = m_reservations.find(m_pendingSpends.front().m_id);
    m_pendingSpends.pop_front();
    if (found == m_reservations.end()) {
      continue;
    }
    found->second.m_isSpent = true;
    for (ReservationPart const& part : found->second.m_parts) {
      Link(part.m_share).Spend(part);
    }
  }
}

void SliceHolder::ServeWaiting(HolderActions& aActions, base::Instant aNow)
{
  while (!m_waiting.empty() && m_waiting.front().m_tokens <= Available()) {
    Waiting const waiting = m_waiting.front();
    m_waiting.pop_front();
    m_waitingTokens -= waiting.m_tokens;
    Dispatch(waiting, aActions, aNow);
  }
}

void SliceHolder::Dispatch(Waiting const& aWaiting, HolderActions& aActions, base::Instant aNow)
{
  Reservation reservation{ aWaiting.m_tokens, aNow, false, {} };
  base::Tokens missing = aWaiting.m_tokens;
  missing -= Link(m_localShare).Take(missing, reservation.m_parts);
  for (ShareLink& link : m_links) {
    missing -= link.Take(missing, reservation.m_parts);
  }
  double const decay =
    std::exp(-base::ToSeconds(aNow - m_demandAt) / base::ToSeconds(kDemandSmoothing));
  m_demand = m_demand * decay +
             static_cast<double>(aWaiting.m_tokens.Value()) / base::ToSeconds(kDemandSmoothing);
  m_demandAt = aNow;
  m_reservations.emplace(aWaiting.m_id, std::move(reservation));
  m_pendingSpends.push_back({ aNow + kStartLimit, aWaiting.m_id });
  aActions.m_granted.push_back({ aWaiting.m_id, aNow + kStartLimit });
}

void SliceHolder::RefuseOverdue(HolderActions& aActions, base::Instant aNow)
{
  auto const isLate = [&](Waiting const& aWaiting) { return aWaiting.m_deadline <= aNow; };
  for (Waiting const& waiting : m_waiting) {
    if (!isLate(waiting)) {
      continue;
    }
    m_waitingTokens -= waiting.m_tokens;
    base::Duration const wait = std::max(EstimatedWait(aNow), RefillTime(waiting.m_tokens));
    aActions.m_refused.push_back({ waiting.m_id, std::max(kMinimumRetryAfter, wait) });
  }
  std::erase_if(m_waiting, isLate);
}

void SliceHolder::ReturnIdle(base::Instant aNow)
{
  for (ShareLink& link : m_links) {
    link.ReturnExpiringTokens(aNow);
  }
  base::Tokens const available = Available();
  m_lowWaterMark = std::min(m_lowWaterMark, available);
  if (aNow < m_lowWaterMarkStart + kIdleTokenTimeout) {
    return;
  }
  base::Tokens excess = m_waiting.empty() ? m_lowWaterMark - PrefetchTarget(aNow) : base::Tokens();
  m_lowWaterMark = available;
  m_lowWaterMarkStart = aNow;
  for (ShareLink& link : m_links) {
    base::Tokens const part = std::min(excess, link.Available());
    if (part > base::Tokens()) {
      link.ReturnTokens(part);
      excess -= part;
      m_lowWaterMark -= part;
    }
  }
}

void SliceHolder::RequestFromShares(HolderActions& aActions, base::Instant aNow)
{
  base::Tokens const missing = std::max(base::Tokens(), m_waitingTokens - Available());
  for (ShareLink& link : m_links) {
    ShareNeed const need = NeedOf(link, missing, aNow);
    if (link.ShouldSendRequest(need, aNow)) {
      aActions.m_requests.push_back(link.MakeRequest(need, aNow));
    }
  }
}

ShareNeed SliceHolder::NeedOf(ShareLink const& aLink, base::Tokens aMissing,
                              base::Instant aNow) const
{
  ShareNeed need;
  if (aMissing == base::Tokens()) {
    base::Tokens const target = PrefetchTarget(aNow);
    if (IsLocal(aLink) && Available() * 2 < target) {
      need.m_prefetch = target - Available();
    }
    return need;
  }
  base::Tokens const first =
    std::clamp(m_waiting.front().m_tokens - Available(), base::Tokens(1), aMissing);
  ShareLink const& local = m_links[m_localShare.Value()];
  auto const shares = static_cast<std::int64_t>(m_links.size());
  bool const isLarge = first.Value() > m_allowance.m_burst.Value() / shares / 2;
  if (IsLocal(aLink)) {
    need = { isLarge ? base::Tokens(1) : first, aMissing, PrefetchTarget(aNow) };
    return need;
  }
  if (!isLarge && !local.HasShortage(aNow) && !local.IsOwnerUnresponsive(aNow)) {
    return need;
  }
  if (!isLarge && !IsInTurn(aLink, aNow)) {
    return need;
  }
  std::int64_t const others =
    std::max<std::int64_t>(1, isLarge ? shares - 1 : std::min(shares - 1, kSharesInTurn));
  base::Tokens const part((aMissing.Value() + others - 1) / others);
  // NOTE: Parts of a request's tokens from several shares would mostly expire
  // unused, unless the request is too large for one share.
  need.m_minimum = isLarge ? base::Tokens(1) : first;
  need.m_wanted = isLarge ? part : std::max(first, part);
  return need;
}

bool SliceHolder::IsInTurn(ShareLink const& aLink, base::Instant aNow) const
{
  auto const others = static_cast<std::int64_t>(m_links.size()) - 1;
  auto const local = static_cast<std::int64_t>(m_localShare.Value());
  auto const share = static_cast<std::int64_t>(aLink.Key().m_share.Value());
  std::int64_t const position = (share - local + others) % (others + 1);
  std::int64_t const turn =
    (aNow.time_since_epoch() / kTokenRequestLifetime) * kSharesInTurn % others;
  return (position - turn + others) % others < kSharesInTurn;
}

base::Tokens SliceHolder::PrefetchTarget(base::Instant aNow) const
{
  double const decay =
    std::exp(-base::ToSeconds(aNow - m_demandAt) / base::ToSeconds(kDemandSmoothing));
  base::Tokens const target = base::TokensPerSecond(m_demand * decay) * kPrefetchHorizon;
  return target < kSmallestPrefetch ? base::Tokens() : target;
}

base::Duration SliceHolder::EstimatedWait(base::Instant aNow) const
{
  base::Duration shortest = base::Duration::max();
  for (ShareLink const& link : m_links) {
    shortest = std::min(shortest, link.ExpectedWait(aNow));
  }
  return shortest;
}

base::Duration SliceHolder::RefillTime(base::Tokens aTokens) const
{
  double const rate = m_allowance.m_rate.Value();
  return rate <= 0 ? kRefundWindow : base::FromSeconds(static_cast<double>(aTokens.Value()) / rate);
}

base::Tokens SliceHolder::Available() const
{
  base::Tokens available;
  for (ShareLink const& link : m_links) {
    available += link.Available();
  }
  return available;
}

bool SliceHolder::IsIdle() const
{
  return m_waiting.empty() && m_reservations.empty() &&
         std::ranges::all_of(m_links, &ShareLink::IsIdle);
}

} // namespace sardinefold::entry
