#include "Engine/ReplicaTable.h"

#include <algorithm>

namespace sardinefold::engine {

namespace {

bool IsAdapterOf(ReplicaKey const& aKey, base::ModelId const& aModel)
{
  return aKey.IsAdapter() && aKey.m_model == aModel;
}

} // namespace

Replica& ReplicaTable::GetOrCreate(ReplicaKey const& aKey, ReplicaMemory aMemory)
{
  auto const found = m_replicas.find(aKey);
  if (found != m_replicas.end()) {
    return found->second;
  }
  return m_replicas.emplace(aKey, Replica(aMemory)).first->second;
}

ReplicaTable::Entries::value_type* ReplicaTable::FindByOrder(OrderId aOrder)
{
  auto const waitsForIt = [aOrder](auto const& aEntry) {
    Replica const& replica = aEntry.second;
    bool const isLoad = replica.m_load && replica.m_load->m_id == aOrder;
    return isLoad || replica.m_unload == aOrder;
  };
  auto const found = std::ranges::find_if(m_replicas, waitsForIt);
  return found == m_replicas.end() ? nullptr : &*found;
}

ReplicaState ReplicaTable::StateOf(ReplicaKey const& aKey) const
{
  auto const found = m_replicas.find(aKey);
  return found == m_replicas.end() ? ReplicaState::Absent : found->second.State();
}

bool ReplicaTable::HasAdapters(ReplicaKey const& aBase) const
{
  return std::ranges::any_of(m_replicas, [&aBase](auto const& aEntry) {
    return IsAdapterOf(aEntry.first, aBase.m_model) && !aEntry.second.IsAbsent();
  });
}

bool ReplicaTable::IsInUse(ReplicaKey const& aKey) const
{
  return std::ranges::any_of(m_replicas, [&aKey](auto const& aEntry) {
    bool const counts =
      aEntry.first == aKey || (!aKey.IsAdapter() && IsAdapterOf(aEntry.first, aKey.m_model));
    return counts && !aEntry.second.IsIdle();
  });
}

bool ReplicaTable::IsModelAbsent(base::ModelId const& aModel) const
{
  return std::ranges::all_of(m_replicas, [&aModel](auto const& aEntry) {
    return aEntry.first.m_model != aModel || aEntry.second.IsAbsent();
  });
}

base::Bytes ReplicaTable::MemoryBeingFreed() const
{
  base::Bytes beingFreed;
  for (auto const& [key, replica] : m_replicas) {
    bool const isUnloading = replica.State() == ReplicaState::Unloading ||
                             (replica.IsLoaded() && replica.m_isUnloadWanted);
    if (isUnloading) {
      beingFreed += replica.m_memory.Total();
    }
  }
  return beingFreed;
}

} // namespace sardinefold::engine
