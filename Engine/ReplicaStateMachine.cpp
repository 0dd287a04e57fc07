#include "Engine/ReplicaStateMachine.h"

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
template<ReplicaState Kind>
struct State : msm::front::state<>
{
  template<typename Event, typename Machine>
  void on_entry(Event const&, Machine& aMachine)
  {
    aMachine.m_state = Kind;
  }
};

template<ReplicaEvent Kind>
struct On
{
};

using Absent = State<ReplicaState::Absent>;
using Queued = State<ReplicaState::Queued>;
using Loading = State<ReplicaState::Loading>;
using Loaded = State<ReplicaState::Loaded>;
using Unloading = State<ReplicaState::Unloading>;
using Uncertain = State<ReplicaState::Uncertain>;

using Reserve = On<ReplicaEvent::Reserve>;
using Order = On<ReplicaEvent::Order>;
using Confirm = On<ReplicaEvent::Confirm>;
using Refuse = On<ReplicaEvent::Refuse>;
using Cancel = On<ReplicaEvent::Cancel>;
using LoseResponse = On<ReplicaEvent::LoseResponse>;
using Unload = On<ReplicaEvent::Unload>;
using ObservePresent = On<ReplicaEvent::ObservePresent>;
using ObserveAbsent = On<ReplicaEvent::ObserveAbsent>;

struct Definition : msm::front::state_machine_def<Definition>
{
  using initial_state = Absent;
  using no_exception_thrown = int;
  using no_message_queue = int;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Absent,    Reserve,        Queued>,
    Row<Absent,    ObservePresent, Loaded>,
    Row<Queued,    Order,          Loading>,
    Row<Queued,    Cancel,         Absent>,
    Row<Queued,    ObservePresent, Loaded>,
    Row<Loading,   Confirm,        Loaded>,
    Row<Loading,   Refuse,         Absent>,
    Row<Loading,   LoseResponse,     Uncertain>,
    Row<Loaded,    Unload,         Unloading>,
    Row<Loaded,    ObserveAbsent,  Absent>,
    Row<Unloading, Confirm,        Absent>,
    Row<Unloading, Refuse,         Loaded>,
    Row<Unloading, LoseResponse,     Uncertain>,
    Row<Uncertain, ObservePresent, Loaded>,
    Row<Uncertain, ObserveAbsent,  Absent>>;
  // clang-format on

  /// A refused event does not change the state; Apply() reports the refusal.
  template<typename Event, typename Machine>
  void no_transition(Event const&, Machine&, int)
  {
  }

  ReplicaState m_state = ReplicaState::Absent;
};

using Backend = msm::back::state_machine<Definition>;

template<typename Event>
bool Process(Backend& aBackend)
{
  return aBackend.process_event(Event()) == msm::back::HANDLED_TRUE;
}

bool Dispatch(Backend& aBackend, ReplicaEvent aEvent)
{
  switch (aEvent) {
    case ReplicaEvent::Reserve:
      return Process<Reserve>(aBackend);
    case ReplicaEvent::Order:
      return Process<Order>(aBackend);
    case ReplicaEvent::Confirm:
      return Process<Confirm>(aBackend);
    case ReplicaEvent::Refuse:
      return Process<Refuse>(aBackend);
    case ReplicaEvent::Cancel:
      return Process<Cancel>(aBackend);
    case ReplicaEvent::LoseResponse:
      return Process<LoseResponse>(aBackend);
    case ReplicaEvent::Unload:
      return Process<Unload>(aBackend);
    case ReplicaEvent::ObservePresent:
      return Process<ObservePresent>(aBackend);
    case ReplicaEvent::ObserveAbsent:
      return Process<ObserveAbsent>(aBackend);
  }
  return false;
}

} // namespace

class ReplicaStateMachine::Machine
{
public:
  Machine() { m_backend.start(); }

  Backend m_backend;
};

ReplicaStateMachine::ReplicaStateMachine()
  : m_machine(std::make_unique<Machine>())
{
}

ReplicaStateMachine::~ReplicaStateMachine() = default;
ReplicaStateMachine::ReplicaStateMachine(ReplicaStateMachine&&) noexcept = default;
ReplicaStateMachine& ReplicaStateMachine::operator=(ReplicaStateMachine&&) noexcept = default;

ReplicaState ReplicaStateMachine::State() const
{
  return m_machine->m_backend.m_state;
}

tl::expected<ReplicaState, RefusedReplicaEvent> ReplicaStateMachine::Apply(ReplicaEvent aEvent)
{
  if (!Dispatch(m_machine->m_backend, aEvent)) {
    return tl::make_unexpected(RefusedReplicaEvent{ State(), aEvent });
  }
  return State();
}

std::string_view ToText(ReplicaState aState)
{
  static constexpr std::array<std::string_view, 6> kTexts{ "absent", "queued",    "loading",
                                                           "loaded", "unloading", "uncertain" };
  return kTexts.at(static_cast<std::size_t>(aState));
}

} // namespace sardinefold::engine
