#include "Agent/ConnectionStateMachine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sardinefold::agent {

namespace {

namespace front = boost::msm::front;
using front::none;
using front::Row;

struct Progress
{};
struct SilenceElapsed
{};
/// The agent is running the exchange, and everything that it has written has
/// arrived.
struct ProbeUpToDate
{};
/// The agent has written more than has arrived, or could not be queried.
struct ProbeSuspicious
{};
/// The agent has not received the request.
struct ProbeNotReceived
{};
struct Close
{};

struct ConnectionFront : front::state_machine_def<ConnectionFront>
{
  struct Active : front::state<>
  {};
  struct Probing : front::state<>
  {};
  struct Suspected : front::state<>
  {};
  struct Lost : front::state<>
  {};
  struct Closed : front::state<>
  {};
  using initial_state = Active;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Active,    Progress,         Active,    none, none>,
    Row<Active,    SilenceElapsed,   Probing,   none, none>,
    Row<Active,    Close,            Closed,    none, none>,
    Row<Probing,   Progress,         Active,    none, none>,
    Row<Probing,   ProbeUpToDate,    Active,    none, none>,
    Row<Probing,   ProbeSuspicious,  Suspected, none, none>,
    Row<Probing,   ProbeNotReceived, Lost,      none, none>,
    Row<Probing,   Close,            Closed,    none, none>,
    Row<Suspected, Progress,         Active,    none, none>,
    Row<Suspected, ProbeUpToDate,    Active,    none, none>,
    Row<Suspected, ProbeSuspicious,  Lost,      none, none>,
    Row<Suspected, ProbeNotReceived, Lost,      none, none>,
    Row<Suspected, Close,            Closed,    none, none>,
    Row<Lost,      Close,            Closed,    none, none>
  >;
  // clang-format on

  /// Events without a row change nothing: a probe result or byte that arrives
  /// late is ignored.
  template<typename Event, typename Fsm>
  void no_transition(Event const&, Fsm&, int)
  {
  }
};

} // namespace

class ConnectionStateMachine::StateMachine : public boost::msm::back::state_machine<ConnectionFront>
{};

std::string_view ToText(ConnectionState aState)
{
  switch (aState) {
    case ConnectionState::Active:
      return "active";
    case ConnectionState::Probing:
      return "probing";
    case ConnectionState::Suspected:
      return "doubted";
    case ConnectionState::Lost:
      return "lost";
    case ConnectionState::Closed:
      return "closed";
  }
  return "";
}

ConnectionStateMachine::ConnectionStateMachine(ConnectionLimits aLimits, base::Instant aNow)
  : m_limits(aLimits)
  , m_machine(std::make_unique<StateMachine>())
  , m_nextCheck(aNow + aLimits.m_silence)
{
  m_machine->start();
}

ConnectionStateMachine::~ConnectionStateMachine() = default;
ConnectionStateMachine::ConnectionStateMachine(ConnectionStateMachine&&) noexcept = default;
ConnectionStateMachine& ConnectionStateMachine::operator=(ConnectionStateMachine&&) noexcept =
  default;

ConnectionState ConnectionStateMachine::State() const
{
  // The library numbers the states by their first appearance in the table.
  return static_cast<ConnectionState>(m_machine->current_state()[0]);
}

void ConnectionStateMachine::Reschedule(base::Instant aNow)
{
  switch (State()) {
    case ConnectionState::Active:
      m_nextCheck = aNow + m_limits.m_silence;
      return;
    case ConnectionState::Suspected:
      m_nextCheck = aNow + m_limits.m_recheckDelay;
      return;
    case ConnectionState::Probing:
    case ConnectionState::Lost:
    case ConnectionState::Closed:
      m_nextCheck.reset();
      return;
  }
}

void ConnectionStateMachine::OnReadStarted(base::Instant aNow)
{
  m_isReading = true;
  Reschedule(aNow);
}

void ConnectionStateMachine::OnHead(base::Instant aNow)
{
  m_isReading = false;
  m_hasHead = true;
  m_machine->process_event(Progress{});
  Reschedule(aNow);
}

void ConnectionStateMachine::OnBytes(base::Bytes aBytes, base::Instant aNow)
{
  m_isReading = false;
  m_received += aBytes;
  m_machine->process_event(Progress{});
  Reschedule(aNow);
}

void ConnectionStateMachine::OnClosed()
{
  m_machine->process_event(Close{});
  m_nextCheck.reset();
}

bool ConnectionStateMachine::ShouldProbe(base::Instant aNow)
{
  if (!m_nextCheck || aNow < *m_nextCheck) {
    return false;
  }
  if (!m_isReading) {
    Reschedule(aNow);
    return false;
  }
  m_machine->process_event(SilenceElapsed{});
  m_nextCheck.reset();
  return true;
}

void ConnectionStateMachine::OnReport(ExchangeReport const& aReport, base::Instant aNow)
{
  m_hasReachedAgent = true;
  bool const isReceived =
    aReport.m_state == ExchangeState::Running || aReport.m_state == ExchangeState::Ended;
  bool const isBehind = aReport.m_written > m_received || (aReport.m_hasHead && !m_hasHead) ||
                        aReport.m_state == ExchangeState::Ended;
  if (m_isReading && !isReceived) {
    m_machine->process_event(ProbeNotReceived{});
  } else if (m_isReading && isBehind) {
    m_machine->process_event(ProbeSuspicious{});
  } else {
    m_machine->process_event(ProbeUpToDate{});
  }
  Reschedule(aNow);
}

void ConnectionStateMachine::OnProbeFailed(base::Instant aNow)
{
  m_hasReachedAgent = false;
  m_machine->process_event(ProbeSuspicious{});
  Reschedule(aNow);
}

} // namespace sardinefold::agent
