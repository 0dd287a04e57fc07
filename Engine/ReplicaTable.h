#pragma once

#include "Engine/Replica.h"

#include <map>

namespace sardinefold::engine {

/// The replicas of one engine, with queries about base models and their
/// adapters.
class ReplicaTable
{
public:
  using Entries = std::map<ReplicaKey, Replica>;

  Entries const& All() const { return m_replicas; }
  Entries& All() { return m_replicas; }

  /// Returns the replica; creates it as Absent with the given memory if it is
  /// missing.
  Replica& GetOrCreate(ReplicaKey const& aKey, ReplicaMemory aMemory);
  /// Returns the replica to which an order in progress belongs; null if there
  /// is none.
  Entries::value_type* FindByOrder(OrderId aOrder);
  ReplicaState StateOf(ReplicaKey const& aKey) const;

  bool HasAdapters(ReplicaKey const& aBase) const;
  /// Whether a request waits for or runs on the replica or, for a base model,
  /// one of its adapters.
  bool IsInUse(ReplicaKey const& aKey) const;
  /// Whether neither the model nor any of its adapters is on the engine.
  bool IsModelAbsent(base::ModelId const& aModel) const;
  /// Memory of the replicas that are being unloaded or marked for unloading.
  base::Bytes MemoryBeingFreed() const;

private:
  Entries m_replicas;
};

} // namespace sardinefold::engine
