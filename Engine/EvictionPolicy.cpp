#include "Engine/EvictionPolicy.h"

#include <algorithm>

namespace sardinefold::engine {

namespace {

/// Expected reload time that keeping one byte saves per second of idle time.
double ReloadCostRate(EvictionCandidate const& aCandidate)
{
  double const idle = std::max(base::ToSeconds(aCandidate.m_expectedIdle), 1e-3);
  double const bytes = std::max(static_cast<double>(aCandidate.m_memory.Value()), 1.0);
  return base::ToSeconds(aCandidate.m_reloadTime) / (idle * bytes);
}

bool IsCheaperToEvict(EvictionCandidate const& aLeft, EvictionCandidate const& aRight)
{
  double const left = ReloadCostRate(aLeft);
  double const right = ReloadCostRate(aRight);
  return left != right ? left < right : aLeft.m_replica < aRight.m_replica;
}

/// Removes replicas that are no longer needed because a later one is large
/// enough.
std::vector<ReplicaKey> RemoveUnneeded(std::vector<EvictionCandidate> const& aChosen,
                                       base::Bytes aSurplus)
{
  std::vector<ReplicaKey> kept;
  for (auto candidate = aChosen.rbegin(); candidate != aChosen.rend(); ++candidate) {
    if (candidate->m_memory <= aSurplus) {
      aSurplus -= candidate->m_memory;
      continue;
    }
    kept.push_back(candidate->m_replica);
  }
  return kept;
}

} // namespace

std::vector<ReplicaKey> ChooseEvictions(std::vector<EvictionCandidate> aCandidates,
                                        base::Bytes aNeeded)
{
  std::ranges::sort(aCandidates, IsCheaperToEvict);
  std::vector<EvictionCandidate> chosen;
  base::Bytes freed;
  for (EvictionCandidate const& candidate : aCandidates) {
    if (freed >= aNeeded) {
      break;
    }
    freed += candidate.m_memory;
    chosen.push_back(candidate);
  }
  if (freed < aNeeded) {
    return {};
  }
  return RemoveUnneeded(chosen, freed - aNeeded);
}

} // namespace sardinefold::engine
