#include "Entry/Allowance/BucketShare.h"

#include "Entry/Allowance/AllowanceLimits.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

namespace {

/// Prefetch is granted only from the level above this part of the burst.
constexpr std::int64_t kPrefetchReserveDivisor = 3;
/// A request for more than this part of the burst is served in several slices.
constexpr std::int64_t kPartialDivisor = 2;
/// The state of a holder without contact for this time is discarded. By then its
/// refunds lie outside the history, so that a delayed copy of one is not applied
/// again.
constexpr base::Duration kHolderRetention = 2 * kRefundWindow;

} // namespace

BucketShare::BucketShare(ShareKey aShare, base::Epoch aEpoch, Allowance aAllowance,
                         InitialShareState aInitial, base::Instant aNow)
  : m_share(std::move(aShare))
  , m_epoch(aEpoch)
  , m_allowance(aAllowance)
  , m_start(aNow)
  , m_refillStart(aNow)
  , m_level(std::min(aInitial.m_level, aAllowance.m_burst))
  , m_predecessorEnd(aNow + kGrantLifetime)
  , m_nextExpiry(aNow + kHolderRetention)
  , m_lastGrant(aInitial.m_lastGrant)
{
  if (aInitial.m_hasPredecessor) {
    m_predecessor = m_allowance.m_burst - m_level;
  }
  m_history.Record(Age(aNow), Potential());
}

std::vector<TokenGrant> BucketShare::Request(TokenRequest const& aRequest, base::Instant aNow)
{
  std::vector<TokenGrant> grants;
  if (m_closed) {
    return grants;
  }
  Refill(aNow);
  HolderState& holder = m_holders[aRequest.m_holder];
  holder.m_lastContact = aNow;
  if (aRequest.m_number <= holder.m_lastRequest) {
    return grants;
  }
  holder.m_lastRequest = aRequest.m_number;
  if (aRequest.m_epoch == m_epoch) {
    ApplyReports(aRequest, holder);
    ApplyRefunds(aRequest.m_refunds, holder);
  }
  Respond(aRequest, grants, aNow);
  m_history.Record(Age(aNow), Potential());
  return grants;
}

void BucketShare::Respond(TokenRequest const& aRequest, std::vector<TokenGrant>& aGrants,
                          base::Instant aNow)
{
  bool const wasQueued = UpdateQueued(aRequest, aNow);
  ServeQueue(aGrants, aNow);
  if (wasQueued || !m_queue.empty()) {
    if (!wasQueued) {
      Enqueue(aRequest, base::Tokens(), aNow);
    }
    aGrants.push_back(Grant(aRequest, base::Tokens(), aNow));
    return;
  }
  base::Tokens const grantable = Grantable(aRequest);
  Enqueue(aRequest, grantable, aNow);
  aGrants.push_back(Grant(aRequest, grantable, aNow));
}

std::vector<TokenGrant> BucketShare::Advance(base::Instant aNow)
{
  std::vector<TokenGrant> grants;
  if (m_closed) {
    return grants;
  }
  Refill(aNow);
  ExpireInactiveHolders(aNow);
  ServeQueue(grants, aNow);
  m_history.Record(Age(aNow), Potential());
  return grants;
}

void BucketShare::SetAllowance(Allowance aAllowance, base::Instant aNow)
{
  if (aAllowance == m_allowance) {
    return;
  }
  Refill(aNow);
  m_allowance = aAllowance;
  m_refillStart = aNow;
  m_refilled = base::Tokens();
  m_level = std::min(m_level, m_allowance.m_burst);
}

base::Tokens BucketShare::Close(base::Instant aNow)
{
  Refill(aNow);
  m_closed = true;
  m_queue.clear();
  return std::exchange(m_level, base::Tokens());
}

bool BucketShare::IsIdle() const
{
  return m_queue.empty() && m_holders.empty() && m_level >= m_allowance.m_burst;
}

void BucketShare::Refill(base::Instant aNow)
{
  Expire(aNow);
  base::Tokens const earned = m_allowance.m_rate * (aNow - m_refillStart);
  base::Tokens const due = earned - m_refilled;
  m_refilled = earned;
  base::Tokens const room = m_allowance.m_burst - Potential();
  if (room > base::Tokens()) {
    m_level += std::min(due, room);
  }
  m_history.Record(Age(aNow), Potential());
}

void BucketShare::Expire(base::Instant aNow)
{
  if (aNow >= m_predecessorEnd) {
    m_predecessor = base::Tokens();
  }
  while (!m_expiries.empty() && m_expiries.front().m_at <= aNow) {
    Expiry const& expiry = m_expiries.front();
    auto const holder = m_holders.find(expiry.m_holder);
    if (holder != m_holders.end()) {
      auto const grant = holder->second.m_grants.find(expiry.m_grant);
      if (grant != holder->second.m_grants.end()) {
        m_outstanding -= grant->second.m_left;
        holder->second.m_grants.erase(grant);
      }
    }
    m_expiries.pop_front();
  }
}

void BucketShare::ApplyReports(TokenRequest const& aRequest, HolderState& aHolder)
{
  for (GrantReport const& report : aRequest.m_reports) {
    auto const found = aHolder.m_grants.find(report.m_grant);
    if (found == aHolder.m_grants.end()) {
      continue;
    }
    OpenGrant& grant = found->second;
    base::Tokens const returned =
      std::clamp(report.m_returned - grant.m_returned, base::Tokens(), grant.m_left);
    grant.m_returned += returned;
    grant.m_left -= returned;
    base::Tokens const spent =
      std::clamp(report.m_spent - grant.m_spent, base::Tokens(), grant.m_left);
    grant.m_spent += spent;
    grant.m_left -= spent;
    m_outstanding -= returned + spent;
    m_level += returned;
    if (grant.m_left == base::Tokens()) {
      aHolder.m_grants.erase(found);
    }
  }
  // NOTE: After a reduction of the burst, returned tokens can exceed it.
  m_level = std::min(m_level, m_allowance.m_burst);
}

void BucketShare::ApplyRefunds(RefundBatch const& aBatch, HolderState& aHolder)
{
  if (aBatch.m_number <= aHolder.m_refundsApplied) {
    return;
  }
  aHolder.m_refundsApplied = aBatch.m_number;
  for (RefundEntry const& entry : aBatch.m_entries) {
    if (!m_history.Covers(entry.m_spentAfter) || entry.m_tokens <= base::Tokens()) {
      continue;
    }
    // If the unused tokens had never been taken, the potential would have been
    // higher by them since they ceased to be outstanding, and the part above the
    // burst would have been lost.
    base::Tokens const room = m_allowance.m_burst - m_history.PeakSince(entry.m_spentAfter);
    base::Tokens const refund = std::clamp(room, base::Tokens(), entry.m_tokens);
    m_level += refund;
    m_history.Raise(entry.m_spentAfter, refund);
  }
}

bool BucketShare::UpdateQueued(TokenRequest const& aRequest, base::Instant aNow)
{
  for (auto position = m_queue.begin(); position != m_queue.end(); ++position) {
    if (position->m_request.m_holder != aRequest.m_holder) {
      continue;
    }
    m_queued -= position->m_request.m_wanted;
    if (aRequest.m_wanted == base::Tokens()) {
      m_queue.erase(position);
      return false;
    }
    m_queued += aRequest.m_wanted;
    position->m_request = aRequest;
    position->m_request.m_prefetch = base::Tokens();
    position->m_until = aNow + kTokenRequestLifetime;
    return true;
  }
  return false;
}

void BucketShare::Enqueue(TokenRequest const& aRequest, base::Tokens aGranted, base::Instant aNow)
{
  if (aGranted >= aRequest.m_wanted) {
    return;
  }
  Queued queued{ aRequest, aNow + kTokenRequestLifetime };
  queued.m_request.m_reports.clear();
  queued.m_request.m_refunds.m_entries.clear();
  queued.m_request.m_wanted -= aGranted;
  queued.m_request.m_minimum = std::min(aRequest.m_minimum, queued.m_request.m_wanted);
  queued.m_request.m_prefetch = base::Tokens();
  m_queued += queued.m_request.m_wanted;
  m_queue.push_back(std::move(queued));
}

base::Tokens BucketShare::Grantable(TokenRequest const& aRequest) const
{
  base::Tokens const useful =
    std::min(aRequest.m_minimum, base::Tokens(m_allowance.m_burst.Value() / kPartialDivisor));
  if (m_level <= base::Tokens() || m_level < useful) {
    return base::Tokens();
  }
  base::Tokens const needed = std::min(m_level, aRequest.m_wanted);
  base::Tokens const reserve(m_allowance.m_burst.Value() / kPrefetchReserveDivisor);
  base::Tokens const surplus = std::max(base::Tokens(), m_level - needed - reserve);
  return needed + std::min(surplus, aRequest.m_prefetch);
}

TokenGrant BucketShare::Grant(TokenRequest const& aRequest, base::Tokens aTokens,
                              base::Instant aNow)
{
  HolderState& holder = m_holders[aRequest.m_holder];
  TokenGrant grant{ m_share,       aRequest.m_holder, m_epoch,   aRequest.m_number,
                    m_lastGrant,   aTokens,           Age(aNow), holder.m_refundsApplied,
                    ExpectedWait() };
  if (aTokens > base::Tokens()) {
    m_lastGrant = m_lastGrant.Next();
    grant.m_number = m_lastGrant;
    m_level -= aTokens;
    m_outstanding += aTokens;
    holder.m_grants[m_lastGrant].m_left = aTokens;
    m_expiries.push_back({ aNow + kGrantLifetime, aRequest.m_holder, m_lastGrant });
  }
  return grant;
}

void BucketShare::ServeQueue(std::vector<TokenGrant>& aGrants, base::Instant aNow)
{
  while (!m_queue.empty()) {
    Queued& head = m_queue.front();
    bool const isOver = head.m_until < aNow;
    base::Tokens const grantable = isOver ? base::Tokens() : Grantable(head.m_request);
    if (!isOver && grantable == base::Tokens()) {
      return;
    }
    m_queued -= head.m_request.m_wanted;
    TokenRequest const request = std::move(head.m_request);
    m_queue.pop_front();
    if (isOver) {
      continue;
    }
    aGrants.push_back(Grant(request, grantable, aNow));
    Enqueue(request, grantable, aNow);
  }
}

void BucketShare::ExpireInactiveHolders(base::Instant aNow)
{
  if (aNow < m_nextExpiry) {
    return;
  }
  m_nextExpiry = aNow + kHolderRetention;
  std::erase_if(m_holders, [aNow](auto const& aItem) {
    return aItem.second.m_grants.empty() && aItem.second.m_lastContact + kHolderRetention < aNow;
  });
}

base::Duration BucketShare::ExpectedWait() const
{
  double const rate = m_allowance.m_rate.Value();
  if (m_queued == base::Tokens() || rate <= 0) {
    return {};
  }
  return base::FromSeconds(static_cast<double>(m_queued.Value()) / rate);
}

} // namespace sardinefold::entry
