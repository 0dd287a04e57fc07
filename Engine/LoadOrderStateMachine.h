#pragma once

#include <tl/expected.hpp>

#include <memory>
#include <string_view>

namespace sardinefold::engine {

/// State of one order to load a replica.
enum class LoadOrderState
{
  /// Waits for a slot of the weight store.
  Waiting,
  /// Has a slot and has not been sent.
  Granted,
  InFlight,
  /// The time bound of the order passed without an answer.
  Unknown,
  Done,
  Failed,
  Cancelled
};

enum class LoadOrderEvent
{
  Grant,
  /// The slot's lease lapsed, or the agent may not write now.
  LoseSlot,
  Send,
  Confirm,
  Refuse,
  LoseResponse,
  Cancel,
  ObserveDone,
  ObserveNotDone
};

/// An event that the state does not take; the state stays.
struct RefusedLoadOrderEvent
{
  LoadOrderState m_state;
  LoadOrderEvent m_event;
};

std::string_view ToText(LoadOrderState aState);

/// The life of one load order. The table stands in docs/DESIGN.md. An order
/// in flight is not cancelled: the store's bandwidth is spent by then.
class LoadOrderStateMachine
{
public:
  LoadOrderStateMachine();
  ~LoadOrderStateMachine();
  LoadOrderStateMachine(LoadOrderStateMachine&&) noexcept;
  LoadOrderStateMachine& operator=(LoadOrderStateMachine&&) noexcept;

  LoadOrderState State() const;
  /// Takes the transition and returns the new state.
  tl::expected<LoadOrderState, RefusedLoadOrderEvent> Apply(LoadOrderEvent aEvent);

private:
  class Machine;
  std::unique_ptr<Machine> m_machine;
};

} // namespace sardinefold::engine
