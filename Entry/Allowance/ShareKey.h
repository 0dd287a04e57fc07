#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <compare>

namespace sardinefold::entry {

/// Index of one of the equal parts of a workspace's allowance; counted from 0.
using ShareIndex = base::Ordinal<struct ShareIndexTag>;

/// One share of one workspace's allowance.
struct ShareKey
{
  base::WorkspaceId m_workspace;
  ShareIndex m_share;

  friend bool operator==(ShareKey const&, ShareKey const&) = default;
  friend auto operator<=>(ShareKey const&, ShareKey const&) = default;
};

/// One incarnation of a process that holds slices.
struct HolderKey
{
  base::HostId m_host;
  base::IncarnationId m_incarnation;

  friend bool operator==(HolderKey const&, HolderKey const&) = default;
  friend auto operator<=>(HolderKey const&, HolderKey const&) = default;
};

/// The token bucket parameters of a workspace or of one of its shares.
struct Allowance
{
  base::TokensPerSecond m_rate;
  base::Tokens m_burst;

  /// Returns one of the given number of equal parts, rounded down.
  Allowance Part(std::uint64_t aShares) const
  {
    return { base::TokensPerSecond(m_rate.Value() / static_cast<double>(aShares)),
             base::Tokens(m_burst.Value() / static_cast<std::int64_t>(aShares)) };
  }

  friend bool operator==(Allowance const&, Allowance const&) = default;
};

} // namespace sardinefold::entry
