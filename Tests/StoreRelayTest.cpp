#define BOOST_TEST_MODULE StoreRelay
#include "Agent/Fleet/StoreUpdateAssembler.h"
#include "Entry/Relay/WatchRole.h"
#include "ObjectStore/ObjectWatch.h"
#include "ObjectStore/VersionGap.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <set>

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

objectstore::ObjectDeleted Deleted(std::string aName, std::uint64_t aVersion)
{
  return { Key(std::move(aName)), base::ObjectVersion(aVersion) };
}

objectstore::ObjectUpdate Update(std::uint64_t aFrom, std::uint64_t aTo,
                                 std::vector<objectstore::ObjectChange> aChanges)
{
  return { base::ObjectVersion(aFrom), { base::ObjectVersion(aTo), std::move(aChanges) } };
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
  first.OnNeighbours(Neighbours(), {}, kStart);
  third.OnNeighbours(Neighbours(), {}, kStart);
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
  role.OnNeighbours(Neighbours(), {}, kStart);
  BOOST_TEST(!role.MaySuspendListWatch(kStart));
  role.OnUpdate(Host("a"), base::StoreEra(), milliseconds(200), milliseconds(600), kStart);
  BOOST_TEST(role.MaySuspendListWatch(kStart));
  BOOST_TEST(role.MaySuspendListWatch(kStart + milliseconds(1200)));
  // The age that the watcher reports is added to the time since its update.
  BOOST_TEST(!role.MaySuspendListWatch(kStart + milliseconds(1400)));
  BOOST_TEST(role.MaySuspendCatalogWatch(kStart + milliseconds(1200)));
  BOOST_TEST(!role.MaySuspendCatalogWatch(kStart + milliseconds(1400)));
  // A watcher without access to the store reports that; the other one suffices.
  role.OnUpdate(Host("a"), base::StoreEra(), seconds(3), seconds(3), kStart + milliseconds(1400));
  BOOST_TEST(!role.MaySuspendListWatch(kStart + milliseconds(1400)));
  role.OnUpdate(Host("b"), base::StoreEra(), milliseconds(0), milliseconds(0),
                kStart + milliseconds(1400));
  BOOST_TEST(role.MaySuspendListWatch(kStart + milliseconds(1400)));
  // Updates from processes that are not neighbours are ignored.
  role.OnUpdate(Host("x"), base::StoreEra(), milliseconds(0), milliseconds(0), kStart + seconds(3));
  BOOST_TEST(!role.MaySuspendListWatch(kStart + seconds(3)));
}

BOOST_AUTO_TEST_CASE(AFollowerReliesOnNoWatcherOfAnEarlierEra)
{
  WatchRole role({}, Host("d"));
  role.OnNeighbours(Neighbours(), {}, kStart);
  role.OnUpdate(Host("a"), base::StoreEra(1), milliseconds(0), milliseconds(0), kStart);
  BOOST_TEST(role.MaySuspendListWatch(kStart));
  role.OnEra(base::StoreEra(2));
  BOOST_TEST(!role.MaySuspendListWatch(kStart));
  BOOST_TEST(!role.MaySuspendCatalogWatch(kStart));
  role.OnUpdate(Host("b"), base::StoreEra(2), milliseconds(0), milliseconds(0), kStart);
  BOOST_TEST(role.MaySuspendListWatch(kStart));
  // A late update of the watcher does not count.
  role.OnUpdate(Host("b"), base::StoreEra(1), milliseconds(0), milliseconds(0),
                kStart + seconds(1));
  BOOST_TEST(role.MaySuspendListWatch(kStart + seconds(1)));
  BOOST_TEST(!role.MaySuspendListWatch(kStart + seconds(2)));
}

BOOST_AUTO_TEST_CASE(RelayedChangesThatLeaveAGapAreRejected)
{
  auto watch = MakeListedWatch();
  auto const receivedAt = kStart + seconds(1);
  // Changes between versions 10 and 20 are missing.
  BOOST_TEST(!watch.OnRelayed(Update(20, 30, {}), receivedAt).has_value());
  auto const changes = watch.OnRelayed(
    Update(8, 30, { Put("one", 9), Put("two", 12), Deleted("one", 25) }), receivedAt);
  BOOST_REQUIRE(changes.has_value());
  // Changes already known at version 10 are not reported again.
  BOOST_TEST(changes->m_changes.size() == 2U);
  BOOST_TEST(watch.Version().Value() == 30U);
  BOOST_TEST((watch.LastContact() == receivedAt));
  // Older updates change nothing, and the version never decreases.
  auto const older = watch.OnRelayed(Update(8, 20, { Put("one", 15) }), receivedAt);
  BOOST_REQUIRE(older.has_value());
  BOOST_TEST(older->m_changes.empty());
  BOOST_TEST(watch.Version().Value() == 30U);
}

BOOST_AUTO_TEST_CASE(AProcessThatCannotReachTheStoreAppliesRelayedChanges)
{
  auto watch = MakeListedWatch();
  watch.OnChanges(tl::make_unexpected(objectstore::ReadError{}), kStart);
  auto const changes = watch.OnRelayed(Update(10, 30, { Deleted("one", 25) }), kStart + seconds(1));
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->m_changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(BeforeItsFirstListAProcessAppliesNoRelayedChanges)
{
  objectstore::ObjectWatch watch({}, 1);
  BOOST_TEST(!watch.OnRelayed(Update(0, 5, {}), kStart).has_value());
}

BOOST_AUTO_TEST_CASE(TheFirstListOfANewWatcherTakesDeletedObjectsFromFollowers)
{
  objectstore::ObjectWatch started({}, 1);
  objectstore::ObjectList const list{ base::ObjectVersion(20), { Put("two", 12).m_object } };
  auto const update = started.UpdateOf(list);
  BOOST_REQUIRE(update.has_value());
  auto follower = MakeListedWatch();
  auto const changes = follower.OnRelayed(*update, kStart + seconds(1));
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->m_changes.size() == 2U);
  BOOST_TEST(std::holds_alternative<objectstore::ObjectDeleted>(changes->m_changes.back()));
  // An old watcher sends its first list as changes from version zero.
  auto other = MakeListedWatch();
  BOOST_TEST(!other.OnRelayed(Update(0, 20, { Put("two", 12) }), kStart).has_value());
}

BOOST_AUTO_TEST_CASE(ADeletionUnknownToTheWatcherReachesFollowers)
{
  objectstore::ObjectWatch watcher({}, 1);
  watcher.OnList(objectstore::ObjectList{ base::ObjectVersion(8), {} }, kStart);
  auto follower = MakeListedWatch();
  objectstore::ObjectChanges const response{ base::ObjectVersion(30), { Deleted("one", 25) } };
  auto const update = watcher.UpdateOf(response);
  BOOST_REQUIRE(update.has_value());
  BOOST_TEST(watcher.OnChanges(response, kStart).m_changes.empty());
  auto const changes = follower.OnRelayed(*update, kStart);
  BOOST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->m_changes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(FollowersReadAGapInTimeAndSpread)
{
  std::set<base::Duration> waits;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    objectstore::VersionGap gap(milliseconds(200), seed);
    BOOST_TEST(!gap.IsDue(kStart));
    gap.OnGap(base::ObjectVersion(20), kStart);
    auto const wait = gap.TimeUntilDue(kStart);
    waits.insert(wait);
    BOOST_TEST((wait < milliseconds(200)));
    // A further gap does not delay the read.
    gap.OnGap(base::ObjectVersion(30), kStart + wait / 2);
    BOOST_TEST(gap.IsDue(kStart + wait));
    gap.OnVersion(base::ObjectVersion(29));
    BOOST_TEST(gap.IsDue(kStart + wait));
    gap.OnVersion(base::ObjectVersion(30));
    BOOST_TEST(!gap.IsDue(kStart + wait));
  }
  BOOST_TEST(waits.size() == 20U);
}

namespace {

using Versions = std::map<objectstore::ObjectKey, base::ObjectVersion>;

void ApplyTo(Versions& aObjects, objectstore::ObjectChange const& aChange)
{
  if (auto const* const put = std::get_if<objectstore::ObjectPut>(&aChange)) {
    aObjects[put->m_object.m_key] = put->m_object.m_version;
  } else {
    aObjects.erase(std::get<objectstore::ObjectDeleted>(aChange).m_key);
  }
}

/// The history of a store. The n-th change has version n.
class History
{
public:
  void Change(std::mt19937& aRandom)
  {
    auto name = "i-" + std::to_string(aRandom() % 9);
    auto const version = m_changes.size() + 1;
    auto objects = m_states.back();
    if (objects.contains(Key(name)) && aRandom() % 2 == 0) {
      m_changes.emplace_back(Deleted(std::move(name), version));
    } else {
      auto put = Put(std::move(name), version);
      put.m_object.m_value.assign(9'000, 'x');
      m_changes.emplace_back(std::move(put));
    }
    ApplyTo(objects, m_changes.back());
    m_states.push_back(std::move(objects));
  }

  base::ObjectVersion Version() const { return base::ObjectVersion(m_changes.size()); }
  Versions const& At(base::ObjectVersion aVersion) const { return m_states.at(aVersion.Value()); }

  objectstore::ObjectChanges After(base::ObjectVersion aVersion) const
  {
    auto const first = m_changes.begin() + static_cast<std::ptrdiff_t>(aVersion.Value());
    return { Version(), { first, m_changes.end() } };
  }

  /// Returns the objects whose names are in one half of the alphabet.
  std::vector<objectstore::Object> Page(bool aIsFirst) const
  {
    std::vector<objectstore::Object> objects;
    for (auto const& [key, version] : m_states.back()) {
      if ((key.m_name.Text() < "i-5") == aIsFirst) {
        auto const& change = m_changes.at(version.Value() - 1);
        objects.push_back(std::get<objectstore::ObjectPut>(change).m_object);
      }
    }
    return objects;
  }

  /// Whether an object was in the given state at some version from aVersion on.
  bool WasAt(objectstore::ObjectKey const& aKey, std::optional<base::ObjectVersion> aObject,
             base::ObjectVersion aVersion) const
  {
    auto const first = m_states.begin() + static_cast<std::ptrdiff_t>(aVersion.Value());
    return std::any_of(first, m_states.end(), [&](Versions const& aState) {
      auto const found = aState.find(aKey);
      return aObject ? found != aState.end() && found->second == *aObject : found == aState.end();
    });
  }

private:
  std::vector<objectstore::ObjectChange> m_changes;
  std::vector<Versions> m_states{ Versions() };
};

/// A process that reads a store and relays what it reads.
class Peer
{
public:
  explicit Peer(std::string aName)
    : m_host(Host(std::move(aName)))
  {
  }

  void Restart() { *this = Peer(m_host.Text()); }

  template<typename Response>
  std::vector<agent::StoreUpdate> OnResponse(Response const& aResponse)
  {
    tl::expected<Response, objectstore::ReadError> const response = aResponse;
    auto const update = m_watch.UpdateOf(response);
    if constexpr (std::is_same_v<Response, objectstore::ObjectList>) {
      Apply(m_watch.OnList(response, kStart));
    } else {
      Apply(m_watch.OnChanges(response, kStart));
    }
    return Split(update.value_or(objectstore::ObjectUpdate{ Version(), { Version(), {} } }));
  }

  /// Returns whether there was a gap.
  bool OnPart(agent::StoreUpdate const& aPart)
  {
    auto const update = m_parts.Add(aPart);
    if (!update) {
      return false;
    }
    auto const known = Version();
    auto const changes = m_watch.OnRelayed({ update->m_from, update->m_changes }, kStart);
    BOOST_TEST((Version() >= known));
    Apply(changes.value_or(objectstore::ObjectChanges()));
    return !changes && m_watch.HasListed();
  }

  void Check(History const& aHistory) const
  {
    auto keys = aHistory.At(Version());
    keys.insert(m_objects.begin(), m_objects.end());
    for (auto const& [key, version] : keys) {
      auto const found = m_objects.find(key);
      auto const object = found == m_objects.end() ? std::nullopt : std::optional(found->second);
      BOOST_TEST(aHistory.WasAt(key, object, Version()),
                 m_host.Text() << " at version " << Version() << ", " << key.m_name.Text());
    }
  }

  base::ObjectVersion Version() const { return m_watch.Version(); }
  bool HasListed() const { return m_watch.HasListed(); }
  Versions const& Objects() const { return m_objects; }

private:
  std::vector<agent::StoreUpdate> Split(objectstore::ObjectUpdate const& aUpdate) const
  {
    agent::StoreUpdate message;
    message.m_host = m_host;
    message.m_from = aUpdate.m_from;
    message.m_changes = aUpdate.m_changes;
    return agent::SplitStoreUpdate(message);
  }

  void Apply(objectstore::ObjectChanges const& aChanges)
  {
    for (auto const& change : aChanges.m_changes) {
      ApplyTo(m_objects, change);
    }
  }

  base::HostId m_host;
  objectstore::ObjectWatch m_watch{ {}, 1 };
  agent::StoreUpdateAssembler m_parts;
  Versions m_objects;
};

/// Watchers and followers whose updates are lost, delayed and reordered, and who
/// restart.
class Domain
{
public:
  explicit Domain(unsigned aSeed)
    : m_random(aSeed)
  {
  }

  void Step()
  {
    auto const kind = Below(20);
    if (kind < 6) {
      m_history.Change(m_random);
    } else if (kind < 8) {
      Read(Below(2));
    } else if (kind == 8 && Below(4) == 0) {
      m_peers.at(Below(m_peers.size())).Restart();
    } else if (!m_deliveries.empty()) {
      Deliver(Below(std::min<std::size_t>(m_deliveries.size(), 12)));
    }
    for (auto const& peer : m_peers) {
      peer.Check(m_history);
    }
  }

  void CheckEnd()
  {
    BOOST_TEST(m_gaps > 0U);
    for (auto& peer : m_peers) {
      peer.OnResponse(m_history.After(peer.Version()));
      BOOST_TEST((peer.Objects() == m_history.At(m_history.Version())));
    }
  }

private:
  struct Delivery
  {
    std::size_t m_receiver;
    agent::StoreUpdate m_part;
  };

  std::size_t Below(std::size_t aLimit) { return std::size_t(m_random() % aLimit); }

  void Relay(std::size_t aSender, std::vector<agent::StoreUpdate> const& aParts)
  {
    for (std::size_t receiver = 0; receiver < m_peers.size(); ++receiver) {
      for (auto const& part : aParts) {
        if (receiver != aSender && Below(8) > 0) {
          m_deliveries.push_back({ receiver, part });
        }
      }
    }
  }

  void Deliver(std::size_t aNumber)
  {
    auto const delivery = m_deliveries.at(aNumber);
    m_deliveries.erase(m_deliveries.begin() + static_cast<std::ptrdiff_t>(aNumber));
    auto& peer = m_peers.at(delivery.m_receiver);
    bool const hasGap = peer.OnPart(delivery.m_part);
    m_gaps += hasGap ? 1 : 0;
    if (hasGap || !peer.HasListed()) {
      Read(delivery.m_receiver);
    }
  }

  void Read(std::size_t aPeer)
  {
    auto& peer = m_peers.at(aPeer);
    if (peer.HasListed() && Below(6) > 0) {
      Relay(aPeer, peer.OnResponse(m_history.After(peer.Version())));
      return;
    }
    // Changes arrive between the pages of a list.
    objectstore::ObjectList list{ m_history.Version(), m_history.Page(true) };
    for (auto changes = Below(3); changes > 0; --changes) {
      m_history.Change(m_random);
    }
    std::ranges::move(m_history.Page(false), std::back_inserter(list.m_objects));
    Relay(aPeer, peer.OnResponse(list));
  }

  std::mt19937 m_random;
  History m_history;
  std::vector<Peer> m_peers{ Peer("a"), Peer("b"), Peer("c"), Peer("d") };
  std::vector<Delivery> m_deliveries;
  unsigned m_gaps = 0;
};

} // namespace

BOOST_DATA_TEST_CASE(AProcessHasAppliedEveryChangeUpToItsVersion,
                     boost::unit_test::data::xrange(1, 41), aSeed)
{
  Domain domain(static_cast<unsigned>(aSeed));
  for (int step = 0; step < 1'500; ++step) {
    domain.Step();
  }
  domain.CheckEnd();
}

/// Watching and passing on takes a host's link and processor: on the smallest ones a
/// site's first by name fell behind, and their neighbours with them.
BOOST_AUTO_TEST_CASE(PreferredProcessesWatchInsteadOfTheFirstByName)
{
  WatchRole first({}, Host("a"));
  WatchRole third({}, Host("c"));
  std::vector<base::Endpoint> const preferred{ Neighbours().at(Host("c")),
                                               Neighbours().at(Host("d")) };
  first.OnNeighbours(Neighbours(), preferred, kStart);
  third.OnNeighbours(Neighbours(), preferred, kStart);
  BOOST_TEST(!first.IsWatcher(kStart));
  BOOST_TEST(third.IsWatcher(kStart));
  BOOST_TEST(first.UpdateRecipients(kStart).empty());
  BOOST_TEST(third.UpdateRecipients(kStart).size() == Neighbours().size() - 1);
  // Without updates, and without neighbours, each watches for itself.
  BOOST_TEST(!first.MaySuspendListWatch(kStart));
  BOOST_TEST(first.IsWatcher(kStart + std::chrono::seconds(10)));
}
