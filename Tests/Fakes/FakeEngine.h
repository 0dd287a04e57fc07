#pragma once

#include "Engine/ReplicaActions.h"

#include <map>
#include <optional>

namespace sardinefold::tests {

/// What an engine really holds, in virtual time. Orders end when the test says
/// so; nothing is checked but what an engine would check.
class FakeEngine
{
public:
  FakeEngine(base::Bytes aMemory, bool aChecksFencing)
    : m_memory(aMemory)
    , m_checksFencing(aChecksFencing)
  {
  }

  /// Memory is taken when a load begins. False when the order is refused for
  /// its fencing number.
  bool BeginLoad(engine::ReplicaKey const& aKey, engine::ReplicaMemory aMemory,
                 base::FencingNumber aFencing);
  /// Ends a load that has begun, well or not.
  void EndLoad(engine::ReplicaKey const& aKey, bool aSucceeds);
  bool Unload(engine::ReplicaKey const& aKey, base::FencingNumber aFencing);

  bool RaiseFence(base::FencingNumber aFencing) { return Accepts(aFencing); }

  engine::EngineState State() const;
  bool Holds(engine::ReplicaKey const& aKey) const { return m_held.contains(aKey); }
  /// The most memory ever taken at once.
  base::Bytes Peak() const { return m_peak; }
  base::Bytes Memory() const { return m_memory; }
  /// Loads of a replica that was there already.
  int DoubleLoads() const { return m_doubleLoads; }

private:
  bool Accepts(base::FencingNumber aFencing);
  void UpdatePeak();

  base::Bytes m_memory;
  bool m_checksFencing;
  base::FencingNumber m_inForce;
  std::map<engine::ReplicaKey, engine::ReplicaMemory> m_held;
  std::map<engine::ReplicaKey, engine::ReplicaMemory> m_loading;
  base::Bytes m_peak;
  int m_doubleLoads = 0;
};

} // namespace sardinefold::tests
