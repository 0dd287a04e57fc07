#pragma once

#include <tl/expected.hpp>

#include <memory>
#include <string_view>

namespace sardinefold::engine {

/// State of one order to load a replica.
enum class LoadOrderState
{
  /// The order waits for a slot of the weight store.
  Waiting,
  /// The order has a slot and has not been sent.
  Granted,
  InFlight,
  /// The order's time bound passed without a response.
  Unknown,
  Done,
  Failed,
  Cancelled
};

enum class LoadOrderEvent
{
  Grant,
  /// The slot's lease expired, or the agent may not issue orders now.
  LoseSlot,
  Send,
  Confirm,
  Refuse,
  LoseResponse,
  Cancel,
  ObserveDone,
  ObserveNotDone
};

/// An event that has no transition from the current state, which does not
/// change.
struct RefusedLoadOrderEvent
{
  LoadOrderState m_state;
  LoadOrderEvent m_event;
};

std::string_view ToText(LoadOrderState aState);

/// State machine of one load order; docs/DESIGN.md has the transition table. An
/// order in flight is not cancelled, since the weight store's bandwidth has
/// already been used.
class LoadOrderStateMachine
{
public:
  LoadOrderStateMachine();
  ~LoadOrderStateMachine();
  LoadOrderStateMachine(LoadOrderStateMachine&&) noexcept;
  LoadOrderStateMachine& operator=(LoadOrderStateMachine&&) noexcept;

  LoadOrderState State() const;
  /// Performs the transition and returns the new state.
  tl::expected<LoadOrderState, RefusedLoadOrderEvent> Apply(LoadOrderEvent aEvent);

private:
  class Machine;
  std::unique_ptr<Machine> m_machine;
};

} // namespace sardinefold::engine
