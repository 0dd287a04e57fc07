#define BOOST_TEST_MODULE StoreRestoration
#include "ObjectStore/ObjectWatch.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold::objectstore;
using namespace sardinefold;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };
constexpr auto kLater = kStart + seconds(1);

base::ObjectVersion Version(std::uint64_t aEra, std::uint64_t aNumber)
{
  return { base::StoreEra(aEra), aNumber };
}

ObjectKey Key(std::string aName)
{
  return { ObjectKind::Upstream, ObjectName::FromValidated(std::move(aName)) };
}

Object MakeObject(std::string aName, base::ObjectVersion aVersion, std::string aValue = "")
{
  return { Key(std::move(aName)), aVersion, std::move(aValue), {} };
}

/// Returns a watch of the first era that has listed "a" and "b" at version 179.
ObjectWatch MakeListedWatch()
{
  ObjectWatch watch({}, 1);
  watch.Next(kStart);
  watch.OnList(ObjectList{ Version(1, 179),
                           { MakeObject("a", Version(1, 100)), MakeObject("b", Version(1, 179)) } },
               kStart);
  return watch;
}

ObjectList RestoredList()
{
  return { Version(2, 150),
           { MakeObject("a", Version(2, 100), "other"), MakeObject("c", Version(2, 150)) } };
}

} // namespace

BOOST_AUTO_TEST_CASE(AListOfALaterEraReplacesWhatIsKnownWhateverItsNumber)
{
  auto watch = MakeListedWatch();
  watch.Next(kLater);
  watch.OnChanges(tl::make_unexpected(ReadError{ ReadError::Kind::Compacted, "" }), kLater);
  BOOST_TEST(std::holds_alternative<ListObjects>(watch.Next(kLater)));
  auto const changes = watch.OnList(RestoredList(), kLater);
  BOOST_REQUIRE(changes.m_changes.size() == 3U);
  BOOST_TEST(std::get<ObjectPut>(changes.m_changes[0]).m_object.m_value == "other");
  BOOST_TEST((std::get<ObjectDeleted>(changes.m_changes[2]).m_key == Key("b")));
  BOOST_REQUIRE(changes.m_restoredFrom.has_value());
  BOOST_TEST(*changes.m_restoredFrom == Version(1, 179));
  BOOST_TEST(watch.Version() == Version(2, 150));
  BOOST_TEST((watch.LastContact() == kLater));
  watch.Next(kLater);
  auto const next = watch.OnChanges(ObjectChanges{ Version(2, 151), {} }, kLater + seconds(1));
  BOOST_TEST(!next.m_restoredFrom.has_value());
}

BOOST_AUTO_TEST_CASE(AResponseOfALaterEraToAnEarlierWatchIsNoContinuation)
{
  auto watch = MakeListedWatch();
  watch.Next(kLater);
  // The number has passed the known one again.
  ObjectChanges const response{ Version(2, 190),
                                { ObjectPut{ MakeObject("c", Version(2, 190)) } } };
  BOOST_TEST(!watch.UpdateOf(response).has_value());
  BOOST_TEST(watch.OnChanges(response, kLater).m_changes.empty());
  BOOST_TEST(watch.Version() == Version(1, 179));
  BOOST_TEST((watch.LastContact() == kStart));
  BOOST_TEST(std::holds_alternative<ListObjects>(watch.Next(kLater)));
}

BOOST_AUTO_TEST_CASE(AResponseToAWatchSentBeforeTheRestorationLosesNothing)
{
  auto watch = MakeListedWatch();
  watch.Next(kLater);
  BOOST_TEST(watch.OnRelayed({ std::nullopt, { Version(2, 150), {} } }, kLater).has_value());
  // It lacks the changes from 150 to 179.
  ObjectChanges const response{ Version(2, 190), {} };
  BOOST_TEST(!watch.UpdateOf(response).has_value());
  watch.OnChanges(response, kLater + seconds(1));
  BOOST_TEST(watch.Version() == Version(2, 150));
  BOOST_TEST(!std::holds_alternative<WatchAgainAt>(watch.Next(kLater + seconds(1))));
}

BOOST_AUTO_TEST_CASE(ADelayedResponseOfAnEarlierEraChangesNothing)
{
  ObjectWatch watch({}, 1);
  watch.OnList(RestoredList(), kStart);
  ObjectList const list{ Version(1, 999), {} };
  BOOST_TEST(!watch.UpdateOf(list).has_value());
  BOOST_TEST(watch.OnList(list, kLater).m_changes.empty());
  ObjectChanges const response{ Version(1, 999), { ObjectDeleted{ Key("a"), Version(1, 999) } } };
  BOOST_TEST(watch.OnChanges(response, kLater).m_changes.empty());
  BOOST_TEST(watch.Version() == Version(2, 150));
  BOOST_TEST((watch.LastContact() == kStart));
}

BOOST_AUTO_TEST_CASE(RelayedUpdatesOfAnEarlierEraCountForNothing)
{
  ObjectWatch watch({}, 1);
  watch.OnList(RestoredList(), kStart);
  auto const list = watch.OnRelayed({ std::nullopt, { Version(1, 999), {} } }, kLater);
  BOOST_REQUIRE(list.has_value());
  BOOST_TEST(list->m_changes.empty());
  BOOST_TEST((watch.LastContact() == kStart));
}

BOOST_AUTO_TEST_CASE(ARelayedUpdateOfALaterEraIsAGapOrAWholeList)
{
  auto watch = MakeListedWatch();
  auto const from = Version(2, 150);
  BOOST_TEST(!watch.OnRelayed({ from, { Version(2, 190), {} } }, kLater).has_value());
  BOOST_TEST(std::holds_alternative<ListObjects>(watch.Next(kLater)));
  // A peer that joins two eras is not relied on.
  BOOST_TEST(!watch.OnRelayed({ Version(1, 179), { Version(2, 190), {} } }, kLater).has_value());
  auto const changes = watch.OnRelayed(
    { std::nullopt, { from, { ObjectPut{ MakeObject("a", Version(2, 90)) } } } }, kLater);
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->m_changes.size() == 2U);
  BOOST_TEST(changes->m_restoredFrom.has_value());
}

BOOST_AUTO_TEST_CASE(HistoryThatIsGoneAgainAtOnceIsAFailure)
{
  auto watch = MakeListedWatch();
  auto now = kStart;
  std::size_t calls = 0;
  while (now < kStart + seconds(10) && calls < 1000) {
    auto const step = watch.Next(now);
    if (auto const* const wait = std::get_if<WatchAgainAt>(&step)) {
      now = std::max(wait->m_time, now + milliseconds(1));
      continue;
    }
    ++calls;
    if (std::holds_alternative<ListObjects>(step)) {
      watch.OnList(ObjectList{ Version(1, 179), {} }, now);
    } else {
      watch.OnChanges(tl::make_unexpected(ReadError{ ReadError::Kind::Compacted, "" }), now);
    }
  }
  BOOST_TEST(calls < 1000U);
}
