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

// All watchers of a failure domain are cut from the store; a gateway elsewhere knows of the
// evacuation.
BOOST_AUTO_TEST_CASE(AGatewayLearnsOfAnEvacuationThatAnotherOneKnows)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::vector<entry::EvacuationState> received;
  std::size_t summaries = 0;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const summary = std::get_if<agent::PlannerSummary>(&aMessage)) {
      ++summaries;
      if (summary->m_evacuations) {
        received.push_back(*summary->m_evacuations);
      }
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  std::set const evacuated{ base::FailureDomainId::FromValidated("b") };
  auto const tick = [&](std::optional<entry::EvacuationState> aListener,
                        std::optional<entry::EvacuationState> aOther) -> awaitable<void> {
    auto listener = Report("front-1", 5s);
    listener.m_evacuations = std::move(aListener);
    auto other = Report("front-2", 40ms);
    other.m_evacuations = std::move(aOther);
    planning.OnReport(listener, kListening, loop.Now());
    planning.OnReport(other, kOther, loop.Now());
    planning.Tick(loop.Now());
    co_await loop.Sleep(20ms);
  };
  auto const state = [](std::uint64_t aVersion, std::set<base::FailureDomainId> aDomains) {
    return entry::EvacuationState{ base::ObjectVersion(aVersion), std::move(aDomains) };
  };
  auto run = [&]() -> awaitable<void> {
    // A gateway that follows no evacuations gets none.
    co_await tick(std::nullopt, state(4, evacuated));
    BOOST_TEST(received.empty());
    co_await tick(state(3, {}), std::nullopt);
    BOOST_REQUIRE(received.size() == 1U);
    BOOST_TEST((received.back() == state(4, evacuated)));
    // The gateway knows as much, or more.
    co_await tick(state(3, evacuated), std::nullopt);
    co_await tick(state(9, {}), std::nullopt);
    // A late report of the other one takes nothing back.
    co_await tick(std::nullopt, state(4, evacuated));
    BOOST_TEST(received.size() == 1U);
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_TEST(summaries == 5U);
}

BOOST_AUTO_TEST_CASE(GatewaysLearnTheCrashesOfPartsOnceAndAStartedOneAtOnce)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::vector<agent::PlannerNews> newsOfTick;
  std::vector<agent::PlannerNews> news;
  std::vector<std::size_t> crashesInTick;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const message = std::get_if<agent::PlannerNews>(&aMessage)) {
      newsOfTick.push_back(*message);
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
    std::size_t crashes = 0;
    for (auto const& message : std::exchange(newsOfTick, {})) {
      crashes += message.m_partCrashes.size();
      news.push_back(message);
    }
    crashesInTick.push_back(crashes);
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
  BOOST_REQUIRE((crashesInTick == std::vector<std::size_t>{ 2, 0, 2, 0 }));
  BOOST_TEST(news.front().m_partAcquittals.size() == 1U);
  BOOST_TEST((news.front().m_partCrashes[0].m_sentAge == 300ms));
  auto const afterRestart = std::ranges::find_if(
    news.begin() + 1, news.end(), [](auto const& aNews) { return !aNews.m_partCrashes.empty(); });
  // The planner adds the time that has passed since the first report.
  BOOST_TEST((afterRestart->m_partCrashes[0].m_age == 800ms));
}

BOOST_AUTO_TEST_CASE(AGatewayLearnsALimitThatAnotherOneReportsAndItsPermits)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::vector<engine::RequestLimitGrant> received;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const summary = std::get_if<agent::PlannerSummary>(&aMessage)) {
      received = summary->m_requestLimits;
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto const start = loop.Now();
  engine::UpstreamStart const upstream{ engine::InstanceId::FromValidated("i-1"), kOther, 7 };
  auto run = [&]() -> awaitable<void> {
    auto other = Report("front-2", 40ms);
    other.m_requestLimits = {
      { { upstream, base::RequestsPerSecond(2), 50ms }, base::RequestsPerSecond(3), 0, 0 }
    };
    auto listener = Report("front-1", 40ms);
    for (auto after = 0ms; after <= 5000ms; after += 100ms) {
      auto const now = start + after;
      planning.OnReport(other, kOther, now);
      planning.OnReport(listener, kListening, now);
      planning.Tick(now);
      co_await loop.Sleep(2ms);
      if (after == 1200ms) {
        BOOST_REQUIRE(received.size() == 1U);
        BOOST_TEST((received[0].m_state.m_start == upstream));
        BOOST_TEST((received[0].m_state.m_limit == base::RequestsPerSecond(2)));
        BOOST_TEST(received[0].m_total == 0U);
        listener.m_requestLimits = { { received[0].m_state, base::RequestsPerSecond(3), 100, 0 } };
      } else if (after > 1200ms && !received.empty()) {
        listener.m_requestLimits[0].m_received = received[0].m_total;
      }
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_REQUIRE(received.size() == 1U);
  BOOST_TEST(received[0].m_total >= 6U);
  BOOST_TEST(received[0].m_total <= 9U);
  BOOST_TEST(received[0].m_waiting == 100U);
}

/// With hundreds of crashes reported five times each, summaries that list them for each
/// gateway take the planner longer than its tick.
BOOST_AUTO_TEST_CASE(ACrashIsPassedOnAFewTimesHoweverOftenItIsReported)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::vector<agent::RequestCrashReport> crashes;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const message = std::get_if<agent::PlannerNews>(&aMessage)) {
      crashes.insert(crashes.end(), message->m_crashes.begin(), message->m_crashes.end());
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto const start = loop.Now();
  auto run = [&]() -> awaitable<void> {
    for (int tick = 0; tick < 10; ++tick) {
      auto const now = start + tick * 100ms;
      auto other = Report("front-2", 40ms);
      other.m_crashes = { { base::FingerprintId::FromValidated("77"),
                            base::UpstreamId::FromValidated("i-1"), tick * 100ms + 10ms,
                            tick * 100ms + 15ms } };
      planning.OnReport(Report("front-1", 40ms), kListening, now);
      planning.OnReport(other, kOther, now);
      planning.Tick(now);
      co_await loop.Sleep(10ms);
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_REQUIRE(crashes.size() == 3U);
  BOOST_TEST((crashes[0].m_age == 10ms));
  BOOST_TEST((crashes[2].m_age == 210ms));
}

/// The gateways report a crash for half a second. One that starts later sent the request
/// that crashed its upstreams to three more.
BOOST_AUTO_TEST_CASE(AStartedGatewayIsToldWhichRequestsCrashedUpstreamsBeforeItServes)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::vector<agent::RequestCrashReport> told;
  bool hasSummary = false;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    hasSummary = hasSummary || std::holds_alternative<agent::PlannerSummary>(aMessage);
    auto const* const news = std::get_if<agent::PlannerNews>(&aMessage);
    if (news && !hasSummary) {
      told = news->m_crashes;
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto const start = loop.Now();
  auto run = [&]() -> awaitable<void> {
    auto knowing = Report("front-2", 40ms);
    for (auto const* const upstream : { "i-1", "i-2", "i-3" }) {
      knowing.m_crashes.push_back({ base::FingerprintId::FromValidated("77"),
                                    base::UpstreamId::FromValidated(upstream), 10ms, 15ms });
    }
    planning.OnReport(knowing, kOther, start);
    planning.Tick(start);
    auto const later = start + 60s;
    planning.OnReport(Report("front-2", 40ms), kOther, later);
    planning.Tick(later);
    auto starting = Report("front-1", 40ms);
    starting.m_allowance.m_isJoining = true;
    planning.OnReport(starting, kListening, later);
    co_await loop.Sleep(20ms);
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_TEST(hasSummary);
  BOOST_REQUIRE(told.size() == 3U);
  BOOST_TEST((told[0].m_age == 60s + 10ms));
}

/// Two gateways of the largest processor share of a domain are named to all.
BOOST_AUTO_TEST_CASE(ThePlannerNamesTheAggregatorsOfADomain)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  agent::DomainAggregators named;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const summary = std::get_if<agent::PlannerSummary>(&aMessage)) {
      named = summary->m_aggregators;
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto const start = loop.Now();
  auto run = [&]() -> awaitable<void> {
    planning.OnReport(Report("front-1", 40ms), kListening, start);
    for (unsigned number = 2; number <= 5; ++number) {
      auto report = Report(("front-" + std::to_string(number)).c_str(), 40ms);
      report.m_processorShare = number >= 4 ? 0.5 : 0.09;
      planning.OnReport(report, { "127.0.5." + std::to_string(number), 27'611 }, start);
    }
    planning.Tick(start);
    co_await loop.Sleep(20ms);
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  std::vector<base::Endpoint> const expected{ { "127.0.5.4", 27'611 }, { "127.0.5.5", 27'611 } };
  BOOST_REQUIRE(named.size() == 1U);
  BOOST_TEST((named.begin()->second == expected));
}

/// Three of a loader's heartbeats lost, or a link that is down for some seconds, must not
/// have its engine's load begun again at another.
BOOST_AUTO_TEST_CASE(ASilentLoadersLoadIsNotOrderedFromAnother)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::vector<base::ModelId> ordered;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const swap = std::get_if<agent::SwapRequest>(&aMessage)) {
      ordered.push_back(swap->m_load);
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto const model = base::ModelId::FromValidated("rare");
  auto const deployment = base::DeploymentId::FromValidated("assistant");
  operators::EngineSpec spec;
  spec.m_weights = base::Megabytes(200);
  operators::ModelSpec facts;
  facts.m_id = model;
  facts.m_weights = base::Megabytes(70);
  facts.m_loadFromStore = 8s;
  spec.m_models.emplace(model, facts);
  planning.SetSpec(deployment, spec);
  auto const start = loop.Now();
  auto const status = [&](char const* aHost) {
    agent::EngineStatus result;
    result.m_host = base::HostId::FromValidated(aHost);
    result.m_deployment = deployment;
    result.m_canOrder = true;
    return result;
  };
  auto run = [&]() -> awaitable<void> {
    auto loading = status("side-1");
    loading.m_change = { model, 8s, std::nullopt };
    planning.OnStatus(loading, kOther, start);
    // The other loader reports on.
    for (auto after = 0ms; after <= 7000ms; after += 500ms) {
      auto const now = start + after;
      auto report = Report("front-1", 40ms);
      engine::WaitingDemand demand;
      demand.m_model = model;
      demand.m_waiting = 3;
      demand.m_worth = 9;
      demand.m_timeToGoal = 3s;
      report.m_demand = { demand };
      planning.OnReport(report, kOther, now);
      planning.OnStatus(status("side-2"), kListening, now);
      planning.Tick(now);
      co_await loop.Sleep(5ms);
      if (after == 5500ms) {
        BOOST_TEST(ordered.empty());
      }
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  // By then the engine counts as gone.
  BOOST_TEST(!ordered.empty());
}

/// One that starts while the others know of a drained upstream is told with its first
/// news, not after the next interval.
BOOST_AUTO_TEST_CASE(AStartedGatewayIsToldAtOnceWhatDrained)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::FleetMessenger messenger(loop);
  std::size_t told = 0;
  auto const onMessage = [&](agent::FleetMessage const& aMessage, base::Endpoint const&) {
    if (auto const* const news = std::get_if<agent::PlannerNews>(&aMessage)) {
      told += news->m_drained.size();
    }
  };
  BOOST_REQUIRE(messenger.Listen(kListening, onMessage).has_value());
  base::ProcessProfile const profile;
  programs::FleetPlanning planning(profile, messenger);
  auto const start = loop.Now();
  auto run = [&]() -> awaitable<void> {
    auto knowing = Report("front-2", 40ms);
    knowing.m_drained = { { engine::InstanceId::FromValidated("i-1"), { "10.0.0.1", 80 }, 123 } };
    planning.OnReport(knowing, kOther, start);
    planning.Tick(start);
    // What changes in between leaves it out.
    auto partial = Report("front-2", 40ms);
    partial.m_isComplete = false;
    planning.OnReport(partial, kOther, start + 100ms);
    planning.OnReport(Report("front-1", 40ms), kListening, start + 100ms);
    planning.Tick(start + 100ms);
    co_await loop.Sleep(20ms);
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_TEST(told == 1U);
}
