#include "Entry/Allowance/BucketShare.h"

#include "Entry/Allowance/AllowanceLimits.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

namespace {

/// Prefetching stops while the level is under this part of the burst.
constexpr std::int64_t kPlentyDivisor = 3;
/// An ask for more than this part of the burst is served in several slices.
constexpr std::int64_t kPartialDivisor = 2;
/// A silent account is forgotten after this time; by then its refunds are out
/// of the history, so that a copy of one that arrives late is not applied.
constexpr base::Duration kAccountLife = 2 * kRefundLimit;

} // namespace

BucketShare::BucketShare(ShareKey aShare, base::Epoch aEpoch, Allowance aAllowance,
                         ShareStart aStart, base::Instant aNow)
  : m_share(std::move(aShare))
  , m_epoch(aEpoch)
  , m_allowance(aAllowance)
  , m_start(aNow)
  , m_refillStart(aNow)
  , m_level(std::min(aStart.m_level, aAllowance.m_burst))
  , m_predecessorEnd(aNow + kSliceEnd)
  , m_nextForget(aNow + kAccountLife)
  , m_lastGrant(aStart.m_lastGrant)
{
  if (aStart.m_hasPredecessor) {
    m_predecessor = m_allowance.m_burst - m_level;
  }
  m_history.Note(Age(aNow), Potential());
}

std::vector<TokenGrant> BucketShare::Ask(TokenAsk const& aAsk, base::Instant aNow)
{
  std::vector<TokenGrant> grants;
  if (m_closed) {
    return grants;
  }
  Refill(aNow);
  Account& account = m_accounts[aAsk.m_holder];
  account.m_heard = aNow;
  if (aAsk.m_number <= account.m_lastAsk) {
    return grants;
  }
  account.m_lastAsk = aAsk.m_number;
  if (aAsk.m_epoch == m_epoch) {
    ApplyReports(aAsk, account);
    ApplyRefunds(aAsk.m_refunds, account);
  }
  Answer(aAsk, grants, aNow);
  m_history.Note(Age(aNow), Potential());
  return grants;
}

void BucketShare::Answer(TokenAsk const& aAsk, std::vector<TokenGrant>& aGrants, base::Instant aNow)
{
  bool const wasQueued = UpdateQueued(aAsk, aNow);
  ServeQueue(aGrants, aNow);
  if (wasQueued || !m_queue.empty()) {
    if (!wasQueued) {
      Enqueue(aAsk, base::Tokens(), aNow);
    }
    aGrants.push_back(Grant(aAsk, base::Tokens(), aNow));
    return;
  }
  base::Tokens const grantable = Grantable(aAsk);
  Enqueue(aAsk, grantable, aNow);
  aGrants.push_back(Grant(aAsk, grantable, aNow));
}

std::vector<TokenGrant> BucketShare::Advance(base::Instant aNow)
{
  std::vector<TokenGrant> grants;
  if (m_closed) {
    return grants;
  }
  Refill(aNow);
  ForgetSilentAccounts(aNow);
  ServeQueue(grants, aNow);
  m_history.Note(Age(aNow), Potential());
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
  return m_queue.empty() && m_accounts.empty() && m_level >= m_allowance.m_burst;
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
  m_history.Note(Age(aNow), Potential());
}

void BucketShare::Expire(base::Instant aNow)
{
  if (aNow >= m_predecessorEnd) {
    m_predecessor = base::Tokens();
  }
  while (!m_expiries.empty() && m_expiries.front().m_at <= aNow) {
    Expiry const& expiry = m_expiries.front();
    auto const account = m_accounts.find(expiry.m_holder);
    if (account != m_accounts.end()) {
      auto const grant = account->second.m_grants.find(expiry.m_grant);
      if (grant != account->second.m_grants.end()) {
        m_outstanding -= grant->second.m_left;
        account->second.m_grants.erase(grant);
      }
    }
    m_expiries.pop_front();
  }
}

void BucketShare::ApplyReports(TokenAsk const& aAsk, Account& aAccount)
{
  for (GrantReport const& report : aAsk.m_reports) {
    auto const found = aAccount.m_grants.find(report.m_grant);
    if (found == aAccount.m_grants.end()) {
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
      aAccount.m_grants.erase(found);
    }
  }
  // NOTE: After a cut of the burst a return can exceed it.
  m_level = std::min(m_level, m_allowance.m_burst);
}

void BucketShare::ApplyRefunds(RefundBatch const& aBatch, Account& aAccount)
{
  if (aBatch.m_number <= aAccount.m_refundsApplied) {
    return;
  }
  aAccount.m_refundsApplied = aBatch.m_number;
  for (RefundEntry const& entry : aBatch.m_entries) {
    if (!m_history.Covers(entry.m_spentAfter) || entry.m_tokens <= base::Tokens()) {
      continue;
    }
    // Had the unused tokens never been taken, the potential would have been
    // higher by them since they ceased to be outstanding; what exceeds the
    // burst would have been lost.
    base::Tokens const room = m_allowance.m_burst - m_history.PeakSince(entry.m_spentAfter);
    base::Tokens const refund = std::clamp(room, base::Tokens(), entry.m_tokens);
    m_level += refund;
    m_history.Raise(entry.m_spentAfter, refund);
  }
}

bool BucketShare::UpdateQueued(TokenAsk const& aAsk, base::Instant aNow)
{
  for (auto position = m_queue.begin(); position != m_queue.end(); ++position) {
    if (position->m_ask.m_holder != aAsk.m_holder) {
      continue;
    }
    m_queued -= position->m_ask.m_want;
    if (aAsk.m_want == base::Tokens()) {
      m_queue.erase(position);
      return false;
    }
    m_queued += aAsk.m_want;
    position->m_ask = aAsk;
    position->m_ask.m_prefetch = base::Tokens();
    position->m_until = aNow + kAskLife;
    return true;
  }
  return false;
}

void BucketShare::Enqueue(TokenAsk const& aAsk, base::Tokens aGranted, base::Instant aNow)
{
  if (aGranted >= aAsk.m_want) {
    return;
  }
  Queued queued{ aAsk, aNow + kAskLife };
  queued.m_ask.m_reports.clear();
  queued.m_ask.m_refunds.m_entries.clear();
  queued.m_ask.m_want -= aGranted;
  queued.m_ask.m_first = std::min(aAsk.m_first, queued.m_ask.m_want);
  queued.m_ask.m_prefetch = base::Tokens();
  m_queued += queued.m_ask.m_want;
  m_queue.push_back(std::move(queued));
}

base::Tokens BucketShare::Grantable(TokenAsk const& aAsk) const
{
  base::Tokens const useful =
    std::min(aAsk.m_first, base::Tokens(m_allowance.m_burst.Value() / kPartialDivisor));
  if (m_level <= base::Tokens() || m_level < useful) {
    return base::Tokens();
  }
  base::Tokens const needed = std::min(m_level, aAsk.m_want);
  base::Tokens const reserve(m_allowance.m_burst.Value() / kPlentyDivisor);
  base::Tokens const plenty = std::max(base::Tokens(), m_level - needed - reserve);
  return needed + std::min(plenty, aAsk.m_prefetch);
}

TokenGrant BucketShare::Grant(TokenAsk const& aAsk, base::Tokens aTokens, base::Instant aNow)
{
  Account& account = m_accounts[aAsk.m_holder];
  TokenGrant grant{ m_share,       aAsk.m_holder, m_epoch,   aAsk.m_number,
                    m_lastGrant,   aTokens,       Age(aNow), account.m_refundsApplied,
                    ExpectedWait() };
  if (aTokens > base::Tokens()) {
    m_lastGrant = m_lastGrant.Next();
    grant.m_number = m_lastGrant;
    m_level -= aTokens;
    m_outstanding += aTokens;
    account.m_grants[m_lastGrant].m_left = aTokens;
    m_expiries.push_back({ aNow + kSliceEnd, aAsk.m_holder, m_lastGrant });
  }
  return grant;
}

void BucketShare::ServeQueue(std::vector<TokenGrant>& aGrants, base::Instant aNow)
{
  while (!m_queue.empty()) {
    Queued& head = m_queue.front();
    bool const isOver = head.m_until < aNow;
    base::Tokens const grantable = isOver ? base::Tokens() : Grantable(head.m_ask);
    if (!isOver && grantable == base::Tokens()) {
      return;
    }
    m_queued -= head.m_ask.m_want;
    TokenAsk const ask = std::move(head.m_ask);
    m_queue.pop_front();
    if (isOver) {
      continue;
    }
    aGrants.push_back(Grant(ask, grantable, aNow));
    Enqueue(ask, grantable, aNow);
  }
}

void BucketShare::ForgetSilentAccounts(base::Instant aNow)
{
  if (aNow < m_nextForget) {
    return;
  }
  m_nextForget = aNow + kAccountLife;
  std::erase_if(m_accounts, [aNow](auto const& aItem) {
    return aItem.second.m_grants.empty() && aItem.second.m_heard + kAccountLife < aNow;
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
