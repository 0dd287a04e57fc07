#define BOOST_TEST_MODULE ReplicaManager
#include "Engine/ReplicaManager.h"

#include "Tests/Fakes/FakeEngine.h"

#include <boost/test/unit_test.hpp>

#include <random>
#include <vector>

using namespace sardinefold;
using namespace std::chrono_literals;
using engine::OrderOutcome;
using engine::ReplicaKey;
using operators::RequestClass;

namespace {

constexpr base::Duration kOrderTimeout = 5s;
constexpr base::Duration kLease = 10s;

ReplicaKey Model(std::string const& aName)
{
  return { base::ModelId::FromValidated(aName), std::nullopt };
}

ReplicaKey Adapter(std::string const& aModel, std::string const& aName)
{
  return { base::ModelId::FromValidated(aModel), base::AdapterId::FromValidated(aName) };
}

base::RequestId RequestNamed(int aNumber)
{
  return base::RequestId::FromValidated("r" + std::to_string(aNumber));
}

template<typename Action>
std::vector<Action> ActionsOf(engine::ReplicaActions const& aActions)
{
  std::vector<Action> found;
  for (auto const& action : aActions) {
    if (auto const* match = std::get_if<Action>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

engine::ReplicaCatalog SmallCatalog()
{
  return {
    { Model("a"), { base::Bytes(40), base::Bytes(10) } },
    { Model("b"), { base::Bytes(40), base::Bytes(10) } },
    { Model("c"), { base::Bytes(60), base::Bytes(10) } },
    { Adapter("a", "x"), { base::Bytes(5), base::Bytes(0) } },
    { Model("huge"), { base::Bytes(200), base::Bytes(0) } },
  };
}

engine::Permissions GrantAll()
{
  engine::Permissions permissions;
  for (auto const& [key, memory] : SmallCatalog()) {
    permissions[key.m_model] = {};
  }
  return permissions;
}

/// Sets up a manager of an empty engine with 100 bytes that accepts requests.
struct ManagerFixture
{
  explicit ManagerFixture(engine::FencingSupport aSupport = engine::FencingSupport::Checked)
    : m_manager({ base::Bytes(100) }, engine::WriterLease(aSupport, { kLease, kOrderTimeout }))
  {
    m_manager.Lease().Acquire(base::FencingNumber(1), m_now, m_now);
    m_manager.OnFenceOutcome(OrderOutcome::Done, m_now);
    m_manager.SetCatalog(SmallCatalog(), m_now);
    m_manager.SetPermissions(GrantAll(), m_now);
    m_manager.OnEngineState({}, m_now, m_now);
  }

  engine::ReplicaActions Request(int aNumber, ReplicaKey const& aKey,
                                 RequestClass aClass = RequestClass::Interactive,
                                 base::Duration aLimit = 20s)
  {
    return m_manager.Request(RequestNamed(aNumber), aKey, { aClass, m_now + aLimit }, m_now);
  }

  /// Grants the slot and completes the load after the given time.
  engine::ReplicaActions Load(engine::OrderId aOrder, base::Duration aTime = 1s)
  {
    auto const sent = m_manager.OnSlotGranted(aOrder, m_now + 1s, m_now);
    BOOST_REQUIRE_EQUAL(ActionsOf<engine::OrderLoad>(sent).size(), 1);
    m_now += aTime;
    return m_manager.OnOrderOutcome(aOrder, OrderOutcome::Done, m_now);
  }

  engine::OrderId RequestedOrder(engine::ReplicaActions const& aActions)
  {
    auto const requested = ActionsOf<engine::RequestSlot>(aActions);
    BOOST_REQUIRE_EQUAL(requested.size(), 1);
    return requested.front().m_order;
  }

  base::Instant m_now{ 1h };
  engine::ReplicaManager m_manager;
};

} // namespace

BOOST_AUTO_TEST_CASE(LedgerReservesWholeReplicasWithinItsCapacity)
{
  engine::MemoryLedger ledger(base::Bytes(100));
  BOOST_TEST(ledger.Reserve(Model("a"), { base::Bytes(60), base::Bytes(20) }).has_value());
  auto const refused = ledger.Reserve(Model("b"), { base::Bytes(21), base::Bytes(0) });
  BOOST_REQUIRE(!refused);
  BOOST_TEST((refused.error().m_kind == engine::MemoryError::Kind::Insufficient));
  BOOST_TEST(refused.error().m_free == base::Bytes(20));
  BOOST_TEST(
    (ledger.Reserve(Model("a"), {}).error().m_kind == engine::MemoryError::Kind::AlreadyReserved));
  BOOST_TEST((ledger.Reserve(Model("b"), { base::Bytes(-1), base::Bytes(0) }).error().m_kind ==
              engine::MemoryError::Kind::InvalidSize));
  BOOST_TEST(ledger.Release(Model("a")));
  BOOST_TEST(!ledger.Release(Model("a")));
  BOOST_TEST(ledger.Free() == base::Bytes(100));
}

BOOST_AUTO_TEST_CASE(OvercommittedLedgerReservesNothing)
{
  engine::MemoryLedger ledger(base::Bytes(100));
  ledger.Adopt({ Model("a"), { base::Bytes(120), base::Bytes(0) } });
  BOOST_TEST(ledger.Free() == base::Bytes(0));
  BOOST_TEST(!ledger.Reserve(Model("b"), { base::Bytes(1), base::Bytes(0) }));
}

BOOST_AUTO_TEST_CASE(SuccessorWaitsForThePredecessorsLeaseWhenTheEngineIgnoresFencing)
{
  base::Instant const now{ 1h };
  engine::WriterLease lease(engine::FencingSupport::Ignored, { kLease, kOrderTimeout });
  lease.Acquire(base::FencingNumber(2), now, now);
  BOOST_TEST(!lease.MayOrder(now + kLease + kOrderTimeout - 1ms));
  lease.Renew(base::FencingNumber(2), now + kLease);
  BOOST_TEST(lease.MayOrder(now + kLease + kOrderTimeout));
  BOOST_TEST(!lease.MayOrder(now + kLease + kLease));
}

BOOST_AUTO_TEST_CASE(PausedWriterSendsNoOrderAfterResuming)
{
  base::Instant const now{ 1h };
  engine::WriterLease lease(engine::FencingSupport::Ignored, { kLease, kOrderTimeout });
  lease.Acquire(base::FencingNumber(1), now, now);
  BOOST_TEST(lease.MayOrder(now));
  BOOST_TEST(!lease.MayOrder(now + kLease));
  lease.Renew(base::FencingNumber(2), now + kLease);
  lease.RenewBySlot(now + kLease);
  BOOST_TEST(!lease.MayOrder(now + kLease));
}

BOOST_AUTO_TEST_CASE(RequestsForOneReplicaJoinOneLoad)
{
  ManagerFixture fixture;
  auto const order = fixture.RequestedOrder(fixture.Request(1, Model("a")));
  for (int number = 2; number < 10; ++number) {
    BOOST_TEST(ActionsOf<engine::RequestSlot>(fixture.Request(number, Model("a"))).empty());
  }
  auto const loaded = fixture.Load(order);
  BOOST_TEST(ActionsOf<engine::StartRequest>(loaded).size() == 9);
  BOOST_TEST(ActionsOf<engine::ReleaseSlot>(loaded).size() == 1);
  BOOST_TEST(ActionsOf<engine::StartRequest>(fixture.Request(10, Model("a"))).size() == 1);
}

BOOST_AUTO_TEST_CASE(MoreUrgentWaiterRaisesTheClassOfTheSlotRequest)
{
  ManagerFixture fixture;
  auto const order = fixture.RequestedOrder(fixture.Request(1, Model("a"), RequestClass::Batch));
  auto const again = ActionsOf<engine::RequestSlot>(fixture.Request(2, Model("a")));
  BOOST_REQUIRE_EQUAL(again.size(), 1);
  BOOST_TEST(again.front().m_order == order);
  BOOST_TEST((again.front().m_class == RequestClass::Interactive));
}

BOOST_AUTO_TEST_CASE(LoadWithoutWaitersIsCancelled)
{
  ManagerFixture fixture;
  auto const order = fixture.RequestedOrder(fixture.Request(1, Model("a")));
  auto const ended = fixture.m_manager.End(RequestNamed(1), fixture.m_now);
  BOOST_TEST(ActionsOf<engine::ReleaseSlot>(ended).size() == 1);
  BOOST_TEST(fixture.m_manager.Ledger().Used() == base::Bytes(0));
  auto const late = fixture.m_manager.OnSlotGranted(order, fixture.m_now + 1s, fixture.m_now);
  BOOST_TEST(ActionsOf<engine::OrderLoad>(late).empty());
  BOOST_TEST(ActionsOf<engine::ReleaseSlot>(late).size() == 1);
}

BOOST_AUTO_TEST_CASE(AdapterLoadsAfterItsBaseModel)
{
  ManagerFixture fixture;
  auto const first = ActionsOf<engine::RequestSlot>(fixture.Request(1, Adapter("a", "x")));
  BOOST_REQUIRE(first.empty() || first.front().m_replica == Model("a"));
  auto const base =
    first.empty() ? ActionsOf<engine::RequestSlot>(fixture.m_manager.Tick(fixture.m_now)) : first;
  BOOST_REQUIRE_EQUAL(base.size(), 1);
  auto const loaded = fixture.Load(base.front().m_order);
  BOOST_TEST(ActionsOf<engine::StartRequest>(loaded).empty());
  auto const adapter = ActionsOf<engine::RequestSlot>(loaded);
  BOOST_REQUIRE_EQUAL(adapter.size(), 1);
  BOOST_TEST(adapter.front().m_replica == Adapter("a", "x"));
  BOOST_TEST(ActionsOf<engine::StartRequest>(fixture.Load(adapter.front().m_order)).size() == 1);
}

BOOST_AUTO_TEST_CASE(IdleReplicaIsEvictedAndABusyOneIsNot)
{
  ManagerFixture fixture;
  fixture.Load(fixture.RequestedOrder(fixture.Request(1, Model("a"))));
  fixture.Load(fixture.RequestedOrder(fixture.Request(2, Model("b"))));
  auto const blocked = fixture.Request(3, Model("c"));
  BOOST_TEST(ActionsOf<engine::OrderUnload>(blocked).empty());
  fixture.m_manager.End(RequestNamed(1), fixture.m_now);
  auto const freed = fixture.m_manager.End(RequestNamed(2), fixture.m_now);
  auto const unloads = ActionsOf<engine::OrderUnload>(freed);
  BOOST_REQUIRE_EQUAL(unloads.size(), 2);
  BOOST_TEST(ActionsOf<engine::RequestSlot>(freed).empty());
  fixture.m_manager.OnOrderOutcome(unloads[0].m_order, OrderOutcome::Done, fixture.m_now);
  auto const last =
    fixture.m_manager.OnOrderOutcome(unloads[1].m_order, OrderOutcome::Done, fixture.m_now);
  BOOST_TEST(ActionsOf<engine::RequestSlot>(last).size() == 1);
}

BOOST_AUTO_TEST_CASE(BatchDoesNotEvictRecentlyUsedReplicas)
{
  ManagerFixture fixture;
  fixture.Load(fixture.RequestedOrder(fixture.Request(1, Model("c"))));
  fixture.m_manager.End(RequestNamed(1), fixture.m_now);
  auto const batch = fixture.Request(2, Model("a"), RequestClass::Batch, 10min);
  BOOST_TEST(ActionsOf<engine::OrderUnload>(batch).empty());
  fixture.m_now += 31s;
  BOOST_TEST(ActionsOf<engine::OrderUnload>(fixture.m_manager.Tick(fixture.m_now)).size() == 1);
}

BOOST_AUTO_TEST_CASE(RequestsThatCannotBeServedAreRefusedAtOnce)
{
  ManagerFixture fixture;
  auto const reason = [&fixture](ReplicaKey const& aKey, base::Duration aLimit) {
    auto const refused =
      ActionsOf<engine::RefuseRequest>(fixture.Request(1, aKey, RequestClass::Interactive, aLimit));
    BOOST_REQUIRE_EQUAL(refused.size(), 1);
    return ToText(refused.front().m_reason);
  };
  BOOST_TEST(reason(Model("nothing"), 10s) == "unknown-replica");
  BOOST_TEST(reason(Model("huge"), 10s) == "too-large");
  BOOST_TEST(reason(Model("a"), 0s) == "not-in-time");
  fixture.Load(fixture.RequestedOrder(fixture.Request(2, Model("a"))), 4s);
  BOOST_TEST(reason(Model("b"), 3s) == "not-in-time");
  fixture.m_manager.SetPermissions({}, fixture.m_now);
  BOOST_TEST(reason(Model("a"), 10s) == "not-permitted");
}

BOOST_AUTO_TEST_CASE(WaitingRequestIsRefusedAtItsDeadline)
{
  ManagerFixture fixture;
  fixture.Request(1, Model("a"), RequestClass::Interactive, 2s);
  BOOST_TEST(
    ActionsOf<engine::RefuseRequest>(fixture.m_manager.Tick(fixture.m_now + 1999ms)).empty());
  auto const late = fixture.m_manager.Tick(fixture.m_now + 2s);
  BOOST_TEST(ActionsOf<engine::RefuseRequest>(late).size() == 1);
  BOOST_TEST(fixture.m_manager.Ledger().Used() == base::Bytes(0));
}

BOOST_AUTO_TEST_CASE(RevokedModelIsConfirmedOnlyAfterItsUnload)
{
  ManagerFixture fixture;
  fixture.Load(fixture.RequestedOrder(fixture.Request(1, Model("a"))));
  auto permissions = GrantAll();
  permissions[Model("a").m_model].m_state = engine::Permission::State::Revoking;
  BOOST_TEST(
    ActionsOf<engine::OrderUnload>(fixture.m_manager.SetPermissions(permissions, fixture.m_now))
      .empty());
  BOOST_TEST(ActionsOf<engine::ConfirmRevoked>(fixture.m_manager.Tick(fixture.m_now)).empty());
  auto const ended =
    ActionsOf<engine::OrderUnload>(fixture.m_manager.End(RequestNamed(1), fixture.m_now));
  BOOST_REQUIRE_EQUAL(ended.size(), 1);
  fixture.m_manager.OnOrderOutcome(ended.front().m_order, OrderOutcome::Lost,
                                   fixture.m_now + kOrderTimeout);
  BOOST_TEST(
    ActionsOf<engine::ConfirmRevoked>(fixture.m_manager.Tick(fixture.m_now + kOrderTimeout))
      .empty());
  fixture.m_now += 2 * kOrderTimeout;
  fixture.m_manager.OnEngineState({}, fixture.m_now, fixture.m_now);
  auto const confirmed = ActionsOf<engine::ConfirmRevoked>(fixture.m_manager.Tick(fixture.m_now));
  BOOST_REQUIRE_EQUAL(confirmed.size(), 1);
  BOOST_TEST(confirmed.front().m_model == Model("a").m_model);
}

BOOST_AUTO_TEST_CASE(LostResponseIsResolvedOnlyByAReadAfterTheOrderTimeout)
{
  ManagerFixture fixture;
  auto const order =
    fixture.RequestedOrder(fixture.Request(1, Model("a"), RequestClass::Standard, 1min));
  fixture.m_manager.OnSlotGranted(order, fixture.m_now + 1s, fixture.m_now);
  base::Instant const sent = fixture.m_now;
  fixture.m_manager.OnOrderOutcome(order, OrderOutcome::Lost, sent + 1s);
  fixture.m_manager.OnEngineState({}, sent + 2s, sent + 2s);
  BOOST_TEST(fixture.m_manager.Ledger().Used() == base::Bytes(50));
  engine::EngineState const holds{ { { Model("a"), { base::Bytes(40), base::Bytes(10) } } } };
  auto const resolved =
    fixture.m_manager.OnEngineState(holds, sent + kOrderTimeout, sent + kOrderTimeout);
  BOOST_TEST(ActionsOf<engine::StartRequest>(resolved).size() == 1);
  BOOST_TEST(ActionsOf<engine::ReleaseSlot>(resolved).size() == 1);
}

BOOST_AUTO_TEST_CASE(FencedOffAgentRefusesItsWaitingRequests)
{
  ManagerFixture fixture;
  auto const order = fixture.RequestedOrder(fixture.Request(1, Model("a")));
  fixture.m_manager.OnSlotGranted(order, fixture.m_now + 1s, fixture.m_now);
  fixture.m_manager.OnOrderOutcome(order, OrderOutcome::FencedOff, fixture.m_now);
  auto const refused = ActionsOf<engine::RefuseRequest>(fixture.m_manager.Tick(fixture.m_now));
  BOOST_REQUIRE_EQUAL(refused.size(), 1);
  BOOST_TEST((refused.front().m_reason == engine::ReplicaRefusal::LostWriter));
}

BOOST_AUTO_TEST_CASE(NewIncarnationAdoptsTheReplicasOfTheEngine)
{
  base::Instant const now{ 1h };
  engine::ReplicaManager manager(
    { base::Bytes(100) },
    engine::WriterLease(engine::FencingSupport::Checked, { kLease, kOrderTimeout }));
  manager.Lease().Acquire(base::FencingNumber(2), now, now);
  manager.SetCatalog(SmallCatalog(), now);
  manager.SetPermissions(GrantAll(), now);
  BOOST_TEST(manager.OnEngineState({}, now, now).empty());
  BOOST_TEST(!manager.IsReconciled());
  BOOST_TEST(ActionsOf<engine::RaiseFence>(manager.Tick(now)).size() == 1);
  auto const fenced = manager.OnFenceOutcome(OrderOutcome::Done, now);
  BOOST_TEST(ActionsOf<engine::ReadEngineState>(fenced).size() == 1);
  auto const early =
    manager.Request(RequestNamed(1), Model("a"), { RequestClass::Standard, now + 10s }, now);
  BOOST_TEST(early.empty());
  engine::EngineState changing;
  changing.m_isChanging = true;
  BOOST_TEST(manager.OnEngineState(changing, now, now).empty());
  engine::EngineState const holds{ { { Model("a"), { base::Bytes(40), base::Bytes(10) } } } };
  auto const actions = manager.OnEngineState(holds, now, now);
  BOOST_TEST(ActionsOf<engine::StartRequest>(actions).size() == 1);
  BOOST_TEST(manager.Ledger().Used() == base::Bytes(50));
}
