#include "Engine/MemoryLedger.h"

#include <algorithm>

namespace sardinefold::engine {

tl::expected<void, MemoryError> MemoryLedger::Reserve(ReplicaKey const& aReplica,
                                                      ReplicaMemory aMemory)
{
  base::Bytes const needed = aMemory.Total();
  if (aMemory.m_weights < base::Bytes(0) || aMemory.m_cache < base::Bytes(0)) {
    return tl::make_unexpected(MemoryError{ MemoryError::Kind::InvalidSize, needed, Free() });
  }
  if (m_reserved.contains(aReplica)) {
    return tl::make_unexpected(MemoryError{ MemoryError::Kind::AlreadyReserved, needed, Free() });
  }
  if (needed > Free()) {
    return tl::make_unexpected(MemoryError{ MemoryError::Kind::Insufficient, needed, Free() });
  }
  m_reserved.emplace(aReplica, aMemory);
  m_used += needed;
  return {};
}

bool MemoryLedger::Release(ReplicaKey const& aReplica)
{
  auto const found = m_reserved.find(aReplica);
  if (found == m_reserved.end()) {
    return false;
  }
  m_used -= found->second.Total();
  m_reserved.erase(found);
  return true;
}

void MemoryLedger::Adopt(HeldReplica const& aHeld)
{
  Release(aHeld.m_replica);
  m_reserved.emplace(aHeld.m_replica, aHeld.m_memory);
  m_used += aHeld.m_memory.Total();
}

base::Bytes MemoryLedger::Free() const
{
  return std::max(base::Bytes(0), m_capacity - m_used);
}

} // namespace sardinefold::engine
