#define BOOST_TEST_MODULE UpstreamHealth
#include "Agent/UpstreamHealth.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace sardinefold;
using namespace std::chrono_literals;
using agent::DeploymentHealth;
using agent::HealthState;
using agent::UpstreamHealth;

BOOST_TEST_DONT_PRINT_LOG_VALUE(agent::HealthState)

namespace {

constexpr base::Instant kStart{ 1000s };
constexpr agent::HealthLimits kLimits{};

base::UpstreamId Upstream(std::size_t aNumber)
{
  return base::UpstreamId::FromValidated("u" + std::to_string(aNumber));
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
