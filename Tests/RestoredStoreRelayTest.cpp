#define BOOST_TEST_MODULE RestoredStoreRelay
#include "Agent/Fleet/FleetCodec.h"
#include "Agent/Fleet/StoreUpdateAssembler.h"
#include "Entry/Relay/WatchRole.h"
#include "ObjectStore/ObjectStoreClient.h"
#include "ObjectStore/ObjectWatch.h"
#include "ObjectStore/VersionGap.h"
#include "platform/StoreCodec.h"
#include "Programs/StoreAccess.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <map>
#include <optional>
#include <random>

using namespace sardinefold;
using namespace sardinefold::objectstore;
using std::chrono::milliseconds;

namespace {

constexpr base::Instant kStart{ std::chrono::seconds(1000) };
constexpr base::Duration kStep = milliseconds(10);
constexpr base::Duration kWatchTime = milliseconds(1'500);
constexpr base::Duration kUpdateInterval = milliseconds(200);
/// After the store's return every process knows its objects within this time.
constexpr base::Duration kBound = milliseconds(2'000);
constexpr std::size_t kPeers = 5;

using Access = programs::StoreAccess<platform::StoreClient>;

using Objects = std::map<ObjectKey, std::string>;

class Random
{
public:
  explicit Random(unsigned aSeed)
    : m_engine(aSeed)
  {
  }
  std::size_t Below(std::size_t aLimit) { return std::size_t(m_engine() % aLimit); }
  base::Duration Delay(std::size_t aSteps) { return kStep * std::int64_t(Below(aSteps)); }

private:
  std::mt19937 m_engine;
};

/// A store that goes away and comes back from copies of any age.
class Store
{
public:
  void Change(Random& aRandom)
  {
    auto const name = "i-" + std::to_string(aRandom.Below(9));
    ObjectKey const key{ ObjectKind::Upstream, ObjectName::FromValidated(name) };
    ++m_state.m_number;
    if (m_state.m_objects.contains(key) && aRandom.Below(2) == 0) {
      m_state.m_objects.erase(key);
      m_state.m_history.emplace_back(ObjectDeleted{ key, Version() });
    } else {
      Object object{ key, Version(), "v" + std::to_string(++m_written), {} };
      object.m_value.resize(5'000, 'x');
      m_state.m_objects.insert_or_assign(key, object);
      m_state.m_history.emplace_back(ObjectPut{ std::move(object) });
    }
    m_copies.push_back(m_state);
    if (m_copies.size() > kCopies) {
      m_copies.pop_front();
    }
  }

  void Restore(Random& aRandom)
  {
    m_state = m_copies.at(aRandom.Below(m_copies.size()));
    ++m_era;
  }

  ReadResult<ObjectList> List() const
  {
    ObjectList list{ Version(), {} };
    for (auto object : m_state.m_objects) {
      object.second.m_version = { base::StoreEra(m_era), object.second.m_version.Value() };
      list.m_objects.push_back(std::move(object.second));
    }
    return list;
  }

  /// Returns nothing while there is no change.
  std::optional<ReadResult<ObjectChanges>> Watch(base::ObjectVersion aAfter) const
  {
    if (aAfter.Value() > m_state.m_number) {
      return tl::make_unexpected(ReadError{ ReadError::Kind::Compacted, "" });
    }
    if (aAfter.Value() == m_state.m_number) {
      return std::nullopt;
    }
    ObjectChanges changes{ Version(), {} };
    for (auto number = aAfter.Value(); number < m_state.m_number; ++number) {
      changes.m_changes.push_back(OfThisEra(m_state.m_history.at(number)));
    }
    return changes;
  }

  Objects Content() const
  {
    Objects content;
    for (auto const& [key, object] : m_state.m_objects) {
      content.emplace(key, object.m_value);
    }
    return content;
  }

  base::ObjectVersion Version() const { return { base::StoreEra(m_era), m_state.m_number }; }
  std::uint64_t Era() const { return m_era; }

private:
  struct State
  {
    std::map<ObjectKey, Object> m_objects;
    std::vector<ObjectChange> m_history;
    std::uint64_t m_number = 0;
  };

  ObjectChange OfThisEra(ObjectChange aChange) const
  {
    base::StoreEra const era(m_era);
    if (auto* const put = std::get_if<ObjectPut>(&aChange)) {
      put->m_object.m_version = { era, put->m_object.m_version.Value() };
    } else {
      auto& deleted = std::get<ObjectDeleted>(aChange);
      deleted.m_version = { era, deleted.m_version.Value() };
    }
    return aChange;
  }

  State m_state;
  static constexpr std::size_t kCopies = 30;

  std::deque<State> m_copies{ State() };
  std::uint64_t m_era = 1;
  std::uint64_t m_written = 0;
};

/// A call to the store; it is executed at m_reachesAt and ends at m_endsAt.
struct Call
{
  std::optional<base::ObjectVersion> m_after;
  base::Instant m_reachesAt;
  base::Instant m_watchEnd;
  base::Duration m_wayBack;
  std::uint64_t m_eraAtExecution = 0;
  std::optional<ReadResult<ObjectList>> m_list;
  std::optional<ReadResult<ObjectChanges>> m_changes;
  base::Instant m_endsAt{};

  bool IsAnswered() const { return m_list || m_changes; }
};

/// A process that follows the store as WatchSession and StoreFollower do.
class Peer
{
public:
  Peer(std::size_t aNumber, std::uint64_t aSeed)
    : m_host(HostOf(aNumber))
    , m_watch({ milliseconds(50), milliseconds(400) }, aSeed)
    , m_gap(milliseconds(200), aSeed)
    , m_breaker(Access::Circuit(), aSeed)
    , m_role({}, m_host)
  {
  }

  static base::HostId HostOf(std::size_t aNumber)
  {
    return base::HostId::FromValidated("front-" + std::to_string(aNumber));
  }

  void Tick(base::Instant aNow)
  {
    std::map<base::HostId, base::Endpoint> neighbours;
    for (std::size_t number = 0; number < kPeers; ++number) {
      neighbours.emplace(HostOf(number), base::Endpoint{ "10.0.0.1", std::uint16_t(number + 1) });
    }
    m_role.OnNeighbours(std::move(neighbours), {}, aNow);
  }

  std::optional<Call> NextCall(base::Instant aNow, Random& aRandom)
  {
    bool const maySuspend =
      m_watch.HasListed() && !m_isBehind && !m_gap.IsDue(aNow) && m_role.MaySuspendListWatch(aNow);
    if (maySuspend) {
      return std::nullopt;
    }
    auto const step = m_watch.Next(aNow);
    if (std::holds_alternative<WatchAgainAt>(step)) {
      return std::nullopt;
    }
    Call call;
    if (auto const* const watch = std::get_if<WatchAfter>(&step)) {
      call.m_after = watch->m_version;
    }
    if (!m_breaker.Allow(aNow)) {
      m_watch.OnChanges(tl::make_unexpected(ReadError{ ReadError::Kind::CircuitOpen, "" }), aNow);
      return std::nullopt;
    }
    call.m_reachesAt = aNow + aRandom.Delay(5);
    call.m_watchEnd = aNow + kWatchTime;
    call.m_wayBack = aRandom.Delay(5);
    return call;
  }

  /// Returns what the process relays.
  std::optional<ObjectUpdate> OnResponse(Call const& aCall, base::Instant aNow)
  {
    std::optional<ObjectUpdate> update;
    ObjectChanges changes;
    if (aCall.m_list) {
      update = m_watch.UpdateOf(*aCall.m_list);
      changes = m_watch.OnList(*aCall.m_list, aNow);
    } else {
      update = m_watch.UpdateOf(*aCall.m_changes);
      changes = m_watch.OnChanges(*aCall.m_changes, aNow);
    }
    bool const hasFailed = aCall.m_list ? !*aCall.m_list : !*aCall.m_changes;
    bool const isOutage =
      hasFailed && (aCall.m_list || aCall.m_changes->error().m_kind != ReadError::Kind::Compacted);
    if (isOutage) {
      m_breaker.OnFailure(aNow);
    } else {
      m_breaker.OnSuccess(aNow);
    }
    m_isBehind = (m_isBehind && hasFailed) || m_watch.IsOutdated();
    m_gap.OnVersion(m_watch.Version());
    Apply(changes);
    return update;
  }

  void OnPart(agent::StoreUpdate const& aPart, base::Instant aNow)
  {
    auto const update = m_parts.Add(aPart);
    if (!update) {
      return;
    }
    auto const era = update->m_changes.m_version.Era();
    m_role.OnUpdate(update->m_host, era, update->m_listAge, update->m_listAge, aNow);
    if (era < m_watch.Version().Era()) {
      return;
    }
    auto const changes =
      m_watch.OnRelayed({ update->m_from, update->m_changes }, aNow - update->m_listAge);
    if (!changes) {
      m_gap.OnGap(update->m_changes.m_version, aNow);
      return;
    }
    m_gap.OnVersion(m_watch.Version());
    Apply(*changes);
  }

  std::vector<agent::StoreUpdate> Relay(std::optional<ObjectUpdate> const& aUpdate,
                                        base::Instant aNow) const
  {
    if (!m_role.IsWatcher(aNow)) {
      return {};
    }
    agent::StoreUpdate message;
    message.m_host = m_host;
    message.m_from = aUpdate ? aUpdate->m_from : m_watch.Version();
    message.m_changes = aUpdate ? aUpdate->m_changes : ObjectChanges{ m_watch.Version(), {} };
    message.m_listAge = aNow - m_watch.LastContact();
    return agent::SplitStoreUpdate(message);
  }

  ObjectWatch const& Watch() const { return m_watch; }
  Objects const& Content() const { return m_objects; }

private:
  void Apply(ObjectChanges const& aChanges)
  {
    BOOST_TEST((aChanges.m_version >= m_applied || aChanges.m_changes.empty()));
    m_applied = std::max(m_applied, aChanges.m_version);
    if (aChanges.m_restoredFrom) {
      BOOST_TEST((aChanges.m_restoredFrom->Era() < aChanges.m_version.Era()));
    }
    for (auto const& change : aChanges.m_changes) {
      if (auto const* const put = std::get_if<ObjectPut>(&change)) {
        m_objects.insert_or_assign(put->m_object.m_key, put->m_object.m_value);
      } else {
        m_objects.erase(std::get<ObjectDeleted>(change).m_key);
      }
    }
    m_role.OnEra(m_watch.Version().Era());
  }

  base::HostId m_host;
  ObjectWatch m_watch;
  VersionGap m_gap;
  CircuitBreaker m_breaker;
  entry::WatchRole m_role;
  agent::StoreUpdateAssembler m_parts;
  Objects m_objects;
  base::ObjectVersion m_applied;
  bool m_isBehind = false;
};

/// A failure domain on a virtual network that delays, repeats and loses.
class Domain
{
public:
  explicit Domain(unsigned aSeed)
    : m_random(aSeed)
  {
    for (std::size_t number = 0; number < kPeers; ++number) {
      m_peers.emplace_back(number, m_random.Below(1'000'000));
      m_calls.emplace_back();
    }
  }

  /// Several changes, restarts, outages and restorations.
  void Disturb()
  {
    auto const end = m_now + milliseconds(500) + m_random.Delay(300);
    while (m_now < end || !m_isUp) {
      if (m_random.Below(25) == 0 && m_isUp) {
        m_store.Change(m_random);
      }
      if (m_random.Below(60) == 0) {
        ToggleStore();
      }
      if (m_random.Below(100) == 0) {
        auto const number = m_random.Below(kPeers);
        m_peers.at(number) = Peer(number, m_random.Below(1'000'000));
        m_calls.at(number).reset();
      }
      Step(true);
    }
  }

  /// Waits for the bound and checks what the processes know.
  void Settle()
  {
    for (auto const end = m_now + kBound; m_now < end;) {
      Step(false);
    }
    for (std::size_t number = 0; number < kPeers; ++number) {
      auto const& peer = m_peers.at(number);
      BOOST_TEST(peer.Watch().Version() == m_store.Version(), "version of " << number);
      BOOST_TEST((peer.Content() == m_store.Content()), "objects of " << number);
    }
  }

  std::uint64_t Era() const { return m_store.Era(); }

private:
  struct Delivery
  {
    std::size_t m_receiver;
    std::string m_message;
  };

  void ToggleStore()
  {
    if (m_isUp && m_random.Below(4) == 0) {
      // A switch without an outage.
      m_store.Restore(m_random);
      return;
    }
    m_isUp = !m_isUp;
    if (m_random.Below(3) > 0) {
      m_store.Restore(m_random);
    }
  }

  void Step(bool aIsDisturbed)
  {
    m_now += kStep;
    for (std::size_t number = 0; number < kPeers; ++number) {
      m_peers.at(number).Tick(m_now);
      StepCall(number, aIsDisturbed);
    }
    if ((m_now - kStart) % kUpdateInterval == base::Duration::zero()) {
      for (std::size_t number = 0; number < kPeers; ++number) {
        Send(number, m_peers.at(number).Relay(std::nullopt, m_now), aIsDisturbed);
      }
    }
    while (!m_deliveries.empty() && m_deliveries.begin()->first <= m_now) {
      auto const delivery = m_deliveries.begin()->second;
      m_deliveries.erase(m_deliveries.begin());
      auto const decoded = agent::DecodeFleetMessage(delivery.m_message);
      BOOST_REQUIRE(decoded.has_value());
      m_peers.at(delivery.m_receiver)
        .OnPart(std::get<agent::StoreUpdate>(decoded->m_message), m_now);
    }
  }

  void StepCall(std::size_t aPeer, bool aIsDisturbed)
  {
    auto& call = m_calls.at(aPeer);
    if (!call) {
      call = m_peers.at(aPeer).NextCall(m_now, m_random);
    }
    if (call && !call->IsAnswered() && call->m_reachesAt <= m_now) {
      Execute(*call);
      if (call->IsAnswered()) {
        bool const isLate = aIsDisturbed && m_random.Below(8) == 0;
        call->m_endsAt = m_now + (isLate ? m_random.Delay(80) : call->m_wayBack);
      }
    }
    if (call && call->IsAnswered() && call->m_endsAt <= m_now) {
      auto const answered = std::move(*call);
      call.reset();
      auto& peer = m_peers.at(aPeer);
      if (auto const update = peer.OnResponse(answered, m_now)) {
        Send(aPeer, peer.Relay(update, m_now), aIsDisturbed);
      }
    }
  }

  void Execute(Call& aCall)
  {
    bool const isFirst = aCall.m_eraAtExecution == 0;
    bool const isCut = !isFirst && aCall.m_eraAtExecution != m_store.Era() && m_random.Below(2) > 0;
    aCall.m_eraAtExecution = m_store.Era();
    if (!m_isUp || isCut) {
      auto const error = tl::make_unexpected(ReadError{ ReadError::Kind::Unavailable, "" });
      if (aCall.m_after) {
        aCall.m_changes = error;
      } else {
        aCall.m_list = error;
      }
      return;
    }
    if (!aCall.m_after) {
      aCall.m_list = m_store.List();
      return;
    }
    aCall.m_changes = m_store.Watch(*aCall.m_after);
    if (!aCall.m_changes && m_now >= aCall.m_watchEnd) {
      aCall.m_changes = ObjectChanges{ m_store.Version(), {} };
    }
  }

  void Send(std::size_t aSender, std::vector<agent::StoreUpdate> const& aParts, bool aIsDisturbed)
  {
    for (std::size_t receiver = 0; receiver < kPeers; ++receiver) {
      for (auto const& part : aParts) {
        if (receiver == aSender || (aIsDisturbed && m_random.Below(8) == 0)) {
          continue;
        }
        Delivery const delivery{ receiver, agent::EncodeFleetMessage({ part, std::nullopt, {} }) };
        bool const isRepeated = m_random.Below(8) == 0;
        bool const isLate = aIsDisturbed && m_random.Below(8) == 0;
        m_deliveries.emplace(m_now + m_random.Delay(isLate ? 200 : 5), delivery);
        if (isRepeated) {
          m_deliveries.emplace(m_now + m_random.Delay(100), delivery);
        }
      }
    }
  }

  Random m_random;
  Store m_store;
  base::Instant m_now = kStart;
  bool m_isUp = true;
  std::vector<Peer> m_peers;
  std::vector<std::optional<Call>> m_calls;
  std::multimap<base::Instant, Delivery> m_deliveries;
};

} // namespace

BOOST_DATA_TEST_CASE(EveryProcessKnowsTheObjectsOfARestoredStore,
                     boost::unit_test::data::xrange(1, 41), aSeed)
{
  Domain domain(static_cast<unsigned>(aSeed));
  for (int round = 0; round < 12; ++round) {
    domain.Disturb();
    domain.Settle();
  }
  BOOST_TEST(domain.Era() > 10U);
}
