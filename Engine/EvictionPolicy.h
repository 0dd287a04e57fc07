#pragma once

#include "Base/Time.h"
#include "Engine/ReplicaKey.h"

#include <vector>

namespace sardinefold::engine {

/// A loaded replica that nobody uses now.
struct EvictionCandidate
{
  ReplicaKey m_replica;
  base::Bytes m_memory;
  /// Time until its next use, if it stays as idle as it has been.
  base::Duration m_expectedIdle;
  /// Time to load it again from where its weights would lie.
  base::Duration m_reloadTime;
};

/// Chooses which replicas to unload so that at least aNeeded comes free:
/// those first that cost the least reload time per expected idle time and
/// byte. Returns nothing when all of them together are not enough.
std::vector<ReplicaKey> ChooseEvictions(std::vector<EvictionCandidate> aCandidates,
                                        base::Bytes aNeeded);

} // namespace sardinefold::engine
