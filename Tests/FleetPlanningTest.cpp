#define BOOST_TEST_MODULE FleetPlanning
#include "Programs/Loader/FleetPlanning.h"

#include "Programs/SystemClock.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

/// Loopback addresses of a gateway that listens and of another that does not.
base::Endpoint const kListening{ "127.0.5.1", 27'611 };
base::Endpoint const kOther{ "127.0.5.2", 27'611 };

agent::GatewayReport Report(char const* aHost, base::Duration aStoreAge)
{
  agent::GatewayReport report;
  report.m_host = base::HostId::FromValidated(aHost);
  report.m_incarnation = base::IncarnationId::FromValidated("one");
  report.m_failureDomain = base::FailureDomainId::FromValidated("a");
  report.m_storeAge = aStoreAge;
  return report;
}

agent::PartCrashReport PartCrash(char const* aUpstream)
{
  return { base::PromptPartId::FromValidated("dead"), base::UpstreamId::FromValidated(aUpstream),
           100ms, 300ms };
}

} // namespace

BOOST_AUTO_TEST_CASE(AGatewayLearnsTheNewestCatalogThatAnyGatewayAnnounced)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  base::CatalogVersion newest;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const summary = std::get_if<agent::PlannerSummary>(&aMessage)) {
      newest = summary->m_catalog;
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto run = [&]() -> awaitable<void> {
    for (std::uint64_t const version : { 7U, 4U }) {
      agent::GatewayPresence presence;
      presence.m_host = base::HostId::FromValidated("front-2");
      presence.m_catalog = base::CatalogVersion(version);
      planning.OnPresence(presence, loop.Now());
    }
    for (int tick = 0; tick < 20 && newest == base::CatalogVersion(); ++tick) {
      planning.OnReport(Report("front-1", 5s), kListening, loop.Now());
      planning.Tick(loop.Now());
      co_await loop.Sleep(20ms);
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_TEST(newest == base::CatalogVersion(7));
}

BOOST_AUTO_TEST_CASE(AGatewayRefusedByTheStoreLearnsTheStoreAgeOfAnother)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::optional<base::Duration> receivedAge;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const summary = std::get_if<agent::PlannerSummary>(&aMessage)) {
      receivedAge = summary->m_storeAge;
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto run = [&]() -> awaitable<void> {
    for (int tick = 0; tick < 20 && !receivedAge; ++tick) {
      planning.OnReport(Report("front-1", 5s), kListening, loop.Now());
      planning.OnReport(Report("front-2", 40ms), kOther, loop.Now());
      planning.Tick(loop.Now());
      co_await loop.Sleep(20ms);
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  // The age is that of the other gateway, not the receiver's own.
  BOOST_REQUIRE(receivedAge.has_value());
  BOOST_TEST((*receivedAge >= 40ms));
  BOOST_TEST((*receivedAge < 1s));
}

BOOST_AUTO_TEST_CASE(GatewaysLearnTheCrashesOfPartsOnceAndAStartedOneAtOnce)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::vector<agent::PlannerSummary> summaries;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const summary = std::get_if<agent::PlannerSummary>(&aMessage)) {
      summaries.push_back(*summary);
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto const start = loop.Now();
  auto const tick = [&](base::Duration aAfter, agent::GatewayReport aListener) -> awaitable<void> {
    auto other = Report("front-2", 40ms);
    other.m_partCrashes = { PartCrash("i-1"), PartCrash("i-1"), PartCrash("i-2") };
    other.m_partAcquittals = { { base::PromptPartId::FromValidated("50d"), 10ms } };
    auto third = other;
    third.m_host = base::HostId::FromValidated("front-3");
    auto const now = start + aAfter;
    planning.OnReport(aListener, kListening, now);
    planning.OnReport(other, kOther, now);
    planning.OnReport(third, kOther, now);
    planning.Tick(now);
    co_await loop.Sleep(20ms);
  };
  auto run = [&]() -> awaitable<void> {
    auto const listener = Report("front-1", 5s);
    co_await tick(0ms, listener);
    co_await tick(600ms, listener);
    auto restarted = listener;
    restarted.m_incarnation = base::IncarnationId::FromValidated("two");
    co_await tick(700ms, restarted);
    co_await tick(800ms, restarted);
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_REQUIRE(summaries.size() == 4U);
  BOOST_REQUIRE(summaries[0].m_partCrashes.size() == 2U);
  BOOST_TEST(summaries[0].m_partAcquittals.size() == 1U);
  BOOST_TEST((summaries[0].m_partCrashes[0].m_sentAge == 300ms));
  BOOST_TEST(summaries[1].m_partCrashes.empty());
  BOOST_REQUIRE(summaries[2].m_partCrashes.size() == 2U);
  // The planner adds the time that has passed since the first report.
  BOOST_TEST((summaries[2].m_partCrashes[0].m_age == 800ms));
  BOOST_TEST(summaries[3].m_partCrashes.empty());
}
