#define BOOST_TEST_MODULE Keys
#include "Entry/Keys/FreshnessTracker.h"
#include "Entry/Keys/KeyRing.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::entry;
using namespace std::chrono_literals;
using base::DocumentVersion;

namespace {

base::Instant At(base::Duration aTime)
{
  return base::Instant(aTime);
}

base::HostId Host(std::string const& aName)
{
  return base::HostId::FromValidated(aName);
}

IssuedKey Key(std::string const& aId, std::string const& aWorkspace, std::string const& aSecret)
{
  return { base::KeyId::FromValidated(aId), base::WorkspaceId::FromValidated(aWorkspace),
           base::Sha256(aSecret) };
}

FreshnessTracker MakeTracker()
{
  FreshnessTracker tracker(Host("self"), {});
  tracker.SetListed({ Host("self"), Host("a"), Host("b") });
  tracker.SetInForce(DocumentVersion(7));
  tracker.OnPlatformRead(DocumentVersion(7), At(0s));
  return tracker;
}

FreshnessStatement Statement(std::string const& aHost, std::uint64_t aVersion,
                             base::Duration aPlatformAge, base::Duration aAge = {})
{
  return { Host(aHost), DocumentVersion(aVersion), aPlatformAge, aAge };
}

} // namespace

BOOST_AUTO_TEST_SUITE(KeyRings)

BOOST_AUTO_TEST_CASE(AKeyIsValidForItsWorkspaceUntilItIsWithdrawn)
{
  KeyRing ring("index");
  BOOST_REQUIRE(
    ring.Replace({ Key("k1", "w1", "s1"), Key("k2", "w2", "s2") }, DocumentVersion(1)).has_value());
  auto const holder = ring.Check("s1");
  BOOST_REQUIRE(holder.has_value());
  BOOST_TEST(holder->m_workspace.Text() == "w1");
  BOOST_TEST(!ring.Check("s3").has_value());
  BOOST_TEST(!ring.Check("").has_value());
  auto const withdrawn = ring.Replace({ Key("k2", "w2", "s2") }, DocumentVersion(2));
  BOOST_REQUIRE(withdrawn->size() == 1);
  BOOST_TEST(withdrawn->front().Text() == "k1");
  BOOST_TEST(!ring.Check("s1").has_value());
  BOOST_TEST(!ring.IsInForce(*holder));
  BOOST_TEST(ring.Check("s2").has_value());
}

BOOST_AUTO_TEST_CASE(AnOlderVersionRestoresNoKey)
{
  KeyRing ring("index");
  BOOST_REQUIRE(ring.Replace({}, DocumentVersion(5)).has_value());
  auto const refused = ring.Replace({ Key("k1", "w1", "s1") }, DocumentVersion(4));
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST((refused.error() == KeyRingError::OlderVersion));
  BOOST_TEST(!ring.Check("s1").has_value());
}

BOOST_AUTO_TEST_CASE(AChangedSecretOrWorkspaceIsAWithdrawal)
{
  KeyRing ring("index");
  BOOST_REQUIRE(
    ring.Replace({ Key("k1", "w1", "s1"), Key("k2", "w1", "s2") }, DocumentVersion(1)).has_value());
  auto const withdrawn =
    ring.Replace({ Key("k1", "w1", "other"), Key("k2", "w2", "s2") }, DocumentVersion(2));
  BOOST_TEST(withdrawn->size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Freshness)

BOOST_AUTO_TEST_CASE(AConfirmationIsTrustedUntilItIsTooOld)
{
  FreshnessTracker tracker = MakeTracker();
  BOOST_TEST((tracker.Verdict(At(1500ms)) == FreshnessVerdict::Fresh));
  BOOST_TEST((tracker.Verdict(At(1501ms)) == FreshnessVerdict::Grace));
  BOOST_TEST((tracker.Verdict(At(4500ms)) == FreshnessVerdict::Grace));
  BOOST_TEST((tracker.Verdict(At(4501ms)) == FreshnessVerdict::Isolated));
}

BOOST_AUTO_TEST_CASE(ASharedOutageLeavesKeysInForce)
{
  FreshnessTracker tracker = MakeTracker();
  for (auto time = 1s; time < 3600s; time += 1s) {
    tracker.OnStatement(Statement("a", 7, time), At(time));
    tracker.OnStatement(Statement("b", 7, time, 100ms), At(time));
    BOOST_TEST_REQUIRE(IsTrusted(tracker.Verdict(At(time + 1s))));
  }
  BOOST_TEST((tracker.Verdict(At(3600s)) == FreshnessVerdict::SharedOutage));
}

BOOST_AUTO_TEST_CASE(AnIsolatedProcessStopsHonouringKeys)
{
  FreshnessTracker tracker = MakeTracker();
  tracker.OnStatement(Statement("a", 7, 10s), At(10s));
  BOOST_TEST((tracker.Verdict(At(10s)) == FreshnessVerdict::Isolated));
}

BOOST_AUTO_TEST_CASE(APeerWithAccessToThePlatformKeepsKeysFresh)
{
  FreshnessTracker tracker = MakeTracker();
  tracker.OnStatement(Statement("a", 7, 200ms), At(10s));
  BOOST_TEST((tracker.Verdict(At(11s)) == FreshnessVerdict::Fresh));
}

BOOST_AUTO_TEST_CASE(ANewerVersionElsewhereStopsKeysUntilItIsInForce)
{
  FreshnessTracker tracker = MakeTracker();
  tracker.OnStatement(Statement("a", 8, 200ms), At(1s));
  BOOST_TEST((tracker.Verdict(At(1s)) == FreshnessVerdict::Behind));
  tracker.SetInForce(DocumentVersion(8));
  BOOST_TEST((tracker.Verdict(At(1s)) == FreshnessVerdict::Fresh));
}

BOOST_AUTO_TEST_CASE(AHostThatRefusesConnectionsIsNotWaitedFor)
{
  FreshnessTracker tracker = MakeTracker();
  tracker.OnStatement(Statement("a", 7, 10s), At(10s));
  tracker.OnConnectionRefused(Host("b"));
  BOOST_TEST((tracker.Verdict(At(10s)) == FreshnessVerdict::SharedOutage));
  tracker.OnStatement(Statement("b", 7, 10s, 9s), At(10s));
  BOOST_TEST((tracker.Verdict(At(10s)) != FreshnessVerdict::SharedOutage));
}

BOOST_AUTO_TEST_CASE(ARelayedStatementKeepsItsAge)
{
  FreshnessTracker other(Host("a"), {});
  other.SetListed({ Host("self"), Host("a"), Host("b") });
  other.SetInForce(DocumentVersion(7));
  other.OnPlatformRead(DocumentVersion(7), At(100s));
  other.OnStatement(Statement("b", 7, 110s), At(110s));
  FreshnessTracker tracker = MakeTracker();
  for (FreshnessStatement const& statement : other.Statements(At(111s))) {
    tracker.OnStatement(statement, At(20s));
  }
  BOOST_TEST((tracker.Verdict(At(20500ms)) == FreshnessVerdict::SharedOutage));
  BOOST_TEST((tracker.Verdict(At(20501ms)) != FreshnessVerdict::SharedOutage));
}

BOOST_AUTO_TEST_CASE(AProcessWithoutAnyConfirmationHonoursNoKey)
{
  FreshnessTracker tracker(Host("self"), {});
  BOOST_TEST((tracker.Verdict(At(0s)) == FreshnessVerdict::Isolated));
}

BOOST_AUTO_TEST_SUITE_END()
