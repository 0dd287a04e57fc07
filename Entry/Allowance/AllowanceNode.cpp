#include "Entry/Allowance/AllowanceNode.h"

#include "Entry/Allowance/AllowanceLimits.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sardinefold::entry {

namespace {

/// Interval of Advance while a request waits for tokens.
constexpr base::Duration kWaitingInterval = 10ms;
/// Interval of Advance while slices are held or shares are in use.
constexpr base::Duration kActiveInterval = 50ms;
/// Interval of Advance otherwise; well below kStallLimit, so that idleness does
/// not count as a stall.
constexpr base::Duration kIdleInterval = 200ms;

} // namespace

AllowanceNode::AllowanceNode(HolderKey aSelf, AllowanceLayout aLayout, ShareIndex aLocalShare,
                             base::Instant aNow)
  : m_self(std::move(aSelf))
  , m_layout(aLayout)
  , m_localShare(aLocalShare)
  , m_start(aNow)
  , m_lastTime(aNow)
  , m_stallEnd(aNow)
{
}

void AllowanceNode::CheckForStall(base::Instant aNow)
{
  if (aNow - m_lastTime > kStallLimit) {
    m_stallEnd = aNow;
    for (auto& [slot, ownership] : m_owned) {
      ownership.m_isConfirmed = false;
    }
  }
  m_lastTime = std::max(m_lastTime, aNow);
}

void AllowanceNode::SetWorkspace(base::WorkspaceId const& aWorkspace, Allowance aAllowance,
                                 base::Instant aNow)
{
  CheckForStall(aNow);
  m_allowances[aWorkspace] = aAllowance;
  auto const holder = m_holders.find(aWorkspace);
  if (holder != m_holders.end()) {
    holder->second.SetAllowance(aAllowance);
  }
  for (auto& [key, share] : m_shares) {
    if (key.m_workspace == aWorkspace) {
      share.SetAllowance(aAllowance.Part(m_layout.m_shares), aNow);
    }
  }
}

void AllowanceNode::RemoveWorkspace(base::WorkspaceId const& aWorkspace)
{
  // NOTE: The shares are kept, so that a workspace which is removed and added
  // again does not get a fresh burst.
  m_allowances.erase(aWorkspace);
}

void AllowanceNode::TakeOwnership(OwnedSlot aSlot, base::Instant aWriteBegan, base::Instant aNow)
{
  CheckForStall(aNow);
  ShareSlot const slot = aSlot.m_slot;
  SetOwner(slot, m_self.m_host, aSlot.m_epoch);
  auto const owner = m_owners.find(slot);
  if (owner->second.m_epoch > aSlot.m_epoch) {
    return;
  }
  m_owned[slot] = { std::move(aSlot), aNow, aWriteBegan >= m_stallEnd };
}

void AllowanceNode::ConfirmOwnership(ShareSlot aSlot, base::Epoch aEpoch, base::Instant aReadBegan,
                                     base::Instant aNow)
{
  CheckForStall(aNow);
  auto const owned = m_owned.find(aSlot);
  bool const isCurrent = owned != m_owned.end() && owned->second.m_slot.m_epoch == aEpoch;
  if (isCurrent && aReadBegan >= m_stallEnd) {
    owned->second.m_isConfirmed = true;
  }
}

void AllowanceNode::SetOwner(ShareSlot aSlot, base::HostId const& aOwner, base::Epoch aEpoch)
{
  Owner& owner = m_owners[aSlot];
  if (aEpoch < owner.m_epoch) {
    return;
  }
  owner = { aOwner, aEpoch };
  auto const owned = m_owned.find(aSlot);
  if (owned == m_owned.end() || owned->second.m_slot.m_epoch >= aEpoch) {
    return;
  }
  m_owned.erase(owned);
  std::erase_if(m_shares, [&](auto const& aItem) { return m_layout.SlotOf(aItem.first) == aSlot; });
}

std::map<base::WorkspaceId, base::Tokens> AllowanceNode::Release(ShareSlot aSlot,
                                                                 base::Instant aNow)
{
  std::map<base::WorkspaceId, base::Tokens> levels;
  auto const owned = m_owned.find(aSlot);
  if (owned == m_owned.end() || !owned->second.m_isConfirmed) {
    return levels;
  }
  for (auto& [key, share] : m_shares) {
    if (m_layout.SlotOf(key) == aSlot) {
      levels[key.m_workspace] = share.Close(aNow);
    }
  }
  std::erase_if(m_shares, [&](auto const& aItem) { return m_layout.SlotOf(aItem.first) == aSlot; });
  m_owned.erase(owned);
  return levels;
}

std::vector<ShareSlot> AllowanceNode::UnconfirmedSlots() const
{
  std::vector<ShareSlot> slots;
  for (auto const& [slot, ownership] : m_owned) {
    if (!ownership.m_isConfirmed) {
      slots.push_back(slot);
    }
  }
  return slots;
}

ReservationId AllowanceNode::Reserve(base::WorkspaceId const& aWorkspace, base::Tokens aTokens,
                                     base::Instant aDeadline, base::Instant aNow,
                                     AllowanceActions& aActions)
{
  CheckForStall(aNow);
  m_lastReservation = m_lastReservation.Next();
  ReservationId const id = m_lastReservation;
  auto const allowance = m_allowances.find(aWorkspace);
  if (allowance == m_allowances.end()) {
    aActions.m_refused.push_back({ id, kRefundWindow });
    return id;
  }
  m_reservations.emplace(id, aWorkspace);
  SliceHolder& holder = Holder(aWorkspace, allowance->second, aNow);
  Collect(holder.Reserve(id, aTokens, aDeadline, aNow), aActions, aNow);
  return id;
}

AllowanceActions AllowanceNode::Settle(ReservationId aId, base::Tokens aUsed, base::Instant aNow)
{
  CheckForStall(aNow);
  AllowanceActions actions;
  auto const reservation = m_reservations.find(aId);
  if (reservation == m_reservations.end()) {
    return actions;
  }
  auto const holder = m_holders.find(reservation->second);
  m_reservations.erase(reservation);
  if (holder != m_holders.end()) {
    Collect(holder->second.Settle(aId, aUsed, aNow), actions, aNow);
  }
  return actions;
}

AllowanceActions AllowanceNode::Receive(TokenRequest const& aRequest, base::Instant aNow)
{
  CheckForStall(aNow);
  AllowanceActions actions;
  if (BucketShare* share = Share(aRequest.m_share, aNow)) {
    Collect(share->Request(aRequest, aNow), actions, aNow);
  }
  return actions;
}

AllowanceActions AllowanceNode::Receive(TokenGrant const& aGrant, base::Instant aNow)
{
  CheckForStall(aNow);
  AllowanceActions actions;
  Deliver(aGrant, actions, aNow);
  return actions;
}

AllowanceActions AllowanceNode::Advance(base::Instant aNow)
{
  CheckForStall(aNow);
  AllowanceActions actions;
  for (auto& [key, share] : m_shares) {
    auto const owned = m_owned.find(m_layout.SlotOf(key));
    if (owned != m_owned.end() && owned->second.m_isConfirmed) {
      Collect(share.Advance(aNow), actions, aNow);
    }
  }
  for (auto& [workspace, holder] : m_holders) {
    Collect(holder.Advance(aNow), actions, aNow);
  }
  std::erase_if(m_shares, [](auto const& aItem) { return aItem.second.IsIdle(); });
  std::erase_if(m_holders, [](auto const& aItem) { return aItem.second.IsIdle(); });
  return actions;
}

AllowanceActions AllowanceNode::Drain(base::Instant aNow)
{
  AllowanceActions actions;
  for (auto& [workspace, holder] : m_holders) {
    Collect(holder.Drain(aNow), actions, aNow);
  }
  return actions;
}

base::Duration AllowanceNode::AdvanceInterval() const
{
  bool const isWaiting =
    std::ranges::any_of(m_holders, [](auto const& aItem) { return aItem.second.IsWaiting(); }) ||
    std::ranges::any_of(m_shares, [](auto const& aItem) { return aItem.second.HasQueue(); });
  if (isWaiting) {
    return kWaitingInterval;
  }
  return m_holders.empty() && m_shares.empty() ? kIdleInterval : kActiveInterval;
}

BucketShare const* AllowanceNode::FindShare(ShareKey const& aShare) const
{
  auto const share = m_shares.find(aShare);
  return share == m_shares.end() ? nullptr : &share->second;
}

SliceHolder& AllowanceNode::Holder(base::WorkspaceId const& aWorkspace, Allowance aAllowance,
                                   base::Instant aNow)
{
  auto const found = m_holders.find(aWorkspace);
  if (found != m_holders.end()) {
    return found->second;
  }
  // Elapsed nanoseconds increase faster than the numbers of a link, so that
  // numbers are not reused.
  TokenRequestNumber const lastNumber(static_cast<std::uint64_t>((aNow - m_start).count()));
  SliceHolder holder(aWorkspace, m_self, m_layout.m_shares, m_localShare, aAllowance, lastNumber);
  return m_holders.emplace(aWorkspace, std::move(holder)).first->second;
}

BucketShare* AllowanceNode::Share(ShareKey const& aShare, base::Instant aNow)
{
  auto const owned = m_owned.find(m_layout.SlotOf(aShare));
  auto const allowance = m_allowances.find(aShare.m_workspace);
  if (owned == m_owned.end() || !owned->second.m_isConfirmed || allowance == m_allowances.end()) {
    return nullptr;
  }
  auto const found = m_shares.find(aShare);
  if (found != m_shares.end()) {
    return &found->second;
  }
  Ownership const& ownership = owned->second;
  InitialShareState start;
  start.m_hasPredecessor = ownership.m_slot.m_hasPredecessor;
  start.m_lastGrant = GrantNumber(static_cast<std::uint64_t>((aNow - ownership.m_since).count()));
  auto const level = ownership.m_slot.m_levels.find(aShare.m_workspace);
  if (level != ownership.m_slot.m_levels.end()) {
    start.m_level = level->second;
  }
  BucketShare share(aShare, ownership.m_slot.m_epoch, allowance->second.Part(m_layout.m_shares),
                    start, ownership.m_since);
  return &m_shares.emplace(aShare, std::move(share)).first->second;
}

void AllowanceNode::Collect(HolderActions&& aFrom, AllowanceActions& aActions, base::Instant aNow)
{
  for (ReservationRefused const& refused : aFrom.m_refused) {
    m_reservations.erase(refused.m_id);
  }
  std::ranges::copy(aFrom.m_granted, std::back_inserter(aActions.m_granted));
  std::ranges::copy(aFrom.m_refused, std::back_inserter(aActions.m_refused));
  for (TokenRequest& request : aFrom.m_requests) {
    Send(std::move(request), aActions, aNow);
  }
}

void AllowanceNode::Collect(std::vector<TokenGrant>&& aGrants, AllowanceActions& aActions,
                            base::Instant aNow)
{
  for (TokenGrant& grant : aGrants) {
    if (grant.m_holder == m_self) {
      Deliver(grant, aActions, aNow);
      continue;
    }
    base::HostId const to = grant.m_holder.m_host;
    aActions.m_messages.push_back({ to, std::move(grant) });
  }
}

void AllowanceNode::Send(TokenRequest&& aRequest, AllowanceActions& aActions, base::Instant aNow)
{
  auto const owner = m_owners.find(m_layout.SlotOf(aRequest.m_share));
  if (owner == m_owners.end()) {
    return;
  }
  if (owner->second.m_host != m_self.m_host) {
    aActions.m_messages.push_back({ owner->second.m_host, std::move(aRequest) });
    return;
  }
  if (BucketShare* share = Share(aRequest.m_share, aNow)) {
    Collect(share->Request(aRequest, aNow), aActions, aNow);
  }
}

void AllowanceNode::Deliver(TokenGrant const& aGrant, AllowanceActions& aActions,
                            base::Instant aNow)
{
  auto const holder = m_holders.find(aGrant.m_share.m_workspace);
  if (holder != m_holders.end()) {
    Collect(holder->second.Receive(aGrant, aNow), aActions, aNow);
  }
}

} // namespace sardinefold::entry
