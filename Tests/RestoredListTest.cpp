#define BOOST_TEST_MODULE RestoredList
#include "Engine/UpstreamDirectory.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::engine;
using namespace std::chrono_literals;

namespace {

constexpr base::Instant kStart{ 1000s };
auto const kDeployment = base::DeploymentId::FromValidated("assistant");
auto const kInstance = InstanceId::FromValidated("one");

UpstreamEntry Entry(std::int64_t aStartedAt = 5)
{
  UpstreamEntry entry;
  entry.m_instance = kInstance;
  entry.m_deployment = kDeployment;
  entry.m_endpoint = { "10.0.0.1", 1 };
  entry.m_startedAt = aStartedAt;
  return entry;
}

UpstreamEntry Draining()
{
  auto entry = Entry();
  entry.m_isDraining = true;
  return entry;
}

/// A directory that lists one upstream.
struct Fixture
{
  Fixture() { m_directory.OnListed(Entry(), kStart); }

  bool IsUsed(base::Instant aNow) { return IsUsed(aNow, aNow); }
  bool IsUsed(base::Instant aListedAt, base::Instant aNow)
  {
    m_directory.Expire(aListedAt, aNow);
    auto const found = m_directory.Find({ kDeployment, std::nullopt, std::nullopt, {} }, aNow);
    return std::holds_alternative<UpstreamChoice>(found);
  }
  void Remove(base::Instant aNow)
  {
    m_directory.OnRemoved(kInstance, std::nullopt, aNow);
    m_directory.Expire(aNow, aNow);
  }
  ListingOutcome Restore(UpstreamEntry aEntry, base::Instant aNow)
  {
    m_directory.OnStoreRestored();
    return m_directory.OnListed(std::move(aEntry), aNow, EntrySource::RestoredList);
  }

  DirectoryLimits const m_limits;
  UpstreamDirectory m_directory{ m_limits, base::FailureDomainId::FromValidated("a"), 1 };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ADrainedUpstreamThatARestoredListNamesReadyGetsNothing, Fixture)
{
  m_directory.OnListed(Draining(), kStart + 1s);
  BOOST_TEST((Restore(Entry(), kStart + 2s) == ListingOutcome::Drained));
  BOOST_TEST(!IsUsed(kStart + 2s));
  BOOST_TEST(!IsUsed(kStart + 60s));
  // Neither its own heartbeat nor a second restoration revives the start.
  m_directory.OnListed(Entry(), kStart + 3s);
  BOOST_TEST(!IsUsed(kStart + 3s));
  Remove(kStart + 4s);
  Restore(Entry(), kStart + 5s);
  BOOST_TEST(!IsUsed(kStart + 60s));
  m_directory.OnListed(Entry(6), kStart + 61s);
  BOOST_TEST(IsUsed(kStart + 61s));
}

BOOST_FIXTURE_TEST_CASE(ARemovedUpstreamThatARestoredListNamesGetsNothingUntilItIsAlive, Fixture)
{
  Remove(kStart + 1s);
  BOOST_TEST((Restore(Entry(), kStart + 2s) == ListingOutcome::Removed));
  BOOST_TEST(!m_directory.IsListed(kInstance));
  BOOST_TEST(!IsUsed(kStart + 2s));
  BOOST_TEST(!IsUsed(kStart + 2s + m_limits.m_silenceTime - 1ms));
  BOOST_TEST(IsUsed(kStart + 2s + m_limits.m_silenceTime));
  BOOST_TEST(m_directory.IsListed(kInstance));
}

BOOST_FIXTURE_TEST_CASE(ARemovedUpstreamThatWritesItselfAgainIsUsedAtOnce, Fixture)
{
  Remove(kStart + 1s);
  Restore(Entry(), kStart + 2s);
  BOOST_TEST((m_directory.OnListed(Entry(), kStart + 3s) == ListingOutcome::Believed));
  BOOST_TEST(IsUsed(kStart + 3s));
}

BOOST_FIXTURE_TEST_CASE(ADoubtedUpstreamThatTheListDropsStaysOut, Fixture)
{
  Remove(kStart + 1s);
  Restore(Entry(), kStart + 2s);
  BOOST_TEST((m_directory.OnRemoved(kInstance, kStart + 9s, kStart + 5s) == RemovalCause::Left));
  BOOST_TEST(!IsUsed(kStart + 6s));
  BOOST_TEST(!IsUsed(kStart + 2s + m_limits.m_silenceTime));
}

BOOST_FIXTURE_TEST_CASE(AnEntryThatLapsedForGoodIsNoMoreBelievedThanARemovedOne, Fixture)
{
  m_directory.OnSent(kInstance);
  m_directory.OnRemoved(kInstance, kStart + 2s, kStart);
  BOOST_TEST(IsUsed(kStart + 1s));
  BOOST_TEST(!IsUsed(kStart + 2s));
  BOOST_TEST((Restore(Entry(), kStart + 3s) == ListingOutcome::Removed));
  BOOST_TEST(!IsUsed(kStart + 3s));
}

BOOST_FIXTURE_TEST_CASE(AnEarlierStartInARestoredListReplacesNoLaterOne, Fixture)
{
  m_directory.OnListed(Entry(6), kStart + 1s);
  BOOST_TEST((Restore(Entry(5), kStart + 2s) == ListingOutcome::Superseded));
  BOOST_TEST(IsUsed(kStart + 2s));
  Remove(kStart + 3s);
  BOOST_TEST((Restore(Entry(5), kStart + 4s) == ListingOutcome::Removed));
  BOOST_TEST(!IsUsed(kStart + 4s));
}

BOOST_FIXTURE_TEST_CASE(WithinOneHistoryTheListsLatestWordCounts, Fixture)
{
  m_directory.OnListed(Draining(), kStart + 1s);
  m_directory.OnListed(Entry(), kStart + 2s);
  BOOST_TEST(IsUsed(kStart + 2s));
  Remove(kStart + 3s);
  m_directory.OnListed(Entry(), kStart + 4s);
  BOOST_TEST(IsUsed(kStart + 4s));
  // What the list revoked before the restoration is no leaving afterwards.
  BOOST_TEST((Restore(Entry(), kStart + 5s) == ListingOutcome::Believed));
  BOOST_TEST(IsUsed(kStart + 5s));
}

BOOST_FIXTURE_TEST_CASE(ARemovedUpstreamStaysUnusedWhileTheStoreIsSilent, Fixture)
{
  Remove(kStart + 1s);
  Restore(Entry(), kStart + 2s);
  BOOST_TEST(!IsUsed(kStart + 3s, kStart + 60s));
  BOOST_TEST(IsUsed(kStart + 60s, kStart + 60s));
}

BOOST_FIXTURE_TEST_CASE(AnUpstreamThatLapsedBesideASilentStoreIsBelievedInALaterCopy, Fixture)
{
  m_directory.OnRemoved(kInstance, kStart + 3s, kStart + 1s);
  BOOST_TEST(!IsUsed(kStart + 2s, kStart + 4s));
  BOOST_TEST((Restore(Entry(), kStart + 5s) == ListingOutcome::Believed));
  BOOST_TEST(IsUsed(kStart + 5s));
}

BOOST_AUTO_TEST_CASE(TheEndsRememberedAreBounded)
{
  LeftUpstreams left;
  for (int start = 0; start < 10'000; ++start) {
    left.OnRemoved({ kInstance, { "10.0.0.1", 1 }, start }, kStart + std::chrono::seconds(start));
  }
  BOOST_TEST(left.Size() < 5'000U);
  left.OnStoreRestored();
  BOOST_TEST(left.FindLost({ kInstance, { "10.0.0.1", 1 }, 9'999 }).has_value());
  left.Expire(kStart + 24h);
  BOOST_TEST(left.Size() == 0U);
}

/// A gateway that starts after a restoration has only the copy's word, while the others
/// remember that the upstream drained.
BOOST_FIXTURE_TEST_CASE(AStartedGatewayLearnsFromOthersWhatDrained, Fixture)
{
  m_directory.OnListed(Draining(), kStart + 1s);
  Restore(Entry(), kStart + 2s);
  auto const told = m_directory.DrainedDespiteList();
  BOOST_REQUIRE(told.size() == 1U);

  Fixture started;
  BOOST_TEST(started.IsUsed(kStart + 3s));
  BOOST_TEST(started.m_directory.OnDrainedBefore(told.front(), kStart + 3s));
  BOOST_TEST(!started.IsUsed(kStart + 3s));
  // Told again, and written again by the list: it stays out of use, and is passed on.
  BOOST_TEST(!started.m_directory.OnDrainedBefore(told.front(), kStart + 4s));
  started.m_directory.OnListed(Entry(), kStart + 5s);
  BOOST_TEST(!started.IsUsed(kStart + 5s));
  BOOST_TEST(started.m_directory.DrainedDespiteList().size() == 1U);
  // Another start of the upstream is not meant.
  started.m_directory.OnListed(Entry(6), kStart + 6s);
  BOOST_TEST(started.IsUsed(kStart + 6s));
  BOOST_TEST(started.m_directory.DrainedDespiteList().empty());
}

/// The others may be heard before the list is.
BOOST_AUTO_TEST_CASE(AStartToldToHaveDrainedIsNotUsedWhenItIsListedLater)
{
  UpstreamDirectory directory{ {}, base::FailureDomainId::FromValidated("a"), 1 };
  UpstreamStart const start{ kInstance, Entry().m_endpoint, Entry().m_startedAt };
  BOOST_TEST(!directory.OnDrainedBefore(start, kStart));
  BOOST_TEST(
    (directory.OnListed(Entry(), kStart + 1s, EntrySource::Change) == ListingOutcome::Drained));
  auto const found = directory.Find({ kDeployment, std::nullopt, std::nullopt, {} }, kStart + 1s);
  BOOST_TEST(std::holds_alternative<UpstreamAbsence>(found));
}
