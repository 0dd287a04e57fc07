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
  base::Tokens m_first;
  base::Tokens m_want;
  base::Tokens m_prefetch;
};

/// The holder's side of one share: the slices that it holds, and what it has
/// to tell the owner.
class ShareLink
{
public:
  /// Asks and refunds are numbered from after aLastNumber. A link that is made
  /// afresh in the same process needs a higher one than any before.
  ShareLink(ShareKey aShare, HolderKey aHolder, AskNumber aLastNumber);

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
  void GiveBack(base::Tokens aTokens);
  /// Marks the tokens of slices that are about to end.
  void GiveBackEnding(base::Instant aNow);

  /// Whether an ask for this need should go out now.
  bool ShouldAsk(ShareNeed const& aNeed, base::Instant aNow) const;
  TokenAsk MakeAsk(ShareNeed const& aNeed, base::Instant aNow);

  /// Whether the owner has answered lately that tokens have to be waited for.
  bool IsShort(base::Instant aNow) const;
  /// Whether the last ask went unanswered.
  bool IsSilent(base::Instant aNow) const;
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
    base::Tokens m_told;
    AskNumber m_toldIn;
    base::Instant m_end;
  };
  struct SentAsk
  {
    AskNumber m_number;
    base::Instant m_at;
  };

  Slice* Find(base::Epoch aEpoch, GrantNumber aNumber);
  void Follow(TokenGrant const& aGrant, base::Instant aNow);
  bool HasNews() const;
  base::Duration OwnerTimeNotAfter(base::Instant aTime) const;
  std::vector<GrantReport> MakeReports();
  void FillRefunds(TokenAsk& aAsk);

  ShareKey m_share;
  HolderKey m_holder;
  base::Epoch m_epoch;
  std::deque<Slice> m_slices;
  /// Slices of the previous owner: usable, but nobody wants to hear of them.
  std::deque<Slice> m_orphans;
  base::Epoch m_orphanEpoch;
  base::Tokens m_available;
  std::deque<SentAsk> m_asks;
  AskNumber m_lastAsk;
  AskNumber m_lastAnswered;
  ShareNeed m_asked;
  base::Duration m_ownerTime{};
  base::Instant m_ownerHeard;
  base::Duration m_expectedWait{};
  bool m_isQueued = false;
  std::vector<RefundEntry> m_refunds;
  RefundBatch m_sentRefunds;
};

} // namespace sardinefold::entry
