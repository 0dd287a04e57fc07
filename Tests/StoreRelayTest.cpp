#define BOOST_TEST_MODULE StoreRelay
#include "Entry/Relay/WatchRole.h"
#include "ObjectStore/ObjectWatch.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using entry::WatchRole;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };

base::HostId Host(std::string aName)
{
  return base::HostId::FromValidated(std::move(aName));
}

std::map<base::HostId, base::Endpoint> Neighbours()
{
  return { { Host("a"), { "10.0.0.1", 1 } },
           { Host("b"), { "10.0.0.2", 1 } },
           { Host("c"), { "10.0.0.3", 1 } },
           { Host("d"), { "10.0.0.4", 1 } } };
}

objectstore::ObjectKey Key(std::string aName)
{
  return { objectstore::ObjectKind::Upstream,
           objectstore::ObjectName::FromValidated(std::move(aName)) };
}

objectstore::ObjectPut Put(std::string aName, std::uint64_t aVersion)
{
  return { { Key(std::move(aName)), base::ObjectVersion(aVersion), "{}", {} } };
}

/// Returns a watch that has listed the objects "one" and "two" at version 10.
objectstore::ObjectWatch MakeListedWatch()
{
  objectstore::ObjectWatch watch({}, 1);
  objectstore::ObjectList list{ base::ObjectVersion(10),
                                { Put("one", 3).m_object, Put("two", 5).m_object } };
  watch.Next(kStart);
  watch.OnList(list, kStart);
  return watch;
}

} // namespace

BOOST_AUTO_TEST_CASE(TheFirstTwoOfADomainWatchAndUpdateTheOthers)
{
  WatchRole first({}, Host("a"));
  WatchRole third({}, Host("c"));
  // A process without known neighbours watches.
  BOOST_TEST(third.IsWatcher(kStart));
  BOOST_TEST(!third.MaySuspendListWatch(kStart));
  first.OnNeighbours(Neighbours(), kStart);
  third.OnNeighbours(Neighbours(), kStart);
  BOOST_TEST(first.IsWatcher(kStart));
  BOOST_TEST(!third.IsWatcher(kStart));
  // Watchers update each other, too.
  BOOST_TEST(first.UpdateRecipients(kStart).size() == 3U);
  BOOST_TEST(third.UpdateRecipients(kStart).empty());
  // An outdated neighbour list is ignored.
  BOOST_TEST(third.IsWatcher(kStart + seconds(4)));
  BOOST_TEST(first.UpdateRecipients(kStart + seconds(4)).empty());
}

BOOST_AUTO_TEST_CASE(AFollowerSuspendsItsWatchOnlyWhileAWatcherReachesTheStore)
{
  entry::WatchRoleLimits limits;
  limits.m_listAge = milliseconds(1500);
  limits.m_catalogAge = milliseconds(1900);
  WatchRole role(limits, Host("d"));
  role.OnNeighbours(Neighbours(), kStart);
  BOOST_TEST(!role.MaySuspendListWatch(kStart));
  role.OnUpdate(Host("a"), milliseconds(200), milliseconds(600), kStart);
  BOOST_TEST(role.MaySuspendListWatch(kStart));
  BOOST_TEST(role.MaySuspendListWatch(kStart + milliseconds(1200)));
  // The age that the watcher reports is added to the time since its update.
  BOOST_TEST(!role.MaySuspendListWatch(kStart + milliseconds(1400)));
  BOOST_TEST(role.MaySuspendCatalogWatch(kStart + milliseconds(1200)));
  BOOST_TEST(!role.MaySuspendCatalogWatch(kStart + milliseconds(1400)));
  // A watcher without access to the store reports that; the other one suffices.
  role.OnUpdate(Host("a"), seconds(3), seconds(3), kStart + milliseconds(1400));
  BOOST_TEST(!role.MaySuspendListWatch(kStart + milliseconds(1400)));
  role.OnUpdate(Host("b"), milliseconds(0), milliseconds(0), kStart + milliseconds(1400));
  BOOST_TEST(role.MaySuspendListWatch(kStart + milliseconds(1400)));
  // Updates from processes that are not neighbours are ignored.
  role.OnUpdate(Host("x"), milliseconds(0), milliseconds(0), kStart + seconds(3));
  BOOST_TEST(!role.MaySuspendListWatch(kStart + seconds(3)));
}

BOOST_AUTO_TEST_CASE(RelayedChangesThatLeaveAGapAreRejected)
{
  auto watch = MakeListedWatch();
  auto const receivedAt = kStart + seconds(1);
  // Changes between versions 10 and 20 are missing.
  BOOST_TEST(!watch.OnRelayed(base::ObjectVersion(20), { base::ObjectVersion(30), {} }, receivedAt)
                .has_value());
  auto const changes =
    watch.OnRelayed(base::ObjectVersion(8),
                    { base::ObjectVersion(30),
                      { Put("one", 9), Put("two", 12),
                        objectstore::ObjectDeleted{ Key("one"), base::ObjectVersion(25) } } },
                    receivedAt);
  BOOST_REQUIRE(changes.has_value());
  // Changes already known at version 10 are not reported again.
  BOOST_TEST(changes->m_changes.size() == 2U);
  BOOST_TEST(watch.Version().Value() == 30U);
  BOOST_TEST((watch.LastContact() == receivedAt));
  // Older updates change nothing, and the version never decreases.
  auto const older = watch.OnRelayed(base::ObjectVersion(8),
                                     { base::ObjectVersion(20), { Put("one", 15) } }, receivedAt);
  BOOST_REQUIRE(older.has_value());
  BOOST_TEST(older->m_changes.empty());
  BOOST_TEST(watch.Version().Value() == 30U);
}

BOOST_AUTO_TEST_CASE(AProcessThatCannotReachTheStoreAppliesRelayedChanges)
{
  auto watch = MakeListedWatch();
  watch.OnChanges(tl::make_unexpected(objectstore::ReadError{}), kStart);
  auto const changes =
    watch.OnRelayed(base::ObjectVersion(10),
                    { base::ObjectVersion(30),
                      { objectstore::ObjectDeleted{ Key("one"), base::ObjectVersion(25) } } },
                    kStart + seconds(1));
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->m_changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(BeforeItsFirstListAProcessAppliesNoRelayedChanges)
{
  objectstore::ObjectWatch watch({}, 1);
  BOOST_TEST(
    !watch.OnRelayed(base::ObjectVersion(0), { base::ObjectVersion(5), {} }, kStart).has_value());
}
