#define BOOST_TEST_MODULE EngineStateMachines
#include "Engine/LoadOrderStateMachine.h"
#include "Engine/ReplicaStateMachine.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <utility>
#include <vector>

using namespace sardinefold::engine;

namespace {

template<typename State, typename Event>
struct TransitionTable
{
  std::map<std::pair<State, Event>, State> m_next;
  /// Events that lead from the initial state to each state.
  std::map<State, std::vector<Event>> m_paths;
  int m_eventCount;
};

TransitionTable<ReplicaState, ReplicaEvent> ReplicaTransitions()
{
  using S = ReplicaState;
  using E = ReplicaEvent;
  return {
    { { { S::Absent, E::Reserve }, S::Queued },
      { { S::Absent, E::ObservePresent }, S::Loaded },
      { { S::Queued, E::Order }, S::Loading },
      { { S::Queued, E::Cancel }, S::Absent },
      { { S::Queued, E::ObservePresent }, S::Loaded },
      { { S::Loading, E::Confirm }, S::Loaded },
      { { S::Loading, E::Refuse }, S::Absent },
      { { S::Loading, E::LoseResponse }, S::Uncertain },
      { { S::Loaded, E::Unload }, S::Unloading },
      { { S::Loaded, E::ObserveAbsent }, S::Absent },
      { { S::Unloading, E::Confirm }, S::Absent },
      { { S::Unloading, E::Refuse }, S::Loaded },
      { { S::Unloading, E::LoseResponse }, S::Uncertain },
      { { S::Uncertain, E::ObservePresent }, S::Loaded },
      { { S::Uncertain, E::ObserveAbsent }, S::Absent } },
    { { S::Absent, {} },
      { S::Queued, { E::Reserve } },
      { S::Loading, { E::Reserve, E::Order } },
      { S::Loaded, { E::Reserve, E::Order, E::Confirm } },
      { S::Unloading, { E::Reserve, E::Order, E::Confirm, E::Unload } },
      { S::Uncertain, { E::Reserve, E::Order, E::LoseResponse } } },
    static_cast<int>(E::ObserveAbsent) + 1,
  };
}

TransitionTable<LoadOrderState, LoadOrderEvent> LoadOrderTransitions()
{
  using S = LoadOrderState;
  using E = LoadOrderEvent;
  return {
    { { { S::Waiting, E::Grant }, S::Granted },
      { { S::Waiting, E::Cancel }, S::Cancelled },
      { { S::Granted, E::Send }, S::InFlight },
      { { S::Granted, E::LoseSlot }, S::Waiting },
      { { S::Granted, E::Cancel }, S::Cancelled },
      { { S::InFlight, E::Confirm }, S::Done },
      { { S::InFlight, E::Refuse }, S::Failed },
      { { S::InFlight, E::LoseResponse }, S::Unknown },
      { { S::Unknown, E::ObserveDone }, S::Done },
      { { S::Unknown, E::ObserveNotDone }, S::Failed } },
    { { S::Waiting, {} },
      { S::Granted, { E::Grant } },
      { S::InFlight, { E::Grant, E::Send } },
      { S::Unknown, { E::Grant, E::Send, E::LoseResponse } },
      { S::Done, { E::Grant, E::Send, E::Confirm } },
      { S::Failed, { E::Grant, E::Send, E::Refuse } },
      { S::Cancelled, { E::Cancel } } },
    static_cast<int>(E::ObserveNotDone) + 1,
  };
}

/// Applies every event in every state and compares the result with the table.
template<typename StateMachine, typename State, typename Event>
void CheckEveryTransition(TransitionTable<State, Event> const& aTable)
{
  for (auto const& [state, path] : aTable.m_paths) {
    for (int number = 0; number < aTable.m_eventCount; ++number) {
      auto const event = static_cast<Event>(number);
      StateMachine machine;
      for (Event step : path) {
        BOOST_REQUIRE(machine.Apply(step));
      }
      BOOST_REQUIRE(machine.State() == state);
      auto const expected = aTable.m_next.find({ state, event });
      auto const next = machine.Apply(event);
      BOOST_TEST_CONTEXT(ToText(state) << " with event " << number)
      {
        BOOST_TEST(next.has_value() == (expected != aTable.m_next.end()));
        State const end = expected == aTable.m_next.end() ? state : expected->second;
        BOOST_TEST(ToText(machine.State()) == ToText(end));
      }
    }
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(ReplicaTakesTheTransitionsOfItsTableAndNoOthers)
{
  CheckEveryTransition<ReplicaStateMachine>(ReplicaTransitions());
}

BOOST_AUTO_TEST_CASE(LoadOrderTakesTheTransitionsOfItsTableAndNoOthers)
{
  CheckEveryTransition<LoadOrderStateMachine>(LoadOrderTransitions());
}

BOOST_AUTO_TEST_CASE(RefusalNamesStateAndEvent)
{
  ReplicaStateMachine machine;
  auto const refused = machine.Apply(ReplicaEvent::Confirm);
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().m_state == ReplicaState::Absent));
  BOOST_TEST((refused.error().m_event == ReplicaEvent::Confirm));
}
