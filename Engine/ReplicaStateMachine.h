#pragma once

#include <tl/expected.hpp>

#include <memory>
#include <string_view>

namespace sardinefold::engine {

/// State of one replica on one engine, as known to the agent.
enum class ReplicaState
{
  Absent,
  /// Its memory is reserved and it waits for a slot of the weight store.
  Queued,
  Loading,
  Loaded,
  Unloading,
  /// The response to an order was lost, so the engine may or may not hold the
  /// replica.
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
  /// The engine's list, read after the order's time bound, contains the
  /// replica.
  ObservePresent,
  /// The engine's list, read after the order's time bound, lacks the replica.
  ObserveAbsent
};

/// An event that has no transition from the current state, which does not
/// change.
struct RefusedReplicaEvent
{
  ReplicaState m_state;
  ReplicaEvent m_event;
};

std::string_view ToText(ReplicaState aState);

/// State machine of one replica; docs/DESIGN.md has the transition table.
class ReplicaStateMachine
{
public:
  ReplicaStateMachine();
  ~ReplicaStateMachine();
  ReplicaStateMachine(ReplicaStateMachine&&) noexcept;
  ReplicaStateMachine& operator=(ReplicaStateMachine&&) noexcept;

  ReplicaState State() const;
  /// Performs the transition and returns the new state.
  tl::expected<ReplicaState, RefusedReplicaEvent> Apply(ReplicaEvent aEvent);

private:
  class Machine;
  std::unique_ptr<Machine> m_machine;
};

} // namespace sardinefold::engine
