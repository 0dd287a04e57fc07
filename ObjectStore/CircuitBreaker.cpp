#include "ObjectStore/CircuitBreaker.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/euml/operator.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace sardinefold::objectstore {

namespace {

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::none;
using msm::front::Row;

struct CallRequested
{
  base::Instant m_now;
};

struct CallFailed
{
  base::Instant m_now;
};

struct CallSucceeded
{};

struct CircuitDefinition : public msm::front::state_machine_def<CircuitDefinition>
{
  CircuitDefinition(CircuitLimits aLimits, std::uint64_t aSeed)
    : m_limits(aLimits)
    , m_backoff(aLimits.m_backoff, aSeed)
  {
  }

  // The states are numbered in the order in which the table names them, which is
  // that of CircuitState.
  struct Closed : public msm::front::state<>
  {};
  struct Open : public msm::front::state<>
  {};
  struct HalfOpen : public msm::front::state<>
  {};
  using initial_state = Closed; // NOLINT(readability-identifier-naming)

  struct IsLastFailure
  {
    template<typename StateMachine, typename Source, typename Target>
    bool operator()(CallFailed const&, StateMachine& aStateMachine, Source&, Target&) const
    {
      return aStateMachine.m_failures + 1 >= aStateMachine.m_limits.m_failures;
    }
  };

  struct IsProbeDue
  {
    template<typename StateMachine, typename Source, typename Target>
    bool operator()(CallRequested const& aEvent, StateMachine& aStateMachine, Source&,
                    Target&) const
    {
      return aEvent.m_now >= aStateMachine.m_probeAt;
    }
  };

  struct CountFailure
  {
    template<typename StateMachine, typename Source, typename Target>
    void operator()(CallFailed const&, StateMachine& aStateMachine, Source&, Target&) const
    {
      ++aStateMachine.m_failures;
    }
  };

  struct ScheduleProbe
  {
    template<typename StateMachine, typename Source, typename Target>
    void operator()(CallFailed const& aEvent, StateMachine& aStateMachine, Source&, Target&) const
    {
      aStateMachine.m_probeAt = aEvent.m_now + aStateMachine.m_backoff.Next();
    }
  };

  struct StartProbe
  {
    template<typename StateMachine, typename Source, typename Target>
    void operator()(CallRequested const& aEvent, StateMachine& aStateMachine, Source&,
                    Target&) const
    {
      // The next probe is due only once this one counts as lost.
      aStateMachine.m_probeAt = aEvent.m_now + aStateMachine.m_limits.m_probeTime;
      aStateMachine.m_isAllowed = true;
    }
  };

  struct AllowCall
  {
    template<typename StateMachine, typename Source, typename Target>
    void operator()(CallRequested const&, StateMachine& aStateMachine, Source&, Target&) const
    {
      aStateMachine.m_isAllowed = true;
    }
  };

  struct Reset
  {
    template<typename StateMachine, typename Source, typename Target>
    void operator()(CallSucceeded const&, StateMachine& aStateMachine, Source&, Target&) const
    {
      aStateMachine.m_failures = 0;
      aStateMachine.m_backoff.Reset();
    }
  };

  // clang-format off
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : public mpl::vector<
    //  state     event          next      action         guard
    Row<Closed,   CallRequested,    none,     AllowCall,     none>,
    Row<Closed,   CallSucceeded, none,     Reset,         none>,
    Row<Closed,   CallFailed,    none,     CountFailure,  none>,
    Row<Closed,   CallFailed,    Open,     ScheduleProbe, IsLastFailure>,
    Row<Open,     CallRequested,    HalfOpen, StartProbe,    IsProbeDue>,
    Row<Open,     CallSucceeded, Closed,   Reset,         none>,
    Row<HalfOpen, CallRequested,    none,     StartProbe,    IsProbeDue>,
    Row<HalfOpen, CallFailed,    Open,     ScheduleProbe, none>,
    Row<HalfOpen, CallSucceeded, Closed,   Reset,         none>
  > {};
  // clang-format on

  template<typename StateMachine, typename Event>
  void no_transition(Event const&, StateMachine&, int) // NOLINT(readability-identifier-naming)
  {
    // Calls made before the circuit opened may still fail, and refused calls do
    // not change the state.
  }

  CircuitLimits m_limits;
  Backoff m_backoff;
  std::uint32_t m_failures = 0;
  base::Instant m_probeAt{};
  bool m_isAllowed = false;
};

} // namespace

class CircuitBreaker::StateMachine : public msm::back::state_machine<CircuitDefinition>
{
public:
  using msm::back::state_machine<CircuitDefinition>::state_machine;
};

CircuitBreaker::CircuitBreaker(CircuitLimits aLimits, std::uint64_t aSeed)
  : m_stateMachine(std::make_unique<StateMachine>(aLimits, aSeed))
{
  m_stateMachine->start();
}

CircuitBreaker::~CircuitBreaker() = default;
CircuitBreaker::CircuitBreaker(CircuitBreaker&&) noexcept = default;
CircuitBreaker& CircuitBreaker::operator=(CircuitBreaker&&) noexcept = default;

bool CircuitBreaker::Allow(base::Instant aNow)
{
  m_stateMachine->m_isAllowed = false;
  m_stateMachine->process_event(CallRequested{ aNow });
  return m_stateMachine->m_isAllowed;
}

bool CircuitBreaker::IsRefusing(base::Instant aNow) const
{
  return State() != CircuitState::Closed && aNow < m_stateMachine->m_probeAt;
}

void CircuitBreaker::OnSuccess(base::Instant)
{
  m_stateMachine->process_event(CallSucceeded{});
}

void CircuitBreaker::OnFailure(base::Instant aNow)
{
  m_stateMachine->process_event(CallFailed{ aNow });
}

CircuitState CircuitBreaker::State() const
{
  return static_cast<CircuitState>(m_stateMachine->current_state()[0]);
}

} // namespace sardinefold::objectstore
