#pragma once

#include "Base/Time.h"
#include "Base/Units.h"
#include "Entry/Allowance/AllowanceLayout.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinefold::entry {

/// The object stored in the platform for one slot.
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

/// An entry host of the platform's list, live or draining.
struct ListedEntry
{
  base::HostId m_host;
  base::FailureDomainId m_failureDomain;
  bool m_isDraining = false;

  friend bool operator==(ListedEntry const&, ListedEntry const&) = default;
};

/// A conditional update of a slot's object that should be attempted.
struct OwnershipClaim
{
  ShareSlot m_slot;
  /// The version to replace; none if the object must not exist yet.
  std::optional<base::ObjectVersion> m_expected;
  BucketRecord m_record;
};

/// Decides when this process takes over a slot. Ownership ends only on proof: the
/// owner handed the slot over, its host is gone from the platform's list, or this
/// process is a later incarnation on the owner's host. An unresponsive owner
/// keeps its slots.
class OwnershipPlan
{
public:
  OwnershipPlan(HolderKey aSelf, AllowanceLayout aLayout);

  /// Replaces the list of entries by a newly read one.
  void SetEntries(std::vector<ListedEntry> aEntries, base::Instant aNow);
  /// Records a slot's object as read from the platform; none if it does not
  /// exist.
  void SetRecord(ShareSlot aSlot, std::optional<StoredBucket> aRecord, base::Instant aNow);

  /// Returns the claims to attempt now. A claim that fails must be followed by
  /// SetRecord.
  std::vector<OwnershipClaim> Claims(base::Instant aNow) const;
  /// Returns the update that hands a slot over with these levels.
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
  /// Ranks for the current list, computed on first use.
  std::map<ShareSlot, std::size_t> mutable m_ranks;
  std::map<base::HostId, ListPresence> m_presences;
  std::map<ShareSlot, SlotState> m_slots;
  base::Instant m_listedAt;
};

} // namespace sardinefold::entry
