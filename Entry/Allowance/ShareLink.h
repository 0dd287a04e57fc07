#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/AllowanceLimits.h"
#include "Entry/Allowance/AllowanceMessages.h"
#include "Entry/Allowance/Reservation.h"

#include <deque>
#include <optional>
#include <vector>

namespace sardinefold::entry {

/// What a holder needs from one share at the moment.
struct ShareNeed
{
  base::Tokens m_minimum;
  base::Tokens m_wanted;
  base::Tokens m_prefetch;
};

/// The holder's side of one share: the slices that it holds, and what it has
/// to tell the owner.
class ShareLink
{
public:
  /// Asks and refunds are numbered from after aLastNumber. A link that is made
  /// afresh in the same process needs a higher one than any before.
  ShareLink(ShareKey aShare, HolderKey aHolder, TokenRequestNumber aLastNumber);

  /// Accepts a slice or an acknowledgement; ignores what is late, repeated or
  /// from an owner that has been succeeded.
  void Receive(TokenGrant const& aGrant, base::Instant aNow);
  /// Drops what has ended.
  void Advance(base::Instant aNow);

  base::Tokens Available() const { return m_available; }
  /// Takes up to the given number of tokens, those that end first before others.
  base::Tokens Take(base::Tokens aTokens, std::vector<ReservationPart>& aParts);
  /// The tokens of a part have been spent.
  void Spend(ReservationPart const& aPart);
  /// Tokens of a part are known to be unused before they were spent.
  void Restore(ReservationPart const& aPart, base::Tokens aTokens);
  /// Tokens of a part are known to be unused after they were spent.
  void Refund(ReservationPart const& aPart, base::Tokens aTokens, base::Instant aSpentAt);
  /// Marks tokens to go back with the next ask; they are gone at once.
  void ReturnTokens(base::Tokens aTokens);
  /// Marks the tokens of slices that are about to end.
  void ReturnExpiringTokens(base::Instant aNow);

  /// Whether an ask for this need should go out now.
  bool ShouldSendRequest(ShareNeed const& aNeed, base::Instant aNow) const;
  TokenRequest MakeRequest(ShareNeed const& aNeed, base::Instant aNow);

  /// Whether the owner has answered lately that tokens have to be waited for.
  bool HasShortage(base::Instant aNow) const;
  /// Whether the last ask went unanswered.
  bool IsOwnerUnresponsive(base::Instant aNow) const;
  /// The owner's estimate of the wait, zero when there is no recent one.
  base::Duration ExpectedWait(base::Instant aNow) const;
  /// Whether nothing is held and nothing has to be told.
  bool IsIdle() const;
  ShareKey const& Key() const { return m_share; }

private:
  struct Slice
  {
    GrantNumber m_number;
    base::Tokens m_available;
    base::Tokens m_pending;
    base::Tokens m_spent;
    base::Tokens m_returned;
    base::Tokens m_reported;
    TokenRequestNumber m_reportedIn;
    base::Instant m_end;
  };
  struct SentRequest
  {
    TokenRequestNumber m_number;
    base::Instant m_at;
  };

  Slice* Find(base::Epoch aEpoch, GrantNumber aNumber);
  void UpdateOwnerState(TokenGrant const& aGrant, base::Instant aNow);
  bool HasUnreportedChanges() const;
  base::Duration OwnerTimeNotAfter(base::Instant aTime) const;
  std::vector<GrantReport> MakeReports();
  void FillRefunds(TokenRequest& aRequest);

  ShareKey m_share;
  HolderKey m_holder;
  base::Epoch m_epoch;
  std::deque<Slice> m_slices;
  /// Slices of the previous owner: usable, but nobody wants to hear of them.
  std::deque<Slice> m_orphans;
  base::Epoch m_orphanEpoch;
  base::Tokens m_available;
  std::deque<SentRequest> m_sentRequests;
  TokenRequestNumber m_lastRequest;
  TokenRequestNumber m_lastAcknowledged;
  ShareNeed m_requested;
  base::Duration m_ownerTime{};
  base::Instant m_ownerTimeReceivedAt;
  base::Duration m_expectedWait{};
  bool m_isQueued = false;
  std::vector<RefundEntry> m_refunds;
  RefundBatch m_sentRefunds;
};

} // namespace sardinefold::entry
