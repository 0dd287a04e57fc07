#pragma once

#include "Entry/Allowance/AllowanceLayout.h"
#include "Entry/Allowance/BucketShare.h"
#include "Entry/Allowance/SliceHolder.h"

#include <map>
#include <variant>
#include <vector>

namespace sardinefold::entry {

/// A message for another process of the fleet.
struct AllowanceMessage
{
  base::HostId m_to;
  std::variant<TokenRequest, TokenGrant> m_content;
};

/// Messages and results that the caller of an AllowanceNode has to pass on.
struct AllowanceActions
{
  std::vector<ReservationGranted> m_granted;
  std::vector<ReservationRefused> m_refused;
  std::vector<AllowanceMessage> m_messages;
};

/// A slot that this process owns according to the platform's object.
struct OwnedSlot
{
  ShareSlot m_slot;
  base::Epoch m_epoch;
  /// Whether slices of an earlier epoch may still be in use.
  bool m_hasPredecessor = true;
  /// Levels that the previous owner handed over.
  std::map<base::WorkspaceId, base::Tokens> m_levels;
};

/// The allowances of all workspaces in one process: it holds slices for the
/// requests that the process dispatches and owns some of the shares.
///
/// Advance has to be called at least every kStallLimit. After a longer gap
/// another process may have taken over ownership unnoticed, so nothing is granted
/// until ownership is confirmed.
class AllowanceNode
{
public:
  AllowanceNode(HolderKey aSelf, AllowanceLayout aLayout, ShareIndex aLocalShare,
                base::Instant aNow);

  /// Sets or changes a workspace's allowance.
  void SetWorkspace(base::WorkspaceId const& aWorkspace, Allowance aAllowance, base::Instant aNow);
  void RemoveWorkspace(base::WorkspaceId const& aWorkspace);

  /// Records that this process has written itself into the slot's object, with a
  /// write that began at the given time.
  void TakeOwnership(OwnedSlot aSlot, base::Instant aWriteBegan, base::Instant aNow);
  /// Records that the slot's object was re-read and still names this process. A
  /// read that began before a stall confirms nothing.
  void ConfirmOwnership(ShareSlot aSlot, base::Epoch aEpoch, base::Instant aReadBegan,
                        base::Instant aNow);
  /// Records another process as the slot's owner and drops this process's
  /// ownership of an earlier epoch.
  void SetOwner(ShareSlot aSlot, base::HostId const& aOwner, base::Epoch aEpoch);
  /// Stops granting for a slot and returns the levels to hand over.
  std::map<base::WorkspaceId, base::Tokens> Release(ShareSlot aSlot, base::Instant aNow);
  /// Returns the owned slots whose object has to be re-read before they grant.
  std::vector<ShareSlot> UnconfirmedSlots() const;

  /// Requests the tokens of a request that is ready for dispatch.
  ReservationId Reserve(base::WorkspaceId const& aWorkspace, base::Tokens aTokens,
                        base::Instant aDeadline, base::Instant aNow, AllowanceActions& aActions);
  /// Reports the tokens that a reservation's request used; zero if it did not
  /// run.
  AllowanceActions Settle(ReservationId aId, base::Tokens aUsed, base::Instant aNow);
  AllowanceActions Receive(TokenRequest const& aRequest, base::Instant aNow);
  AllowanceActions Receive(TokenGrant const& aGrant, base::Instant aNow);
  AllowanceActions Advance(base::Instant aNow);
  /// Gives back the tokens that no request has taken; called before the process
  /// ends.
  AllowanceActions Drain(base::Instant aNow);

  /// Returns the share if this process owns it and has it in use.
  BucketShare const* FindShare(ShareKey const& aShare) const;
  /// Returns how long the next Advance can wait unless another event comes first.
  base::Duration AdvanceInterval() const;

private:
  struct Ownership
  {
    OwnedSlot m_slot;
    base::Instant m_since;
    bool m_isConfirmed = true;
  };
  struct Owner
  {
    base::HostId m_host;
    base::Epoch m_epoch;
  };

  void CheckForStall(base::Instant aNow);
  SliceHolder& Holder(base::WorkspaceId const& aWorkspace, Allowance aAllowance,
                      base::Instant aNow);
  BucketShare* Share(ShareKey const& aShare, base::Instant aNow);
  void Collect(HolderActions&& aFrom, AllowanceActions& aActions, base::Instant aNow);
  void Collect(std::vector<TokenGrant>&& aGrants, AllowanceActions& aActions, base::Instant aNow);
  void Send(TokenRequest&& aRequest, AllowanceActions& aActions, base::Instant aNow);
  void Deliver(TokenGrant const& aGrant, AllowanceActions& aActions, base::Instant aNow);

  HolderKey m_self;
  AllowanceLayout m_layout;
  ShareIndex m_localShare;
  base::Instant m_start;
  base::Instant m_lastTime;
  base::Instant m_stallEnd;
  std::map<base::WorkspaceId, Allowance> m_allowances;
  std::map<base::WorkspaceId, SliceHolder> m_holders;
  std::map<ShareSlot, Ownership> m_owned;
  std::map<ShareSlot, Owner> m_owners;
  std::map<ShareKey, BucketShare> m_shares;
  std::map<ReservationId, base::WorkspaceId> m_reservations;
  ReservationId m_lastReservation;
};

} // namespace sardinefold::entry
