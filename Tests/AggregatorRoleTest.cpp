#define BOOST_TEST_MODULE AggregatorRole
#include "Agent/Fleet/AggregatorRole.h"

#include "Agent/Fleet/DomainPresenceBoard.h"
#include "Agent/Fleet/EngineDigestBoard.h"
#include "Programs/Loader/GatewayRegistry.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::agent;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };
auto const kDomain = base::FailureDomainId::FromValidated("a");
auto const kOtherDomain = base::FailureDomainId::FromValidated("b");
base::Endpoint const kFirst{ "10.0.0.1", 7600 };
base::Endpoint const kSecond{ "10.0.0.2", 7600 };
base::Endpoint const kThird{ "10.0.0.3", 7600 };
base::Endpoint const kRemote{ "10.0.1.1", 7600 };
base::Endpoint const kRemoteDeputy{ "10.0.1.2", 7600 };

DomainAggregators Named()
{
  return { { kDomain, { kFirst, kSecond } }, { kOtherDomain, { kRemote, kRemoteDeputy } } };
}

AggregatorRole RoleOf(base::Endpoint const& aSelf)
{
  return { {}, kDomain, aSelf };
}

EngineStatus Status(std::string aHost, std::uint64_t aNumber, std::string aIncarnation = "one")
{
  EngineStatus status;
  status.m_host = base::HostId::FromValidated(std::move(aHost));
  status.m_failureDomain = kDomain;
  status.m_incarnation = base::IncarnationId::FromValidated(std::move(aIncarnation));
  status.m_number = aNumber;
  return status;
}

EngineHeartbeat Heartbeat(std::string aHost, std::uint64_t aNumber, unsigned aRunning = 0)
{
  EngineHeartbeat heartbeat;
  heartbeat.m_host = base::HostId::FromValidated(std::move(aHost));
  heartbeat.m_incarnation = base::IncarnationId::FromValidated("one");
  heartbeat.m_number = aNumber;
  heartbeat.m_running = aRunning;
  return heartbeat;
}

GatewayPresence Presence(std::string aHost, std::uint64_t aCatalog = 1)
{
  GatewayPresence presence;
  presence.m_host = base::HostId::FromValidated(std::move(aHost));
  presence.m_failureDomain = kDomain;
  presence.m_planner = { "10.0.9.1", 7600 };
  presence.m_catalog = base::CatalogVersion(aCatalog);
  return presence;
}

bool Contains(std::vector<MulticastReceiver> const& aReceivers, base::Endpoint const& aEndpoint)
{
  return std::ranges::find(aReceivers, aEndpoint, &MulticastReceiver::m_endpoint) !=
         aReceivers.end();
}

} // namespace

BOOST_AUTO_TEST_CASE(TheGatewaysWithMostProcessorAggregate)
{
  std::vector<AggregatorCandidate> candidates;
  for (unsigned number = 1; number <= 5; ++number) {
    std::string const digit = std::to_string(number);
    candidates.push_back({ base::HostId::FromValidated("front-" + digit),
                           { "10.0.0." + digit, 7600 },
                           kDomain,
                           number >= 4 ? 0.5 : 0.09 });
  }
  // Three gateways exchange as few messages without an aggregator.
  for (unsigned number = 1; number <= 3; ++number) {
    std::string const digit = std::to_string(number);
    candidates.push_back({ base::HostId::FromValidated("far-" + digit),
                           { "10.0.1." + digit, 7600 },
                           kOtherDomain,
                           0.5 });
  }
  auto const chosen = ChooseAggregators(candidates);
  BOOST_REQUIRE(chosen.size() == 1U);
  std::vector<base::Endpoint> const expected{ { "10.0.0.4", 7600 }, { "10.0.0.5", 7600 } };
  BOOST_TEST((chosen.at(kDomain) == expected));
  std::ranges::reverse(candidates);
  BOOST_TEST((ChooseAggregators(candidates) == chosen));
}

BOOST_AUTO_TEST_CASE(ADutyEndsWithTheNamingThatGaveIt)
{
  auto role = RoleOf(kFirst);
  BOOST_TEST((role.Duty(kStart) == DomainDuty::Alone));
  role.OnNamed(Named(), kStart);
  BOOST_TEST((role.Duty(kStart) == DomainDuty::Aggregator));
  BOOST_TEST(role.IsSending(kStart));
  // A process that was paused reads the time anew: what the planner said before counts
  // no longer.
  BOOST_TEST((role.Duty(kStart + seconds(3)) == DomainDuty::Alone));
  BOOST_TEST(!role.IsSending(kStart + seconds(3)));
  role.OnNamed({ { kDomain, { kSecond, kFirst } } }, kStart + seconds(4));
  BOOST_TEST((role.Duty(kStart + seconds(4)) == DomainDuty::Deputy));
}

BOOST_AUTO_TEST_CASE(TheDeputySendsWhileTheAggregatorIsSilent)
{
  auto role = RoleOf(kSecond);
  auto now = kStart;
  role.OnNamed(Named(), now);
  BOOST_TEST(!role.IsSending(now));
  for (int tick = 0; tick < 20; ++tick) {
    now += milliseconds(100);
    role.OnNamed(Named(), now);
    role.OnDigest(kFirst, now);
    BOOST_TEST(!role.IsSending(now));
  }
  now += milliseconds(300);
  role.OnNamed(Named(), now);
  BOOST_TEST(!role.IsSending(now));
  now += milliseconds(100);
  BOOST_TEST(role.IsSending(now));
  BOOST_TEST((role.Duty(now) == DomainDuty::Deputy));
  role.OnDigest(kFirst, now);
  BOOST_TEST(!role.IsSending(now));
}

BOOST_AUTO_TEST_CASE(AMemberThatHearsNeitherActsAlone)
{
  auto role = RoleOf(kThird);
  auto now = kStart;
  for (int tick = 0; tick < 10; ++tick) {
    role.OnNamed(Named(), now);
    BOOST_TEST((role.Duty(now) == DomainDuty::Member));
    now += milliseconds(100);
  }
  now += milliseconds(300);
  role.OnNamed(Named(), now);
  BOOST_TEST((role.Duty(now) == DomainDuty::Alone));
  // The deputy's digests will do.
  role.OnDigest(kSecond, now);
  BOOST_TEST((role.Duty(now) == DomainDuty::Member));
}

BOOST_AUTO_TEST_CASE(DigestsAlternateBetweenTheAggregatorsOfAnotherDomain)
{
  auto role = RoleOf(kFirst);
  role.OnNamed(Named(), kStart);
  BOOST_TEST((role.Remote(0) == std::vector<base::Endpoint>{ kRemote }));
  BOOST_TEST((role.Remote(1) == std::vector<base::Endpoint>{ kRemoteDeputy }));
}

BOOST_AUTO_TEST_CASE(ADigestHoldsTheLatestStatusOfEachLoader)
{
  EngineDigestBoard board(kDomain);
  board.OnStatus(Status("one", 4), kStart);
  board.OnStatus(Status("one", 5), kStart);
  // Overtaken on the way.
  board.OnStatus(Status("one", 3), kStart);
  board.OnHeartbeat(Heartbeat("one", 5, 7), kStart);
  board.OnHeartbeat(Heartbeat("two", 9), kStart);
  auto const digests = board.TakeDigests(kStart);
  BOOST_REQUIRE(digests.size() == 1U);
  BOOST_REQUIRE(digests[0].m_statuses.size() == 1U);
  BOOST_TEST(digests[0].m_statuses[0].m_number == 5U);
  BOOST_TEST(digests[0].m_statuses[0].m_running == 7U);
  BOOST_REQUIRE(digests[0].m_heartbeats.size() == 1U);
  BOOST_TEST(digests[0].m_heartbeats[0].m_number == 9U);
  // The next one only shows that the aggregator is running.
  auto const next = board.TakeDigests(kStart + milliseconds(100));
  BOOST_REQUIRE(next.size() == 1U);
  BOOST_TEST(next[0].m_statuses.empty());
  BOOST_TEST(next[0].m_heartbeats.empty());
}

/// A gateway that misses one digest, or joins, hears of every loader in the next half
/// second.
BOOST_AUTO_TEST_CASE(AllLoadersAreReportedTwiceASecondWhileTheyRun)
{
  EngineDigestBoard board(kDomain);
  board.OnStatus(Status("one", 4), kStart);
  board.OnHeartbeat(Heartbeat("two", 9), kStart);
  board.TakeDigests(kStart);
  auto const complete = board.TakeDigests(kStart + milliseconds(500));
  BOOST_REQUIRE(complete.size() == 1U);
  BOOST_TEST(complete[0].m_statuses.empty());
  BOOST_REQUIRE(complete[0].m_heartbeats.size() == 2U);
  BOOST_TEST(complete[0].m_heartbeats[0].m_number == 4U);
  // One lost heartbeat doesn't end it, but silence does.
  BOOST_TEST(board.TakeDigests(kStart + milliseconds(1100))[0].m_heartbeats.size() == 2U);
  BOOST_TEST(board.TakeDigests(kStart + milliseconds(1600))[0].m_heartbeats.empty());
}

BOOST_AUTO_TEST_CASE(ARestartedLoaderCountsAnew)
{
  EngineDigestBoard board(kDomain);
  board.OnStatus(Status("one", 400), kStart);
  board.OnStatus(Status("one", 1, "two"), kStart);
  auto const digests = board.TakeDigests(kStart);
  BOOST_REQUIRE(digests[0].m_statuses.size() == 1U);
  BOOST_TEST(digests[0].m_statuses[0].m_number == 1U);
}

/// An aggregator that wakes from a pause holds statuses that others have passed on in
/// a newer form meanwhile.
BOOST_AUTO_TEST_CASE(AnAggregatorThatWakesDropsWhatItHeld)
{
  EngineDigestBoard board(kDomain);
  board.OnStatus(Status("one", 4), kStart);
  board.OnHeartbeat(Heartbeat("two", 9), kStart);
  auto const digests = board.TakeDigests(kStart + seconds(2));
  BOOST_REQUIRE(digests.size() == 1U);
  BOOST_TEST(digests[0].m_statuses.empty());
  BOOST_TEST(digests[0].m_heartbeats.empty());
}

BOOST_AUTO_TEST_CASE(ADeputyKeepsOnlyWhatTheAggregatorHasNotSent)
{
  EngineDigestBoard board(kDomain);
  board.OnStatus(Status("one", 4), kStart);
  board.OnStatus(Status("two", 8), kStart);
  board.OnHeartbeat(Heartbeat("three", 1), kStart);
  board.OnSentElsewhere({ kDomain, { Status("one", 4), Status("two", 7) }, {} });
  auto const digests = board.TakeDigests(kStart);
  BOOST_REQUIRE(digests[0].m_statuses.size() == 1U);
  BOOST_TEST(digests[0].m_statuses[0].m_number == 8U);
  // Which loaders run is reported all the same.
  BOOST_TEST(digests[0].m_heartbeats.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ALargeDomainTakesSeveralDigests)
{
  EngineDigestBoard board(kDomain);
  for (unsigned number = 0; number < 100; ++number) {
    board.OnStatus(Status("side-" + std::to_string(number), 1), kStart);
  }
  std::size_t statuses = 0;
  for (auto const& digest : board.TakeDigests(kStart)) {
    BOOST_TEST(digest.m_statuses.size() <= 32U);
    statuses += digest.m_statuses.size();
  }
  BOOST_TEST(statuses == 100U);
}

BOOST_AUTO_TEST_CASE(LoadersLearnAtOnceWhatNoGatewayAnnouncedBefore)
{
  DomainPresenceBoard board;
  BOOST_TEST(board.OnPresence(Presence("one"), kFirst, kStart));
  BOOST_TEST(!board.OnPresence(Presence("two"), kSecond, kStart));
  BOOST_TEST(board.OnPresence(Presence("two", 2), kSecond, kStart));
  BOOST_TEST(!board.OnPresence(Presence("one", 2), kFirst, kStart));
  auto withPlanner = Presence("one", 2);
  withPlanner.m_planner = { "10.0.9.2", 7600 };
  BOOST_TEST(board.OnPresence(withPlanner, kFirst, kStart + seconds(2)));
  BOOST_TEST(board.Gateways(kStart + seconds(2)).size() == 2U);
  auto const left = board.Gateways(kStart + seconds(3));
  BOOST_REQUIRE(left.size() == 1U);
  BOOST_TEST((left[0].m_endpoint == kFirst));
}

BOOST_AUTO_TEST_CASE(ALoaderSendsToItsAggregatorsAndToGatewaysThatActAlone)
{
  programs::GatewayRegistry registry;
  registry.OnDomainPresence(
    { kDomain,
      { { kFirst, Presence("one") }, { kSecond, Presence("two") }, { kThird, Presence("three") } },
      { kFirst, kSecond },
      {} },
    kDomain, kStart);
  auto alone = Presence("far");
  alone.m_failureDomain = kOtherDomain;
  registry.OnPresence(alone, kRemote, kStart);
  auto const receivers = registry.Receivers(kDomain, kStart);
  BOOST_TEST(receivers.size() == 3U);
  BOOST_TEST(Contains(receivers, kFirst));
  BOOST_TEST(Contains(receivers, kSecond));
  BOOST_TEST(Contains(receivers, kRemote));
  BOOST_TEST(registry.Size() == 4U);
  // Aggregators that nobody has named for some time may be gone; the gateways that
  // they announced are still sent to for a while.
  registry.Expire(kStart + seconds(3));
  BOOST_TEST(registry.Receivers(kDomain, kStart + seconds(3)).size() == 4U);
}

BOOST_AUTO_TEST_CASE(AnAggregatorOfAnotherDomainGetsNoStatusOfItsOwn)
{
  programs::GatewayRegistry registry;
  registry.OnDomainPresence({ kDomain, { { kFirst, Presence("one") } }, { kFirst, kSecond }, {} },
                            kDomain, kStart);
  auto remote = Presence("far");
  remote.m_failureDomain = kOtherDomain;
  registry.OnDomainPresence({ kOtherDomain, { { kRemote, remote } }, { kRemote }, {} }, kDomain,
                            kStart);
  BOOST_TEST(!Contains(registry.Receivers(kDomain, kStart), kRemote));
}
