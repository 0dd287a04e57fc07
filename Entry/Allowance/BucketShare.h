#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/AllowanceMessages.h"
#include "Entry/Allowance/PeakHistory.h"

#include <deque>
#include <map>
#include <vector>

namespace sardinefold::entry {

/// The state in which a new owner takes over a share.
struct InitialShareState
{
  /// Tokens that the previous owner handed over; 0 after its crash.
  base::Tokens m_level;
  /// Whether slices of an earlier epoch may still be in use.
  bool m_hasPredecessor = true;
  /// Slices are numbered from after this, so that a share that was discarded
  /// while idle does not reuse numbers within the same epoch.
  GrantNumber m_lastGrant;
};

/// The owner's side of one share: a token bucket that grants slices.
///
/// The level, the slices not known to be spent and the tokens that an earlier
/// owner may have granted never exceed the share's burst together; a refill or
/// refund that would exceed it is dropped. Hence at most burst plus rate times T
/// tokens reach the upstreams in any window of length T.
class BucketShare
{
public:
  BucketShare(ShareKey aShare, base::Epoch aEpoch, Allowance aAllowance, InitialShareState aInitial,
              base::Instant aNow);

  /// Applies a holder's reports, then grants its token request now or queues it.
  std::vector<TokenGrant> Request(TokenRequest const& aRequest, base::Instant aNow);
  /// Refills the bucket and serves queued token requests.
  std::vector<TokenGrant> Advance(base::Instant aNow);
  /// Applies an operator's change. A smaller burst takes effect on the level at
  /// once and on granted slices as they expire.
  void SetAllowance(Allowance aAllowance, base::Instant aNow);
  /// Stops granting and returns the level for the next owner.
  base::Tokens Close(base::Instant aNow);

  base::Epoch OwnedEpoch() const { return m_epoch; }
  base::Tokens Level() const { return m_level; }
  base::Tokens Outstanding() const { return m_outstanding; }
  bool HasQueue() const { return !m_queue.empty(); }
  /// Whether the share is full, no slice is in use and no holder has state here,
  /// so that a new share for the same epoch would hold no more tokens.
  bool IsIdle() const;

private:
  struct OpenGrant
  {
    base::Tokens m_left;
    base::Tokens m_spent;
    base::Tokens m_returned;
  };
  struct HolderState
  {
    std::map<GrantNumber, OpenGrant> m_grants;
    TokenRequestNumber m_lastRequest;
    RefundNumber m_refundsApplied;
    base::Instant m_lastContact;
  };
  struct Expiry
  {
    base::Instant m_at;
    HolderKey m_holder;
    GrantNumber m_grant;
  };
  struct Queued
  {
    TokenRequest m_request;
    base::Instant m_until;
  };

  void Refill(base::Instant aNow);
  void Expire(base::Instant aNow);
  void ApplyReports(TokenRequest const& aRequest, HolderState& aHolder);
  void ApplyRefunds(RefundBatch const& aBatch, HolderState& aHolder);
  void Respond(TokenRequest const& aRequest, std::vector<TokenGrant>& aGrants, base::Instant aNow);
  bool UpdateQueued(TokenRequest const& aRequest, base::Instant aNow);
  void Enqueue(TokenRequest const& aRequest, base::Tokens aGranted, base::Instant aNow);
  void ExpireInactiveHolders(base::Instant aNow);
  base::Tokens Grantable(TokenRequest const& aRequest) const;
  TokenGrant Grant(TokenRequest const& aRequest, base::Tokens aTokens, base::Instant aNow);
  void ServeQueue(std::vector<TokenGrant>& aGrants, base::Instant aNow);
  base::Duration ExpectedWait() const;
  base::Tokens Potential() const { return m_level + m_outstanding + m_predecessor; }
  base::Duration Age(base::Instant aNow) const { return aNow - m_start; }

  ShareKey m_share;
  base::Epoch m_epoch;
  Allowance m_allowance;
  base::Instant m_start;
  base::Instant m_refillStart;
  base::Tokens m_refilled;
  base::Tokens m_level;
  base::Tokens m_outstanding;
  /// Tokens of earlier epochs' slices that may still be spent.
  base::Tokens m_predecessor;
  base::Instant m_predecessorEnd;
  base::Instant m_nextExpiry;
  GrantNumber m_lastGrant;
  std::map<HolderKey, HolderState> m_holders;
  std::deque<Expiry> m_expiries;
  std::deque<Queued> m_queue;
  base::Tokens m_queued;
  PeakHistory m_history;
  bool m_closed = false;
};

} // namespace sardinefold::entry
