#pragma once

#include "Engine/ReplicaActions.h"

#include <map>
#include <optional>

namespace sardinefold::tests {

/// Simulates the memory of an engine. Orders end when the test says so, and are
/// validated only as far as an engine would validate them.
class FakeEngine
{
public:
  FakeEngine(base::Bytes aMemory, bool aChecksFencing)
    : m_memory(aMemory)
    , m_checksFencing(aChecksFencing)
  {
  }

  /// Starts a load, which takes its memory at once. Returns false when the order
  /// is refused for its fencing number.
  bool BeginLoad(engine::ReplicaKey const& aKey, engine::ReplicaMemory aMemory,
                 base::FencingNumber aFencing);
  /// Ends a started load with success or failure.
  void EndLoad(engine::ReplicaKey const& aKey, bool aSucceeds);
  bool Unload(engine::ReplicaKey const& aKey, base::FencingNumber aFencing);

  bool RaiseFence(base::FencingNumber aFencing) { return Accepts(aFencing); }

  engine::EngineState State() const;
  bool Holds(engine::ReplicaKey const& aKey) const { return m_held.contains(aKey); }
  /// Returns the maximum memory in use at any time.
  base::Bytes Peak() const { return m_peak; }
  base::Bytes Memory() const { return m_memory; }
  /// Returns the number of loads of a replica that was loaded or loading already.
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
