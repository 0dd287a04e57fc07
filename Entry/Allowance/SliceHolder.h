#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/Reservation.h"
#include "Entry/Allowance/ShareLink.h"

#include <deque>
#include <map>
#include <vector>

namespace sardinefold::entry {

/// Allows the dispatch of a request.
struct ReservationGranted
{
  ReservationId m_id;
  /// The agent must not start the request after this time.
  base::Instant m_startBy;
};

/// Refuses a request that got no tokens in time; nothing of it has been sent.
struct ReservationRefused
{
  ReservationId m_id;
  /// The time after which a new attempt may succeed.
  base::Duration m_retryAfter{};
};

/// Results and token requests that the caller of a SliceHolder has to pass on.
struct HolderActions
{
  std::vector<ReservationGranted> m_granted;
  std::vector<ReservationRefused> m_refused;
  std::vector<TokenRequest> m_requests;

  void Append(HolderActions&& aOther);
};

/// One process's reservations for one workspace, backed by slices of the
/// workspace's shares. Requests wait for tokens, first come first served, until
/// their deadline.
class SliceHolder
{
public:
  /// The holder requests tokens from aLocalShare first and from the other shares
  /// when that one has a shortage.
  SliceHolder(base::WorkspaceId const& aWorkspace, HolderKey const& aHolder, std::uint64_t aShares,
              ShareIndex aLocalShare, Allowance aAllowance, TokenRequestNumber aLastNumber);

  void SetAllowance(Allowance aAllowance) { m_allowance = aAllowance; }

  /// Requests the tokens of a request that is ready for dispatch. It is refused
  /// once its deadline passes.
  HolderActions Reserve(ReservationId aId, base::Tokens aTokens, base::Instant aDeadline,
                        base::Instant aNow);
  /// Reports the tokens that a granted reservation's request used; zero if it did
  /// not run. Also withdraws a reservation that still waits.
  HolderActions Settle(ReservationId aId, base::Tokens aUsed, base::Instant aNow);
  HolderActions Receive(TokenGrant const& aGrant, base::Instant aNow);
  HolderActions Advance(base::Instant aNow);
  /// Gives back all tokens that no request has taken; called before the process
  /// ends.
  HolderActions Drain(base::Instant aNow);

  bool IsIdle() const;
  bool IsWaiting() const { return !m_waiting.empty(); }
  base::Tokens Available() const;

private:
  struct Waiting
  {
    ReservationId m_id;
    base::Tokens m_tokens;
    base::Instant m_deadline;
  };
  struct PendingSpend
  {
    base::Instant m_at;
    ReservationId m_id;
  };

  HolderActions Run(base::Instant aNow);
  void SpendDue(base::Instant aNow);
  void ServeWaiting(HolderActions& aActions, base::Instant aNow);
  void RefuseOverdue(HolderActions& aActions, base::Instant aNow);
  void Dispatch(Waiting const& aWaiting, HolderActions& aActions, base::Instant aNow);
  void ReturnIdle(base::Instant aNow);
  void RequestFromShares(HolderActions& aActions, base::Instant aNow);
  ShareNeed NeedOf(ShareLink const& aLink, base::Tokens aMissing, base::Instant aNow) const;
  /// Whether it is the share's turn to grant tokens when the local share has a
  /// shortage.
  bool IsInTurn(ShareLink const& aLink, base::Instant aNow) const;
  base::Tokens PrefetchTarget(base::Instant aNow) const;
  base::Duration EstimatedWait(base::Instant aNow) const;
  bool IsLocal(ShareLink const& aLink) const { return aLink.Key().m_share == m_localShare; }
  ShareLink& Link(ShareIndex aShare) { return m_links[aShare.Value()]; }
  base::Duration RefillTime(base::Tokens aTokens) const;

  ShareIndex m_localShare;
  Allowance m_allowance;
  std::vector<ShareLink> m_links;
  std::deque<Waiting> m_waiting;
  base::Tokens m_waitingTokens;
  std::map<ReservationId, Reservation> m_reservations;
  std::deque<PendingSpend> m_pendingSpends;
  /// Smoothed rate of dispatched tokens per second.
  double m_demand = 0;
  base::Instant m_demandAt;
  /// Lowest number of available tokens since m_lowWaterMarkStart.
  base::Tokens m_lowWaterMark;
  base::Instant m_lowWaterMarkStart;
};

} // namespace sardinefold::entry
