#define BOOST_TEST_MODULE Configuration
#include "Entry/Configuration/ConfigurationCodec.h"
#include "Tests/Fakes/FakeConfigurationFleet.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using fakes::FakeConfigurationFleet;
using fakes::MakeDocument;

namespace {

constexpr std::uint64_t kSeeds = 20;
constexpr base::Duration kPropagationTimeout = 4s;

/// Runs in steps until the published version is in force everywhere. Returns
/// false if that takes longer than kPropagationTimeout.
bool WaitUntilInForce(FakeConfigurationFleet& aFleet)
{
  auto const end = aFleet.Time().Now() + kPropagationTimeout;
  while (aFleet.Time().Now() < end) {
    aFleet.RunFor(50ms);
    if (aFleet.IsInForce(aFleet.Published())) {
      return true;
    }
  }
  return false;
}

FakeConfigurationFleet MakeFleet(std::uint64_t aSeed)
{
  return FakeConfigurationFleet({ 4, 23, 14, 0.05, aSeed });
}

} // namespace

BOOST_AUTO_TEST_CASE(EveryVersionIsAppliedEverywhereDespiteMessageLoss)
{
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    auto fleet = MakeFleet(seed);
    for (std::size_t round = 1; round <= 5; ++round) {
      fleet.Publish(MakeDocument(40 + round));
      BOOST_TEST(WaitUntilInForce(fleet));
    }
    BOOST_TEST(fleet.Reversions() == 0U);
  }
}

BOOST_AUTO_TEST_CASE(ARelayThatCrashesWhileItAnnouncesIsReplaced)
{
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    auto fleet = MakeFleet(seed);
    fleet.Publish(MakeDocument(40));
    BOOST_TEST(WaitUntilInForce(fleet));
    fleet.Publish(MakeDocument(41));
    fleet.RunFor(std::chrono::milliseconds(4 + seed));
    auto const relays = fleet.Relays(seed % 4);
    BOOST_REQUIRE(relays.size() == 3U);
    fleet.Kill(relays[0]);
    fleet.Kill(relays[1]);
    BOOST_TEST(WaitUntilInForce(fleet));
  }
}

BOOST_AUTO_TEST_CASE(AllRelaysOfADomainCrashingAtOnceAreReplaced)
{
  auto fleet = MakeFleet(7);
  fleet.Publish(MakeDocument(40));
  BOOST_TEST(WaitUntilInForce(fleet));
  fleet.Publish(MakeDocument(41));
  for (auto const& relay : fleet.Relays(2)) {
    fleet.Kill(relay);
  }
  BOOST_TEST(WaitUntilInForce(fleet));
}

BOOST_AUTO_TEST_CASE(ANewProcessFetchesFromItsPeersWhileThePlatformIsDown)
{
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    auto fleet = MakeFleet(seed);
    fleet.Publish(MakeDocument(500));
    BOOST_TEST(WaitUntilInForce(fleet));
    fleet.SetPlatformUp(false);
    for (auto const& host : fleet.Hosts()) {
      if (host.Text().ends_with("1")) {
        fleet.Kill(host);
      }
    }
    fleet.RunFor(5s);
    for (auto const& host : fleet.Hosts()) {
      if (host.Text().ends_with("1")) {
        fleet.Restart(host);
      }
    }
    BOOST_TEST(WaitUntilInForce(fleet));
  }
}

BOOST_AUTO_TEST_CASE(AVersionAcceptedBeforeACompactionOrAnOutageArrivesAfterIt)
{
  auto fleet = MakeFleet(11);
  fleet.Publish(MakeDocument(40));
  BOOST_TEST(WaitUntilInForce(fleet));
  fleet.SetPlatformUp(false);
  fleet.RunFor(60s);
  fleet.Publish(MakeDocument(41));
  fleet.Compact();
  fleet.SetPlatformUp(true);
  BOOST_TEST(WaitUntilInForce(fleet));
}

BOOST_AUTO_TEST_CASE(FreshnessEndsWithTheOutageAndReturnsAfterIt)
{
  auto fleet = MakeFleet(5);
  fleet.Publish(MakeDocument(40));
  BOOST_TEST(WaitUntilInForce(fleet));
  fleet.RunFor(10s);
  auto const isFresh = [&fleet](base::Duration aAge) {
    auto const hosts = fleet.Hosts();
    return std::ranges::all_of(hosts, [&](base::HostId const& aHost) {
      auto const freshAt = fleet.Node(aHost).LastConfirmed();
      return freshAt && fleet.Time().Now() - *freshAt <= aAge;
    });
  };
  BOOST_TEST(isFresh(12s));
  fleet.SetPlatformUp(false);
  auto const down = fleet.Time().Now();
  fleet.RunFor(30s);
  for (auto const& host : fleet.Hosts()) {
    BOOST_TEST((fleet.Node(host).LastConfirmed() <= down));
  }
  fleet.SetPlatformUp(true);
  fleet.RunFor(20s);
  BOOST_TEST(isFresh(12s));
}

BOOST_AUTO_TEST_CASE(TheCountNamesLaggingProcessesAndReasons)
{
  auto fleet = MakeFleet(3);
  fleet.Publish(MakeDocument(40));
  BOOST_TEST(WaitUntilInForce(fleet));
  auto const rejectingHost = base::HostId::FromValidated("engine-5");
  fleet.RejectVersions(rejectingHost);
  fleet.Publish(MakeDocument(41));
  fleet.RunFor(10s);
  auto const tally = fleet.Count(fleet.Published());
  BOOST_TEST(tally.m_processes == 37U);
  BOOST_TEST(tally.m_applied == 36U);
  BOOST_REQUIRE(tally.m_laggards.size() == 1U);
  BOOST_TEST(tally.m_laggards[0].m_host == rejectingHost);
  BOOST_TEST(tally.m_laggards[0].m_inForce.Value() == 1U);
  BOOST_TEST(tally.m_laggards[0].m_problem == "no room");
}

BOOST_AUTO_TEST_CASE(ALargeVersionIsFetchedInChunks)
{
  FakeConfigurationFleet fleet({ 1, 4, 1, 0.05, 9 });
  fleet.Publish(MakeDocument(20'000));
  BOOST_TEST(WaitUntilInForce(fleet));
}

BOOST_AUTO_TEST_CASE(AnOlderVersionIsNeverApplied)
{
  entry::VersionFollower follower;
  operators::VersionRecord record;
  record.m_version = base::DocumentVersion(5);
  BOOST_TEST(follower.OnVersion(record, entry::PlatformSource{}));
  record.m_version = base::DocumentVersion(4);
  BOOST_TEST(!follower.OnVersion(record, entry::PlatformSource{}));
  BOOST_TEST(follower.Newest()->m_version.Value() == 5U);
}

BOOST_AUTO_TEST_CASE(MessagesRoundTripAndMalformedOnesAreRefused)
{
  entry::Acknowledgement acknowledgement;
  acknowledgement.m_inForce = base::DocumentVersion(3);
  acknowledgement.m_rejection = entry::Rejection{ base::DocumentVersion(4), "no room" };
  acknowledgement.m_below.m_version = base::DocumentVersion(4);
  acknowledgement.m_below.AddProcess({ base::HostId::FromValidated("h"), {}, "why" });
  auto const written = entry::WriteAcknowledgement(acknowledgement);
  auto const read = entry::ReadAcknowledgement(written);
  BOOST_REQUIRE(read);
  BOOST_TEST((entry::WriteAcknowledgement(*read) == written));
  BOOST_TEST(!entry::ReadAcknowledgement(Json::Value(3)));
  BOOST_TEST(!entry::ReadAnnouncement(Json::Value(Json::objectValue)));
  BOOST_TEST(!entry::ReadChunks(Json::Value(Json::objectValue)));
  Json::Value chunks;
  chunks["chunks"].append("{\"children\":[\"../x\"]}");
  BOOST_TEST(!entry::ReadChunks(chunks));
}
