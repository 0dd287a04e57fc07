#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>

namespace sardinefold::bench {

/// How long a withdrawn key went on working after its withdrawal had been
/// accepted, in seconds.
struct WithdrawalResult
{
  /// At the worst of the entries that hear of each other.
  double m_connected = 0;
  /// At an entry that hears nobody from the moment of acceptance.
  double m_isolated = 0;
};

/// Withdraws a key in a fleet whose relays read the platform and whose other
/// entries ask a relay, with lost and slow answers, all in virtual time.
WithdrawalResult RunWithdrawal(std::size_t aEntries, std::uint64_t aSeed);

} // namespace sardinefold::bench
