#pragma once

#include "Base/Time.h"
#include "Base/Units.h"
#include "Entry/Allowance/AllowanceLayout.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinefold::entry {

/// The durable object of one slot.
struct BucketRecord
{
  /// The owner; empty after a hand-over.
  HolderKey m_owner;
  base::Epoch m_epoch;
  AllowanceLayout m_layout;
  /// Tokens of each workspace that the previous owner handed over.
  std::map<base::WorkspaceId, base::Tokens> m_levels;
};

/// A record with the version that a conditional update has to name.
struct StoredBucket
{
  BucketRecord m_record;
  base::ObjectVersion m_version;
};

/// An entry host of the platform's list, live or leaving.
struct ListedEntry
{
  base::HostId m_host;
  base::FailureDomainId m_failureDomain;
  bool m_isDraining = false;

  friend bool operator==(ListedEntry const&, ListedEntry const&) = default;
};

/// A conditional update that should be tried.
struct OwnershipClaim
{
  ShareSlot m_slot;
  /// The version to replace; none if the object must not exist yet.
  std::optional<base::ObjectVersion> m_expected;
  BucketRecord m_record;
};

/// Decides when this process takes over a slot. Ownership ends only by proof:
/// the owner handed the slot over, its host is gone from the platform's list,
/// or this process is a later incarnation on the owner's host. Silence proves
/// nothing.
class OwnershipPlan
{
public:
  OwnershipPlan(HolderKey aSelf, AllowanceLayout aLayout);

  /// Takes a fresh reading of the platform's list.
  void SetEntries(std::vector<ListedEntry> aEntries, base::Instant aNow);
  /// Takes a slot's object as read from the platform; none if it does not exist.
  void SetRecord(ShareSlot aSlot, std::optional<StoredBucket> aRecord, base::Instant aNow);

  /// The claims to try now. A claim that fails must be followed by SetRecord.
  std::vector<OwnershipClaim> Claims(base::Instant aNow) const;
  /// The record that hands a slot over, with these levels.
  std::optional<OwnershipClaim> HandOver(ShareSlot aSlot,
                                         std::map<base::WorkspaceId, base::Tokens> aLevels) const;

private:
  struct SlotState
  {
    std::optional<StoredBucket> m_stored;
    base::Instant m_since;
  };
  struct ListPresence
  {
    bool m_isListed = false;
    bool m_wasListed = false;
    base::Instant m_absentSince;
  };

  std::optional<base::Instant> VacantSince(SlotState const& aState, base::Instant aNow) const;
  bool IsPreviousIncarnation(BucketRecord const& aRecord) const;
  std::size_t RankOfSelf(ShareSlot aSlot) const;
  std::size_t ComputeRank(ShareSlot aSlot) const;
  OwnershipClaim MakeClaim(ShareSlot aSlot, SlotState const& aState) const;

  HolderKey m_self;
  AllowanceLayout m_layout;
  std::vector<ListedEntry> m_entries;
  std::set<base::FailureDomainId> m_failureDomains;
  /// Ranks by the present list, computed at their first use.
  std::map<ShareSlot, std::size_t> mutable m_ranks;
  std::map<base::HostId, ListPresence> m_presences;
  std::map<ShareSlot, SlotState> m_slots;
  base::Instant m_listedAt;
};

} // namespace sardinefold::entry
