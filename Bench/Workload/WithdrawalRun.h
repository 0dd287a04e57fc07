#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>

namespace sardinefold::bench {

/// Longest times, in seconds, for which a key was accepted after its withdrawal.
struct WithdrawalResult
{
  /// Maximum over the connected entries.
  double m_connected = 0;
  /// Time at an entry that is isolated from the moment of the withdrawal.
  double m_isolated = 0;
};

/// Simulates in virtual time the withdrawal of a key in a fleet whose relays
/// poll the platform and whose other entries poll a relay, with lost and slow
/// responses.
WithdrawalResult RunWithdrawal(std::size_t aEntries, std::uint64_t aSeed);

} // namespace sardinefold::bench
