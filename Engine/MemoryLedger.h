#pragma once

#include "Engine/ReplicaKey.h"

#include <tl/expected.hpp>

#include <map>
#include <vector>

namespace sardinefold::engine {

/// Why a reservation failed.
struct MemoryError
{
  enum class Kind
  {
    /// The replica needs more memory than is free.
    Insufficient,
    /// The replica already has a reservation.
    AlreadyReserved,
    /// A size is negative.
    InvalidSize
  };

  Kind m_kind;
  base::Bytes m_needed;
  base::Bytes m_free;
};

/// A replica that the engine reports, in any state.
struct HeldReplica
{
  ReplicaKey m_replica;
  ReplicaMemory m_memory;
};

/// Accounts for the accelerator memory of one engine. Memory is reserved before
/// a load is ordered and released after the engine has confirmed the unload, so
/// that replicas count in full while they load or unload.
class MemoryLedger
{
public:
  explicit MemoryLedger(base::Bytes aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// Reserves the whole memory of a replica; on failure nothing is reserved.
  tl::expected<void, MemoryError> Reserve(ReplicaKey const& aReplica, ReplicaMemory aMemory);
  /// Releases the replica's reservation; returns false if it has none.
  bool Release(ReplicaKey const& aReplica);
  /// Adds a replica that the engine was found to hold, replacing its
  /// reservation if any. The total may then exceed the capacity, in which case
  /// nothing more can be reserved.
  void Adopt(HeldReplica const& aHeld);

  bool Holds(ReplicaKey const& aReplica) const { return m_reserved.contains(aReplica); }
  base::Bytes Capacity() const { return m_capacity; }
  base::Bytes Used() const { return m_used; }
  /// Zero when the used memory exceeds the capacity.
  base::Bytes Free() const;

private:
  base::Bytes m_capacity;
  base::Bytes m_used;
  std::map<ReplicaKey, ReplicaMemory> m_reserved;
};

} // namespace sardinefold::engine
