#include "Engine/LoadOrderStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

#include <array>

namespace sardinefold::engine {

namespace {

namespace msm = boost::msm;
using msm::front::Row;

/// A state that stores its kind in the machine on entry.
template<LoadOrderState Kind>
struct State : msm::front::state<>
{
  template<typename Event, typename Machine>
  void on_entry(Event const&, Machine& aMachine)
  {
    aMachine.m_state = Kind;
  }
};

template<LoadOrderEvent Kind>
struct On
{
};

using Waiting = State<LoadOrderState::Waiting>;
using Granted = State<LoadOrderState::Granted>;
using InFlight = State<LoadOrderState::InFlight>;
using Unknown = State<LoadOrderState::Unknown>;
using Done = State<LoadOrderState::Done>;
using Failed = State<LoadOrderState::Failed>;
using Cancelled = State<LoadOrderState::Cancelled>;

using Grant = On<LoadOrderEvent::Grant>;
using LoseSlot = On<LoadOrderEvent::LoseSlot>;
using Send = On<LoadOrderEvent::Send>;
using Confirm = On<LoadOrderEvent::Confirm>;
using Refuse = On<LoadOrderEvent::Refuse>;
using LoseResponse = On<LoadOrderEvent::LoseResponse>;
using Cancel = On<LoadOrderEvent::Cancel>;
using ObserveDone = On<LoadOrderEvent::ObserveDone>;
using ObserveNotDone = On<LoadOrderEvent::ObserveNotDone>;

struct Definition : msm::front::state_machine_def<Definition>
{
  using initial_state = Waiting;
  using no_exception_thrown = int;
  using no_message_queue = int;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Waiting,  Grant,          Granted>,
    Row<Waiting,  Cancel,         Cancelled>,
    Row<Granted,  Send,           InFlight>,
    Row<Granted,  LoseSlot,       Waiting>,
    Row<Granted,  Cancel,         Cancelled>,
    Row<InFlight, Confirm,        Done>,
    Row<InFlight, Refuse,         Failed>,
    Row<InFlight, LoseResponse,     Unknown>,
    Row<Unknown,  ObserveDone,    Done>,
    Row<Unknown,  ObserveNotDone, Failed>>;
  // clang-format on

  /// A refused event does not change the state; Apply() reports the refusal.
  template<typename Event, typename Machine>
  void no_transition(Event const&, Machine&, int)
  {
  }

  LoadOrderState m_state = LoadOrderState::Waiting;
};

using Backend = msm::back::state_machine<Definition>;

template<typename Event>
bool Process(Backend& aBackend)
{
  return aBackend.process_event(Event()) == msm::back::HANDLED_TRUE;
}

bool Dispatch(Backend& aBackend, LoadOrderEvent aEvent)
{
  switch (aEvent) {
    case LoadOrderEvent::Grant:
      return Process<Grant>(aBackend);
    case LoadOrderEvent::LoseSlot:
      return Process<LoseSlot>(aBackend);
    case LoadOrderEvent::Send:
      return Process<Send>(aBackend);
    case LoadOrderEvent::Confirm:
      return Process<Confirm>(aBackend);
    case LoadOrderEvent::Refuse:
      return Process<Refuse>(aBackend);
    case LoadOrderEvent::LoseResponse:
      return Process<LoseResponse>(aBackend);
    case LoadOrderEvent::Cancel:
      return Process<Cancel>(aBackend);
    case LoadOrderEvent::ObserveDone:
      return Process<ObserveDone>(aBackend);
    case LoadOrderEvent::ObserveNotDone:
      return Process<ObserveNotDone>(aBackend);
  }
  return false;
}

} // namespace

class LoadOrderStateMachine::Machine
{
public:
  Machine() { m_backend.start(); }

  Backend m_backend;
};

LoadOrderStateMachine::LoadOrderStateMachine()
  : m_machine(std::make_unique<Machine>())
{
}

LoadOrderStateMachine::~LoadOrderStateMachine() = default;
LoadOrderStateMachine::LoadOrderStateMachine(LoadOrderStateMachine&&) noexcept = default;
LoadOrderStateMachine& LoadOrderStateMachine::operator=(LoadOrderStateMachine&&) noexcept = default;

LoadOrderState LoadOrderStateMachine::State() const
{
  return m_machine->m_backend.m_state;
}

tl::expected<LoadOrderState, RefusedLoadOrderEvent> LoadOrderStateMachine::Apply(
  LoadOrderEvent aEvent)
{
  if (!Dispatch(m_machine->m_backend, aEvent)) {
    return tl::make_unexpected(RefusedLoadOrderEvent{ State(), aEvent });
  }
  return State();
}

std::string_view ToText(LoadOrderState aState)
{
  static constexpr std::array<std::string_view, 7> kTexts{ "waiting",  "granted", "in-flight",
                                                           "unknown",  "done",    "failed",
                                                           "cancelled" };
  return kTexts.at(static_cast<std::size_t>(aState));
}

} // namespace sardinefold::engine
