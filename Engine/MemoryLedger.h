#pragma once

#include "Engine/ReplicaKey.h"

#include <tl/expected.hpp>

#include <map>
#include <vector>

namespace sardinefold::engine {

/// Why the ledger did not reserve.
struct MemoryError
{
  enum class Kind
  {
    /// The free memory is less than what the replica needs.
    Insufficient,
    /// The replica has its memory already.
    AlreadyReserved,
    /// A size is negative.
    InvalidSize
  };

  Kind m_kind;
  base::Bytes m_needed;
  base::Bytes m_free;
};

/// A replica that the engine reports to hold, in whatever state.
struct HeldReplica
{
  ReplicaKey m_replica;
  ReplicaMemory m_memory;
};

/// The accelerator memory of one engine. Memory is reserved before a load is
/// ordered and released after the engine has confirmed the unload, so that
/// what is loading or unloading counts in full.
class MemoryLedger
{
public:
  explicit MemoryLedger(base::Bytes aCapacity)
    : m_capacity(aCapacity)
  {
  }

  /// Takes the memory of a replica, or nothing.
  tl::expected<void, MemoryError> Reserve(ReplicaKey const& aReplica, ReplicaMemory aMemory);
  /// Gives back what the replica holds; false when it holds nothing.
  bool Release(ReplicaKey const& aReplica);
  /// Counts a replica that the engine turned out to hold. It may take the
  /// ledger over its capacity, in which case nothing can be reserved.
  void Adopt(HeldReplica const& aHeld);

  bool Holds(ReplicaKey const& aReplica) const { return m_reserved.contains(aReplica); }
  base::Bytes Capacity() const { return m_capacity; }
  base::Bytes Used() const { return m_used; }
  /// Zero when more is used than there is.
  base::Bytes Free() const;

private:
  base::Bytes m_capacity;
  base::Bytes m_used;
  std::map<ReplicaKey, ReplicaMemory> m_reserved;
};

} // namespace sardinefold::engine
