#pragma once

#include "Base/Digest.h"
#include "Entry/Allowance/ShareKey.h"

#include <compare>
#include <cstdint>

namespace sardinefold::entry {

/// A set of workspaces whose shares have the same owner; counted from 0.
using SlotIndex = base::Ordinal<struct SlotIndexTag>;

/// The unit of ownership: one share of every workspace of one slot.
struct ShareSlot
{
  ShareIndex m_share;
  SlotIndex m_slot;

  friend bool operator==(ShareSlot const&, ShareSlot const&) = default;
  friend auto operator<=>(ShareSlot const&, ShareSlot const&) = default;
};

/// How allowances are divided; identical in the whole fleet.
struct AllowanceLayout
{
  /// Equal parts of each workspace's allowance. With at least one per region, a
  /// region that is partitioned from the rest keeps a part.
  std::uint64_t m_shares = 4;
  /// Number of sets of workspaces; bounds the number of ownership objects.
  std::uint64_t m_slots = 16;

  ShareSlot SlotOf(ShareKey const& aShare) const
  {
    return { aShare.m_share, SlotIndex(base::FastHash(aShare.m_workspace.Text()) % m_slots) };
  }

  friend bool operator==(AllowanceLayout const&, AllowanceLayout const&) = default;
};

} // namespace sardinefold::entry
