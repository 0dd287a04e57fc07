#define BOOST_TEST_MODULE ConnectionStateMachine
#include "Agent/ConnectionStateMachine.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using agent::ConnectionState;
using agent::ConnectionStateMachine;
using agent::ExchangeReport;
using agent::ExchangeState;
using namespace std::chrono_literals;

BOOST_TEST_DONT_PRINT_LOG_VALUE(agent::ConnectionState)

namespace {

constexpr base::Instant kStart{ 1000s };
constexpr agent::ConnectionLimits kLimits{};

ExchangeReport Report(ExchangeState aState, std::int64_t aWritten = 0, bool aHasHead = false)
{
  ExchangeReport report;
  report.m_state = aState;
  report.m_written = base::Bytes(aWritten);
  report.m_hasHead = aHasHead;
  return report;
}

ConnectionStateMachine Probing()
{
  ConnectionStateMachine machine(kLimits, kStart);
  BOOST_REQUIRE(machine.ShouldProbe(kStart + kLimits.m_silence));
  return machine;
}

ConnectionStateMachine Suspected()
{
  auto machine = Probing();
  machine.OnReport(Report(ExchangeState::Running, 5, true), kStart + kLimits.m_silence);
  return machine;
}

ConnectionStateMachine Lost()
{
  auto machine = Probing();
  machine.OnReport(Report(ExchangeState::Unseen), kStart + kLimits.m_silence);
  return machine;
}

} // namespace

BOOST_AUTO_TEST_CASE(ActiveTransitions)
{
  ConnectionStateMachine machine(kLimits, kStart);
  BOOST_TEST(machine.State() == ConnectionState::Active);
  BOOST_TEST(!machine.ShouldProbe(kStart + kLimits.m_silence - 1ns));
  machine.OnBytes(base::Bytes(1), kStart + 100ms);
  BOOST_TEST(machine.State() == ConnectionState::Active);
  machine.OnReadStarted(kStart + 100ms);
  BOOST_TEST(!machine.ShouldProbe(kStart + kLimits.m_silence));
  BOOST_TEST(machine.ShouldProbe(kStart + 100ms + kLimits.m_silence));
  BOOST_TEST(machine.State() == ConnectionState::Probing);
  ConnectionStateMachine closed(kLimits, kStart);
  closed.OnClosed();
  BOOST_TEST(closed.State() == ConnectionState::Closed);
  BOOST_TEST(!closed.NextCheck().has_value());
}

BOOST_AUTO_TEST_CASE(ActiveIgnoresLateProbeResponses)
{
  ConnectionStateMachine machine(kLimits, kStart);
  machine.OnReport(Report(ExchangeState::Unseen), kStart);
  BOOST_TEST(machine.State() == ConnectionState::Active);
  machine.OnProbeFailed(kStart);
  BOOST_TEST(machine.State() == ConnectionState::Active);
}

BOOST_AUTO_TEST_CASE(ProbingTransitions)
{
  auto progressed = Probing();
  progressed.OnHead(kStart + 2s);
  BOOST_TEST(progressed.State() == ConnectionState::Active);
  auto upToDate = Probing();
  upToDate.OnReport(Report(ExchangeState::Running), kStart + 2s);
  BOOST_TEST(upToDate.State() == ConnectionState::Active);
  BOOST_TEST((upToDate.NextCheck() == kStart + 2s + kLimits.m_silence));
  auto behind = Probing();
  behind.OnReport(Report(ExchangeState::Running, 5, true), kStart + 2s);
  BOOST_TEST(behind.State() == ConnectionState::Suspected);
  auto ended = Probing();
  ended.OnReport(Report(ExchangeState::Ended, 0, false), kStart + 2s);
  BOOST_TEST(ended.State() == ConnectionState::Suspected);
  auto failed = Probing();
  failed.OnProbeFailed(kStart + 2s);
  BOOST_TEST(failed.State() == ConnectionState::Suspected);
  BOOST_TEST(!failed.HasReachedAgent());
  BOOST_TEST(Lost().State() == ConnectionState::Lost);
  BOOST_TEST(Lost().HasReachedAgent());
  auto closed = Probing();
  closed.OnClosed();
  BOOST_TEST(closed.State() == ConnectionState::Closed);
}

BOOST_AUTO_TEST_CASE(SuspectedTransitions)
{
  auto const now = kStart + kLimits.m_silence + kLimits.m_recheckDelay;
  auto machine = Suspected();
  BOOST_TEST((machine.NextCheck() == now));
  BOOST_TEST(machine.ShouldProbe(now));
  BOOST_TEST(machine.State() == ConnectionState::Suspected);
  machine.OnReport(Report(ExchangeState::Running, 5, true), now);
  BOOST_TEST(machine.State() == ConnectionState::Lost);
  auto progressed = Suspected();
  progressed.OnHead(now);
  BOOST_TEST(progressed.State() == ConnectionState::Active);
  auto upToDate = Suspected();
  upToDate.OnReport(Report(ExchangeState::Running), now);
  BOOST_TEST(upToDate.State() == ConnectionState::Active);
  auto denied = Suspected();
  denied.OnReport(Report(ExchangeState::Denied), now);
  BOOST_TEST(denied.State() == ConnectionState::Lost);
  auto failed = Suspected();
  failed.OnProbeFailed(now);
  BOOST_TEST(failed.State() == ConnectionState::Lost);
  auto closed = Suspected();
  closed.OnClosed();
  BOOST_TEST(closed.State() == ConnectionState::Closed);
}

BOOST_AUTO_TEST_CASE(LostEndsOnlyByClosing)
{
  auto machine = Lost();
  machine.OnBytes(base::Bytes(1), kStart + 3s);
  BOOST_TEST(machine.State() == ConnectionState::Lost);
  machine.OnReport(Report(ExchangeState::Running), kStart + 3s);
  BOOST_TEST(machine.State() == ConnectionState::Lost);
  BOOST_TEST(!machine.ShouldProbe(kStart + 60s));
  machine.OnClosed();
  BOOST_TEST(machine.State() == ConnectionState::Closed);
  machine.OnBytes(base::Bytes(1), kStart + 4s);
  BOOST_TEST(machine.State() == ConnectionState::Closed);
}

BOOST_AUTO_TEST_CASE(SlowReaderIsNotSilence)
{
  ConnectionStateMachine machine(kLimits, kStart);
  machine.OnHead(kStart + 10ms);
  BOOST_TEST(!machine.ShouldProbe(kStart + 20s));
  machine.OnReadStarted(kStart + 20s);
  BOOST_TEST(!machine.ShouldProbe(kStart + 20s + kLimits.m_silence - 1ns));
  BOOST_TEST(machine.ShouldProbe(kStart + 20s + kLimits.m_silence));
}
