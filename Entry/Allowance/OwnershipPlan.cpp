#include "Entry/Allowance/OwnershipPlan.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sardinefold::entry {

namespace {

using namespace std::chrono_literals;

/// A host that was listed counts as gone after this time of absence, within which
/// reads from different replicas of the list agree.
constexpr base::Duration kDelistedGracePeriod = 3s;
/// The same for a host that this process never saw listed; it may be too new for
/// the list.
constexpr base::Duration kNeverListedGracePeriod = 60s;
/// Each further candidate waits this much longer than the one before it.
constexpr base::Duration kRankDelay = 2s;

} // namespace

OwnershipPlan::OwnershipPlan(HolderKey aSelf, AllowanceLayout aLayout)
  : m_self(std::move(aSelf))
  , m_layout(aLayout)
{
}

void OwnershipPlan::SetEntries(std::vector<ListedEntry> aEntries, base::Instant aNow)
{
  m_listedAt = aNow;
  if (aEntries == m_entries) {
    return;
  }
  m_entries = std::move(aEntries);
  m_ranks.clear();
  m_failureDomains.clear();
  std::set<base::HostId> listed;
  for (ListedEntry const& entry : m_entries) {
    listed.insert(entry.m_host);
    m_failureDomains.insert(entry.m_failureDomain);
    ListPresence& presence = m_presences[entry.m_host];
    presence.m_isListed = true;
    presence.m_wasListed = true;
  }
  for (auto& [host, presence] : m_presences) {
    if (presence.m_isListed && !listed.contains(host)) {
      presence.m_isListed = false;
      presence.m_absentSince = aNow;
    }
  }
}

void OwnershipPlan::SetRecord(ShareSlot aSlot, std::optional<StoredBucket> aRecord,
                              base::Instant aNow)
{
  auto const known = m_slots.find(aSlot);
  bool const isOlder = known != m_slots.end() && known->second.m_stored && aRecord &&
                       aRecord->m_version <= known->second.m_stored->m_version;
  bool const isSameAbsence =
    known != m_slots.end() && !known->second.m_stored.has_value() && !aRecord.has_value();
  if (isOlder || isSameAbsence) {
    return;
  }
  if (aRecord && !aRecord->m_record.m_owner.m_host.IsEmpty()) {
    ListPresence& presence = m_presences[aRecord->m_record.m_owner.m_host];
    if (!presence.m_isListed && !presence.m_wasListed) {
      presence.m_absentSince = aNow;
    }
  }
  m_slots[aSlot] = { std::move(aRecord), aNow };
}

bool OwnershipPlan::IsPreviousIncarnation(BucketRecord const& aRecord) const
{
  return aRecord.m_owner.m_host == m_self.m_host &&
         aRecord.m_owner.m_incarnation != m_self.m_incarnation;
}

std::optional<base::Instant> OwnershipPlan::VacantSince(SlotState const& aState,
                                                        base::Instant aNow) const
{
  if (!aState.m_stored || aState.m_stored->m_record.m_owner.m_host.IsEmpty()) {
    return aState.m_since;
  }
  auto const presence = m_presences.find(aState.m_stored->m_record.m_owner.m_host);
  if (presence == m_presences.end() || presence->second.m_isListed) {
    return std::nullopt;
  }
  base::Duration const wait =
    presence->second.m_wasListed ? kDelistedGracePeriod : kNeverListedGracePeriod;
  // The absence must last until the list has been read after the grace period.
  base::Instant const gone = presence->second.m_absentSince + wait;
  if (gone > aNow || m_listedAt < gone) {
    return std::nullopt;
  }
  return gone;
}

std::vector<OwnershipClaim> OwnershipPlan::Claims(base::Instant aNow) const
{
  std::vector<OwnershipClaim> claims;
  bool const isListed = std::ranges::any_of(m_entries, [this](ListedEntry const& aEntry) {
    return aEntry.m_host == m_self.m_host && !aEntry.m_isDraining;
  });
  // NOTE: The other entries would take an owner that is missing from the list for
  // gone.
  if (!isListed) {
    return claims;
  }
  for (auto const& [slot, state] : m_slots) {
    if (state.m_stored && IsPreviousIncarnation(state.m_stored->m_record)) {
      claims.push_back(MakeClaim(slot, state));
      continue;
    }
    std::optional<base::Instant> const vacant = VacantSince(state, aNow);
    if (!vacant) {
      continue;
    }
    auto const rank = static_cast<base::Duration::rep>(RankOfSelf(slot));
    if (*vacant + kRankDelay * rank <= aNow) {
      claims.push_back(MakeClaim(slot, state));
    }
  }
  return claims;
}

OwnershipClaim OwnershipPlan::MakeClaim(ShareSlot aSlot, SlotState const& aState) const
{
  OwnershipClaim claim{ aSlot, std::nullopt, { m_self, base::Epoch(1), m_layout, {} } };
  if (aState.m_stored) {
    claim.m_expected = aState.m_stored->m_version;
    claim.m_record.m_epoch = aState.m_stored->m_record.m_epoch.Next();
  }
  return claim;
}

std::optional<OwnershipClaim> OwnershipPlan::HandOver(
  ShareSlot aSlot, std::map<base::WorkspaceId, base::Tokens> aLevels) const
{
  auto const state = m_slots.find(aSlot);
  if (state == m_slots.end() || !state->second.m_stored ||
      state->second.m_stored->m_record.m_owner != m_self) {
    return std::nullopt;
  }
  StoredBucket const& stored = *state->second.m_stored;
  BucketRecord const record{ {}, stored.m_record.m_epoch.Next(), m_layout, std::move(aLevels) };
  return OwnershipClaim{ aSlot, stored.m_version, record };
}

std::size_t OwnershipPlan::RankOfSelf(ShareSlot aSlot) const
{
  auto const known = m_ranks.find(aSlot);
  if (known != m_ranks.end()) {
    return known->second;
  }
  std::size_t const rank = ComputeRank(aSlot);
  m_ranks.emplace(aSlot, rank);
  return rank;
}

std::size_t OwnershipPlan::ComputeRank(ShareSlot aSlot) const
{
  auto const index = static_cast<std::ptrdiff_t>(aSlot.m_share.Value() % m_failureDomains.size());
  base::FailureDomainId const& preferred = *std::next(m_failureDomains.begin(), index);
  auto const weight = [&](ListedEntry const& aEntry) {
    std::uint64_t const seed = aSlot.m_share.Value() * m_layout.m_slots + aSlot.m_slot.Value();
    return std::pair(aEntry.m_failureDomain == preferred,
                     base::FastHash(aEntry.m_host.Text(), seed));
  };
  auto const self = std::ranges::find(m_entries, m_self.m_host, &ListedEntry::m_host);
  auto const ownWeight = weight(*self);
  return static_cast<std::size_t>(std::ranges::count_if(m_entries, [&](ListedEntry const& aEntry) {
    return !aEntry.m_isDraining && weight(aEntry) > ownWeight;
  }));
}

} // namespace sardinefold::entry
