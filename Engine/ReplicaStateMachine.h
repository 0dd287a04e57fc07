#pragma once

#include <tl/expected.hpp>

#include <memory>
#include <string_view>

namespace sardinefold::engine {

/// State of one replica on one engine, as its agent knows it.
enum class ReplicaState
{
  Absent,
  /// Its memory is reserved; it waits for a slot of the weight store.
  Queued,
  Loading,
  Loaded,
  Unloading,
  /// An order's answer was lost; the engine holds the replica or not.
  Uncertain
};

enum class ReplicaEvent
{
  Reserve,
  Order,
  Confirm,
  Refuse,
  Cancel,
  LoseResponse,
  Unload,
  /// The engine's list, read after the order's time bound, has the replica.
  ObservePresent,
  /// The engine's list, read after the order's time bound, lacks the replica.
  ObserveAbsent
};

/// An event that the state does not take; the state stays.
struct RefusedReplicaEvent
{
  ReplicaState m_state;
  ReplicaEvent m_event;
};

std::string_view ToText(ReplicaState aState);

/// The life of one replica. The table stands in docs/DESIGN.md.
class ReplicaStateMachine
{
public:
  ReplicaStateMachine();
  ~ReplicaStateMachine();
  ReplicaStateMachine(ReplicaStateMachine&&) noexcept;
  ReplicaStateMachine& operator=(ReplicaStateMachine&&) noexcept;

  ReplicaState State() const;
  /// Takes the transition and returns the new state.
  tl::expected<ReplicaState, RefusedReplicaEvent> Apply(ReplicaEvent aEvent);

private:
  class Machine;
  std::unique_ptr<Machine> m_machine;
};

} // namespace sardinefold::engine
