#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/AllowanceLimits.h"
#include "Entry/Allowance/AllowanceMessages.h"
#include "Entry/Allowance/Reservation.h"

#include <deque>
#include <optional>
#include <vector>

namespace sardinefold::entry {

/// The tokens that a holder currently needs from one share.
struct ShareNeed
{
  base::Tokens m_minimum;
  base::Tokens m_wanted;
  base::Tokens m_prefetch;
};

/// The holder's side of one share: the slices that it holds and the reports that
/// the owner has not acknowledged.
class ShareLink
{
public:
  /// Token requests and refunds are numbered from after aLastNumber. A new link
  /// in the same process needs a higher value than any number used before.
  ShareLink(ShareKey aShare, HolderKey aHolder, TokenRequestNumber aLastNumber);

  /// Accepts a slice or an acknowledgement; ignores one that is late, repeated or
  /// from a former owner.
  void Receive(TokenGrant const& aGrant, base::Instant aNow);
  /// Drops expired slices and sent requests.
  void Advance(base::Instant aNow);

  base::Tokens Available() const { return m_available; }
  /// Takes up to the given number of tokens, from the slices that expire first.
  base::Tokens Take(base::Tokens aTokens, std::vector<ReservationPart>& aParts);
  /// Counts the tokens of a part as spent.
  void Spend(ReservationPart const& aPart);
  /// Restores tokens of a part that turned out unused before they counted as
  /// spent.
  void Restore(ReservationPart const& aPart, base::Tokens aTokens);
  /// Refunds tokens of a part that turned out unused after they counted as spent.
  void Refund(ReservationPart const& aPart, base::Tokens aTokens, base::Instant aSpentAt);
  /// Makes tokens unavailable at once and reports them as returned with the next
  /// request.
  void ReturnTokens(base::Tokens aTokens);
  /// Gives back the available tokens of slices that are about to expire.
  void ReturnExpiringTokens(base::Instant aNow);

  /// Whether a token request for this need should be sent now.
  bool ShouldSendRequest(ShareNeed const& aNeed, base::Instant aNow) const;
  TokenRequest MakeRequest(ShareNeed const& aNeed, base::Instant aNow);

  /// Whether the owner has lately responded that tokens are not available yet.
  bool HasShortage(base::Instant aNow) const;
  /// Whether the last token request got no response in time.
  bool IsOwnerUnresponsive(base::Instant aNow) const;
  /// Returns the owner's estimate of the wait, zero if there is no recent one.
  base::Duration ExpectedWait(base::Instant aNow) const;
  /// Whether nothing is held and nothing has to be reported.
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
  /// Slices of the previous owner: usable, but their use is no longer reported.
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
