#define BOOST_TEST_MODULE UpstreamHealth
#include "Agent/UpstreamHealth.h"

#include "Agent/SuspectRegistry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace sardinefold;
using namespace std::chrono_literals;
using agent::DeploymentHealth;
using agent::HealthState;
using agent::SuspectRegistry;
using agent::UpstreamHealth;

BOOST_TEST_DONT_PRINT_LOG_VALUE(agent::HealthState)

namespace {

constexpr base::Instant kStart{ 1000s };
constexpr agent::HealthLimits kLimits{};

base::UpstreamId Upstream(std::size_t aNumber)
{
  return base::UpstreamId::FromValidated("u" + std::to_string(aNumber));
}

base::FingerprintId Fingerprint(std::string aName)
{
  return base::FingerprintId::FromValidated(std::move(aName));
}

UpstreamHealth InState(HealthState aState)
{
  UpstreamHealth health(kLimits);
  if (aState == HealthState::Healthy) {
    return health;
  }
  if (aState == HealthState::Draining) {
    health.OnDraining();
    return health;
  }
  health.OnFailed(true, kStart);
  if (aState == HealthState::Suspected) {
    return health;
  }
  health.OnFailed(true, kStart);
  health.OnFailed(true, kStart);
  if (aState == HealthState::Probing) {
    health.Tick(kStart + kLimits.m_ejection);
  }
  BOOST_REQUIRE(health.State() == aState);
  return health;
}

constexpr std::array kStates{ HealthState::Healthy, HealthState::Suspected, HealthState::Ejected,
                              HealthState::Probing, HealthState::Draining };

/// Checks the state after an event for each initial state of kStates.
template<typename Event>
void CheckEach(Event aEvent, std::array<HealthState, kStates.size()> aExpected)
{
  for (std::size_t index = 0; index < kStates.size(); ++index) {
    auto health = InState(kStates.at(index));
    aEvent(health);
    BOOST_TEST_CONTEXT("from " << ToText(kStates.at(index)))
    {
      BOOST_TEST(health.State() == aExpected.at(index));
    }
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(EachEventInEachState)
{
  using S = HealthState;
  CheckEach([](UpstreamHealth& aHealth) { aHealth.OnServed(kStart); },
            { S::Healthy, S::Healthy, S::Ejected, S::Healthy, S::Draining });
  CheckEach([](UpstreamHealth& aHealth) { aHealth.OnFailed(false, kStart); },
            { S::Suspected, S::Suspected, S::Ejected, S::Ejected, S::Draining });
  CheckEach(
    [](UpstreamHealth& aHealth) {
      aHealth.OnFailed(true, kStart);
      aHealth.OnFailed(true, kStart);
      aHealth.OnFailed(true, kStart);
    },
    { S::Ejected, S::Ejected, S::Ejected, S::Ejected, S::Draining });
  CheckEach([](UpstreamHealth& aHealth) { aHealth.Tick(kStart + 1h); },
            { S::Healthy, S::Suspected, S::Probing, S::Probing, S::Draining });
  CheckEach([](UpstreamHealth& aHealth) { aHealth.OnDraining(); },
            { S::Draining, S::Draining, S::Draining, S::Draining, S::Draining });
  CheckEach([](UpstreamHealth& aHealth) { aHealth.OnReturned(); },
            { S::Healthy, S::Suspected, S::Ejected, S::Probing, S::Suspected });
}

BOOST_AUTO_TEST_CASE(ProbingTakesOneRequestAtATime)
{
  auto health = InState(HealthState::Probing);
  auto const now = kStart + kLimits.m_ejection;
  BOOST_TEST(health.TakeRequest(now));
  BOOST_TEST(!health.TakeRequest(now));
  BOOST_TEST(!health.TakeRequest(now + kLimits.m_probe - 1ns));
  BOOST_TEST(health.TakeRequest(now + kLimits.m_probe));
  health.OnServed(now + kLimits.m_probe);
  BOOST_TEST(health.TakeRequest(now + kLimits.m_probe));
  BOOST_TEST(health.TakeRequest(now + kLimits.m_probe));
}

BOOST_AUTO_TEST_CASE(EjectionsGrowUntilRecovery)
{
  auto health = InState(HealthState::Ejected);
  auto now = kStart + kLimits.m_ejection;
  BOOST_TEST(!health.TakeRequest(now - 1ns));
  BOOST_TEST(health.TakeRequest(now));
  health.OnFailed(true, now);
  BOOST_TEST(!health.TakeRequest(now + 2 * kLimits.m_ejection - 1ns));
  BOOST_TEST(health.TakeRequest(now + 2 * kLimits.m_ejection));
  now += 2 * kLimits.m_ejection;
  for (int round = 0; round < 10; ++round) {
    health.OnFailed(true, now);
    now += kLimits.m_maximumEjection;
    BOOST_TEST(health.TakeRequest(now));
  }
  health.OnServed(now);
  BOOST_TEST(health.State() == HealthState::Healthy);
}

BOOST_AUTO_TEST_CASE(EjectedShareIsLimited)
{
  constexpr std::size_t kUpstreams = 10;
  DeploymentHealth deployment(kLimits, 0.3);
  for (std::size_t number = 0; number < kUpstreams; ++number) {
    deployment.Add(Upstream(number));
  }
  for (int round = 0; round < 50; ++round) {
    auto const now = kStart + 100ms * round;
    for (std::size_t number = 0; number < kUpstreams; ++number) {
      auto const closed = deployment.Blocked(now);
      bool const isClosed = std::ranges::find(closed, Upstream(number)) != closed.end();
      bool const mayTake = deployment.TakeRequest(Upstream(number), now);
      BOOST_TEST(mayTake != isClosed);
      if (mayTake) {
        deployment.OnFailed(Upstream(number), now);
      }
      BOOST_TEST(deployment.Ejected() <= 3U);
    }
  }
  BOOST_TEST(deployment.Ejected() == 3U);
}

BOOST_AUTO_TEST_CASE(TheOnlyUpstreamIsNeverEjected)
{
  DeploymentHealth deployment(kLimits, 0.5);
  deployment.Add(Upstream(1));
  for (int round = 0; round < 10; ++round) {
    deployment.OnFailed(Upstream(1), kStart);
  }
  BOOST_TEST(deployment.TakeRequest(Upstream(1), kStart));
  BOOST_TEST(!deployment.TakeRequest(Upstream(2), kStart));
}

BOOST_AUTO_TEST_CASE(DrainingUpstreamGetsNoRequests)
{
  DeploymentHealth deployment(kLimits, 0.5);
  deployment.Add(Upstream(1));
  deployment.SetDraining(Upstream(1), true);
  deployment.OnServed(Upstream(1), kStart);
  BOOST_TEST(!deployment.TakeRequest(Upstream(1), kStart));
  deployment.SetDraining(Upstream(1), false);
  BOOST_TEST(deployment.TakeRequest(Upstream(1), kStart));
}

BOOST_AUTO_TEST_CASE(CrashingRequestIsRefusedEverywhereAfterTwoUpstreams)
{
  SuspectRegistry first(agent::SuspectLimits{});
  SuspectRegistry second(agent::SuspectLimits{});
  auto const crashing = Fingerprint("crasher");
  auto const neighbour = Fingerprint("neighbour");
  first.OnSent(crashing, Upstream(1));
  first.OnSent(neighbour, Upstream(1));
  auto reported = first.OnCrash(Upstream(1), kStart);
  BOOST_TEST(reported.size() == 2U);
  BOOST_TEST(first.IsSuspect(crashing, kStart));
  BOOST_TEST(!first.RefusedFor(crashing, kStart).has_value());
  for (auto const& one : reported) {
    BOOST_TEST(second.OnCrashReport(one, kStart));
  }
  second.OnSent(crashing, Upstream(2));
  second.OnSent(neighbour, Upstream(3));
  second.OnEnded(neighbour, Upstream(3));
  reported = second.OnCrash(Upstream(2), kStart + 1s);
  BOOST_REQUIRE(reported.size() == 1U);
  BOOST_TEST(first.OnCrashReport(reported.front(), kStart + 1s));
  for (auto const* const registry : { &first, &second }) {
    BOOST_TEST(registry->RefusedFor(crashing, kStart + 2s).has_value());
    BOOST_TEST(!registry->RefusedFor(neighbour, kStart + 2s).has_value());
  }
  BOOST_TEST(!first.RefusedFor(crashing, kStart + 11min).has_value());
  first.DiscardExpired(kStart + 11min);
  BOOST_TEST(first.All(kStart + 11min).empty());
}

BOOST_AUTO_TEST_CASE(LaterResponseClearsACrashReport)
{
  SuspectRegistry registry(agent::SuspectLimits{});
  for (int number = 1; number <= 3; ++number) {
    registry.OnCrashReport({ Fingerprint("popular"), Upstream(number), {} }, kStart);
  }
  BOOST_TEST(registry.RefusedFor(Fingerprint("popular"), kStart).has_value());
  // Responses to requests sent before the crash do not clear the report.
  registry.OnResponse(Upstream(1), kStart - 1s);
  BOOST_TEST(registry.RefusedFor(Fingerprint("popular"), kStart).has_value());
  registry.OnResponse(Upstream(1), kStart + 1s);
  registry.OnResponse(Upstream(2), kStart + 1s);
  BOOST_TEST(!registry.RefusedFor(Fingerprint("popular"), kStart + 1s).has_value());
  BOOST_TEST(registry.IsSuspect(Fingerprint("popular"), kStart + 1s));
  registry.OnResponse(Upstream(3), kStart + 1s);
  BOOST_TEST(!registry.IsSuspect(Fingerprint("popular"), kStart + 1s));
}

BOOST_AUTO_TEST_CASE(ARequestThatIsServedIsNoSuspect)
{
  SuspectRegistry registry(agent::SuspectLimits{});
  registry.OnCrashReport({ Fingerprint("popular"), Upstream(1), {} }, kStart);
  registry.OnServed(Fingerprint("popular"));
  BOOST_TEST(!registry.IsSuspect(Fingerprint("popular"), kStart));
}

BOOST_AUTO_TEST_CASE(RepeatedCrashesOfOneUpstreamCauseNoRefusal)
{
  SuspectRegistry registry(agent::SuspectLimits{});
  for (auto const at : { 0s, 60s }) {
    registry.OnSent(Fingerprint("f"), Upstream(1));
    registry.OnCrash(Upstream(1), kStart + at);
  }
  BOOST_TEST(!registry.RefusedFor(Fingerprint("f"), kStart + 61s).has_value());
}

BOOST_AUTO_TEST_CASE(RepeatedAndExpiredCrashReportsAreIgnored)
{
  SuspectRegistry registry(agent::SuspectLimits{});
  agent::CrashReport const reported{ Fingerprint("f"), Upstream(1), 100ms };
  BOOST_TEST(registry.OnCrashReport(reported, kStart));
  // The same crash is reported over a longer path, with its age rounded down.
  BOOST_TEST(!registry.OnCrashReport(reported, kStart + 50ms));
  agent::CrashReport const old{ Fingerprint("g"), Upstream(1), 1h };
  BOOST_TEST(!registry.OnCrashReport(old, kStart));
}

BOOST_AUTO_TEST_CASE(SuspectCountIsBounded)
{
  agent::SuspectLimits limits;
  limits.m_maximum = 10;
  SuspectRegistry registry(limits);
  for (int number = 0; number < 100; ++number) {
    auto const at = kStart + 1ms * number;
    registry.OnCrashReport({ Fingerprint("f" + std::to_string(number)), Upstream(1), 0s }, at);
  }
  auto const all = registry.All(kStart + 1s);
  BOOST_TEST(all.size() == 10U);
  BOOST_TEST(registry.IsSuspect(Fingerprint("f99"), kStart + 1s));
  BOOST_TEST(!registry.IsSuspect(Fingerprint("f0"), kStart + 1s));
}
