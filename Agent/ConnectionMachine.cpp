#include "Agent/ConnectionMachine.h"

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
/// The agent runs the exchange and has written nothing that did not arrive.
struct ProbeExplains
{};
/// The agent has written more than arrived, or could not be asked.
struct ProbeDoubts
{};
/// The agent has not got the request.
struct ProbeExcludes
{};
struct Close
{};

struct ConnectionFront : front::state_machine_def<ConnectionFront>
{
  struct Active : front::state<>
  {};
  struct Probing : front::state<>
  {};
  struct Doubted : front::state<>
  {};
  struct Lost : front::state<>
  {};
  struct Closed : front::state<>
  {};
  using initial_state = Active;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Active,  Progress,       Active,  none, none>,
    Row<Active,  SilenceElapsed, Probing, none, none>,
    Row<Active,  Close,          Closed,  none, none>,
    Row<Probing, Progress,       Active,  none, none>,
    Row<Probing, ProbeExplains,  Active,  none, none>,
    Row<Probing, ProbeDoubts,    Doubted, none, none>,
    Row<Probing, ProbeExcludes,  Lost,    none, none>,
    Row<Probing, Close,          Closed,  none, none>,
    Row<Doubted, Progress,       Active,  none, none>,
    Row<Doubted, ProbeExplains,  Active,  none, none>,
    Row<Doubted, ProbeDoubts,    Lost,    none, none>,
    Row<Doubted, ProbeExcludes,  Lost,    none, none>,
    Row<Doubted, Close,          Closed,  none, none>,
    Row<Lost,    Close,          Closed,  none, none>
  >;
  // clang-format on

  /// What no row names changes nothing: a late probe or byte comes too late.
  template<typename Event, typename Fsm>
  void no_transition(Event const&, Fsm&, int)
  {
  }
};

} // namespace

class ConnectionMachine::Machine : public boost::msm::back::state_machine<ConnectionFront>
{};

std::string_view ToText(ConnectionState aState)
{
  switch (aState) {
    case ConnectionState::Active:
      return "active";
    case ConnectionState::Probing:
      return "probing";
    case ConnectionState::Doubted:
      return "doubted";
    case ConnectionState::Lost:
      return "lost";
    case ConnectionState::Closed:
      return "closed";
  }
  return "";
}

ConnectionMachine::ConnectionMachine(ConnectionLimits aLimits, base::Instant aNow)
  : m_limits(aLimits)
  , m_machine(std::make_unique<Machine>())
  , m_nextCheck(aNow + aLimits.m_silence)
{
  m_machine->start();
}

ConnectionMachine::~ConnectionMachine() = default;
ConnectionMachine::ConnectionMachine(ConnectionMachine&&) noexcept = default;
ConnectionMachine& ConnectionMachine::operator=(ConnectionMachine&&) noexcept = default;

ConnectionState ConnectionMachine::State() const
{
  // The library numbers the states by their first appearance in the table.
  return static_cast<ConnectionState>(m_machine->current_state()[0]);
}

void ConnectionMachine::Reschedule(base::Instant aNow)
{
  switch (State()) {
    case ConnectionState::Active:
      m_nextCheck = aNow + m_limits.m_silence;
      return;
    case ConnectionState::Doubted:
      m_nextCheck = aNow + m_limits.m_doubt;
      return;
    case ConnectionState::Probing:
    case ConnectionState::Lost:
    case ConnectionState::Closed:
      m_nextCheck.reset();
      return;
  }
}

void ConnectionMachine::OnReadStarted(base::Instant aNow)
{
  m_isReading = true;
  Reschedule(aNow);
}

void ConnectionMachine::OnHead(base::Instant aNow)
{
  m_isReading = false;
  m_hasHead = true;
  m_machine->process_event(Progress{});
  Reschedule(aNow);
}

void ConnectionMachine::OnBytes(base::Bytes aBytes, base::Instant aNow)
{
  m_isReading = false;
  m_received += aBytes;
  m_machine->process_event(Progress{});
  Reschedule(aNow);
}

void ConnectionMachine::OnClosed()
{
  m_machine->process_event(Close{});
  m_nextCheck.reset();
}

bool ConnectionMachine::ShouldProbe(base::Instant aNow)
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

void ConnectionMachine::OnReport(ExchangeReport const& aReport, base::Instant aNow)
{
  m_hasReachedAgent = true;
  bool const isHere =
    aReport.m_state == ExchangeState::Running || aReport.m_state == ExchangeState::Ended;
  bool const hasMore = aReport.m_written > m_received || (aReport.m_hasHead && !m_hasHead) ||
                       aReport.m_state == ExchangeState::Ended;
  if (m_isReading && !isHere) {
    m_machine->process_event(ProbeExcludes{});
  } else if (m_isReading && hasMore) {
    m_machine->process_event(ProbeDoubts{});
  } else {
    m_machine->process_event(ProbeExplains{});
  }
  Reschedule(aNow);
}

void ConnectionMachine::OnProbeFailed(base::Instant aNow)
{
  m_hasReachedAgent = false;
  m_machine->process_event(ProbeDoubts{});
  Reschedule(aNow);
}

} // namespace sardinefold::agent
