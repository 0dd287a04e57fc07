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

/// What a node wants done.
struct AllowanceActions
{
  std::vector<ReservationGranted> m_granted;
  std::vector<ReservationRefused> m_refused;
  std::vector<AllowanceMessage> m_messages;
};

/// A slot that this process owns, as the platform's object says.
struct OwnedSlot
{
  ShareSlot m_slot;
  base::Epoch m_epoch;
  /// Whether slices of an earlier epoch may still be out.
  bool m_hasPredecessor = true;
  /// Levels that the previous owner handed over.
  std::map<base::WorkspaceId, base::Tokens> m_levels;
};

/// One process's part in the allowances of all workspaces: it holds slices for
/// the requests that it dispatches and owns some of the shares.
///
/// Advance has to be called at least every kStallLimit. When it was not, the
/// process may have been succeeded as an owner without seeing it, and grants
/// nothing until ownership is confirmed.
class AllowanceNode
{
public:
  AllowanceNode(HolderKey aSelf, AllowanceLayout aLayout, ShareIndex aLocalShare,
                base::Instant aNow);

  /// Sets or changes a workspace's allowance.
  void SetWorkspace(base::WorkspaceId const& aWorkspace, Allowance aAllowance, base::Instant aNow);
  void RemoveWorkspace(base::WorkspaceId const& aWorkspace);

  /// This process has written itself into the slot's object, with a write that
  /// began at the given time.
  void TakeOwnership(OwnedSlot aSlot, base::Instant aWriteBegan, base::Instant aNow);
  /// The slot's object has been re-read and still names this process. A read
  /// that began before a stall confirms nothing.
  void ConfirmOwnership(ShareSlot aSlot, base::Epoch aEpoch, base::Instant aReadBegan,
                        base::Instant aNow);
  /// Another process owns the slot; slots of this process end here.
  void SetOwner(ShareSlot aSlot, base::HostId const& aOwner, base::Epoch aEpoch);
  /// Ends granting for a slot and returns the levels to hand over.
  std::map<base::WorkspaceId, base::Tokens> Release(ShareSlot aSlot, base::Instant aNow);
  /// Owned slots whose object has to be re-read before they grant.
  std::vector<ShareSlot> UnconfirmedSlots() const;

  /// Asks for the tokens of a request that is ready for dispatch.
  ReservationId Reserve(base::WorkspaceId const& aWorkspace, base::Tokens aTokens,
                        base::Instant aDeadline, base::Instant aNow, AllowanceActions& aActions);
  /// The use of a reservation is known; zero if the request did not run.
  AllowanceActions Settle(ReservationId aId, base::Tokens aUsed, base::Instant aNow);
  AllowanceActions Receive(TokenRequest const& aRequest, base::Instant aNow);
  AllowanceActions Receive(TokenGrant const& aGrant, base::Instant aNow);
  AllowanceActions Advance(base::Instant aNow);
  /// Gives back what no request has taken, for a process that ends.
  AllowanceActions Drain(base::Instant aNow);

  /// The share with the given workspace, if this process owns and uses it.
  BucketShare const* FindShare(ShareKey const& aShare) const;
  /// How long the next Advance can wait unless something else happens first.
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
