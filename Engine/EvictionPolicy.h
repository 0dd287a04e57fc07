#pragma once

#include "Base/Time.h"
#include "Engine/ReplicaKey.h"

#include <vector>

namespace sardinefold::engine {

/// A loaded replica that no request uses.
struct EvictionCandidate
{
  ReplicaKey m_replica;
  base::Bytes m_memory;
  /// Expected time until the next use, estimated from past gaps.
  base::Duration m_expectedIdle;
  /// Expected time to load the replica again after eviction.
  base::Duration m_reloadTime;
};

/// Chooses replicas to unload so that at least aNeeded is freed, in ascending
/// order of reload time per expected idle time and byte. Returns an empty list
/// when all candidates together are not enough.
std::vector<ReplicaKey> ChooseEvictions(std::vector<EvictionCandidate> aCandidates,
                                        base::Bytes aNeeded);

} // namespace sardinefold::engine
