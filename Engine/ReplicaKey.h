#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <compare>
#include <optional>
#include <ostream>

namespace sardinefold::engine {

/// Identifies what a replica is a copy of: a base model, or an adapter on its
/// base model.
struct ReplicaKey
{
  base::ModelId m_model;
  std::optional<base::AdapterId> m_adapter;

  bool IsAdapter() const { return m_adapter.has_value(); }
  /// The base model that an adapter needs; the key itself for a base model.
  ReplicaKey Base() const { return { m_model, std::nullopt }; }

  friend bool operator==(ReplicaKey const&, ReplicaKey const&) = default;
  friend auto operator<=>(ReplicaKey const&, ReplicaKey const&) = default;
  friend std::ostream& operator<<(std::ostream& aStream, ReplicaKey const& aKey)
  {
    aStream << aKey.m_model;
    if (aKey.m_adapter) {
      aStream << '+' << *aKey.m_adapter;
    }
    return aStream;
  }
};

/// Accelerator memory of one replica.
struct ReplicaMemory
{
  base::Bytes m_weights;
  base::Bytes m_cache;

  base::Bytes Total() const { return m_weights + m_cache; }
  friend bool operator==(ReplicaMemory const&, ReplicaMemory const&) = default;
};

/// Identifies one order to load or unload within one incarnation of an agent.
using OrderId = base::Ordinal<struct OrderTag>;

/// Where the weights of an unloaded replica are stored, fastest first.
enum class WeightTier
{
  HostMemory,
  Disk,
  Remote
};

} // namespace sardinefold::engine
