#pragma once

#include "Engine/Replica.h"

#include <map>

namespace sardinefold::engine {

/// The replicas of one engine, and what holds between a base model and its
/// adapters.
class ReplicaTable
{
public:
  using Entries = std::map<ReplicaKey, Replica>;

  Entries const& All() const { return m_replicas; }
  Entries& All() { return m_replicas; }

  /// The replica, newly Absent with the given memory if there was none.
  Replica& GetOrCreate(ReplicaKey const& aKey, ReplicaMemory aMemory);
  /// The replica that waits for the end of an order; null if none does.
  Entries::value_type* FindByOrder(OrderId aOrder);
  ReplicaState StateOf(ReplicaKey const& aKey) const;

  bool HasAdapters(ReplicaKey const& aBase) const;
  /// Whether a request waits for it or runs on it, or on an adapter of it.
  bool IsInUse(ReplicaKey const& aKey) const;
  /// Whether nothing of the model takes memory.
  bool IsModelAbsent(base::ModelId const& aModel) const;
  /// Memory of what is being unloaded or will be.
  base::Bytes MemoryBeingFreed() const;

private:
  Entries m_replicas;
};

} // namespace sardinefold::engine
