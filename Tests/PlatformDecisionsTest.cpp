#define BOOST_TEST_MODULE PlatformDecisions
#include "ObjectStore/CallBudget.h"
#include "ObjectStore/CircuitBreaker.h"
#include "ObjectStore/HostTable.h"
#include "ObjectStore/ObjectWatch.h"
#include "ObjectStore/WriteResolution.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

using namespace sardinefold;
using namespace sardinefold::objectstore;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };

ObjectKey Key(std::string aName)
{
  return { ObjectKind::Claim, ObjectName::FromValidated(std::move(aName)) };
}

Object MakeObject(std::string aName, std::uint64_t aVersion)
{
  Object object;
  object.m_key = Key(std::move(aName));
  object.m_version = base::ObjectVersion(aVersion);
  return object;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Writes)

namespace {

/// Stores one object, which is written by another writer, too. An attempt may
/// arrive late but never more than once.
class DelayedWriteStore
{
public:
  struct Attempt
  {
    base::ObjectVersion m_expected;
    WriteNonce m_nonce;
  };

  void Deliver(Attempt const& aAttempt, bool& aWasApplied)
  {
    aWasApplied = m_object.m_version == aAttempt.m_expected;
    if (!aWasApplied) {
      return;
    }
    m_object.m_version = m_object.m_version.Next();
    m_object.m_nonce = aAttempt.m_nonce;
    m_history.push_back(aAttempt.m_nonce);
  }

  void DeliverOneDelayed()
  {
    if (m_delayed.empty()) {
      return;
    }
    bool ignored = false;
    Deliver(m_delayed.front(), ignored);
    m_delayed.pop_front();
  }

  tl::expected<Object, ReadError> Read() const
  {
    if (m_object.m_version == base::ObjectVersion()) {
      return tl::make_unexpected(ReadError{ ReadError::Kind::NotFound, "" });
    }
    return m_object;
  }

  Object m_object = MakeObject("one", 0);
  std::deque<Attempt> m_delayed;
  std::vector<WriteNonce> m_history;
};

tl::expected<base::ObjectVersion, WriteError> Send(DelayedWriteStore& aStore,
                                                   DelayedWriteStore::Attempt const& aAttempt,
                                                   double aDraw)
{
  using Kind = WriteError::Kind;
  if (aDraw < 0.15) {
    return tl::make_unexpected(WriteError{ Kind::NotApplied, "never connected" });
  }
  if (aDraw < 0.3) {
    aStore.m_delayed.push_back(aAttempt);
    return tl::make_unexpected(WriteError{ Kind::Unknown, "delayed" });
  }
  bool wasApplied = false;
  aStore.Deliver(aAttempt, wasApplied);
  if (aDraw < 0.6) {
    return tl::make_unexpected(WriteError{ Kind::Unknown, "answer lost" });
  }
  if (!wasApplied) {
    return tl::make_unexpected(WriteError{ Kind::Conflict, "" });
  }
  return aStore.m_object.m_version;
}

void CheckOneWrite(std::uint64_t aSeed)
{
  RandomSource random(aSeed);
  DelayedWriteStore store;
  auto const ownNonce = WriteNonce::FromValidated("mine");
  auto const otherNonce = WriteNonce::FromValidated("other");
  ObjectWrite write{ Key("one"), IfAbsent{}, "value", ownNonce };
  WriteResolution resolution(write, kStart + seconds(2), {}, aSeed);
  auto now = kStart;
  auto step = resolution.Next(now);
  while (!std::holds_alternative<WriteEnded>(step)) {
    now += milliseconds(3);
    if (random.Fraction() < 0.05) {
      bool ignored = false;
      store.Deliver({ store.m_object.m_version, otherNonce }, ignored);
    }
    if (random.Fraction() < 0.3) {
      store.DeliverOneDelayed();
    }
    if (auto const* const wait = std::get_if<WaitUntil>(&step)) {
      now = std::max(now, wait->m_time);
    } else if (std::holds_alternative<ReadBack>(step)) {
      bool const isLost = random.Fraction() < 0.2;
      auto const response = isLost ? tl::make_unexpected(ReadError{}) : store.Read();
      resolution.OnReadResponse(response, now);
    } else {
      resolution.OnWriteResponse(
        Send(store, { base::ObjectVersion(), ownNonce }, random.Fraction()), now);
    }
    step = resolution.Next(now);
  }
  while (!store.m_delayed.empty()) {
    store.DeliverOneDelayed();
  }
  auto const applied = std::ranges::count(store.m_history, ownNonce);
  auto const& result = std::get<WriteEnded>(step).m_result;
  BOOST_TEST_INFO("seed " << aSeed);
  BOOST_TEST(applied <= 1);
  if (result) {
    BOOST_TEST(applied == 1);
  } else if (IsCertainlyNotApplied(result.error().m_kind)) {
    BOOST_TEST(applied == 0);
  }
}

} // namespace

BOOST_AUTO_TEST_CASE(ResultIsCorrectWhenMessagesAreLostOrDelayed)
{
  for (std::uint64_t seed = 1; seed <= 20'000; ++seed) {
    CheckOneWrite(seed);
  }
}

BOOST_AUTO_TEST_CASE(LostResponseIsResolvedByTheNonce)
{
  ObjectWrite const write{ Key("one"), IfVersion{ base::ObjectVersion(4) }, "value",
                           WriteNonce::FromValidated("mine") };
  WriteResolution resolution(write, kStart + seconds(2), {}, 1);
  BOOST_TEST(std::holds_alternative<SendWrite>(resolution.Next(kStart)));
  resolution.OnWriteResponse(tl::make_unexpected(WriteError{}), kStart);
  auto const later = kStart + milliseconds(200);
  BOOST_TEST(std::holds_alternative<ReadBack>(resolution.Next(later)));
  auto object = MakeObject("one", 5);
  object.m_nonce = write.m_nonce;
  resolution.OnReadResponse(object, later);
  auto const step = resolution.Next(later);
  BOOST_REQUIRE(std::holds_alternative<WriteEnded>(step));
  BOOST_TEST((std::get<WriteEnded>(step).m_result == base::ObjectVersion(5)));
}

// After a restoration another value may have the number that the write expects.
BOOST_AUTO_TEST_CASE(AnObjectOfALaterEraIsNotTakenForUnchanged)
{
  ObjectWrite const write{ Key("one"), IfVersion{ { base::StoreEra(1), 4 } }, "value",
                           WriteNonce::FromValidated("mine") };
  WriteResolution resolution(write, kStart + seconds(2), {}, 1);
  resolution.OnWriteResponse(tl::make_unexpected(WriteError{}), kStart);
  auto object = MakeObject("one", 4);
  object.m_version = { base::StoreEra(2), 4 };
  resolution.OnReadResponse(object, kStart + milliseconds(200));
  auto const step = resolution.Next(kStart + milliseconds(200));
  BOOST_REQUIRE(std::holds_alternative<WriteEnded>(step));
  auto const& result = std::get<WriteEnded>(step).m_result;
  BOOST_TEST((!result && result.error().m_kind == WriteError::Kind::Superseded));
}

BOOST_AUTO_TEST_CASE(WriteUnresolvedAtItsDeadlineIsUnknown)
{
  ObjectWrite const write{ Key("one"), IfAbsent{}, "value", WriteNonce::FromValidated("mine") };
  WriteResolution resolution(write, kStart + seconds(1), {}, 1);
  resolution.OnWriteResponse(tl::make_unexpected(WriteError{}), kStart);
  resolution.OnReadResponse(tl::make_unexpected(ReadError{}), kStart + milliseconds(500));
  auto const step = resolution.Next(kStart + seconds(1));
  BOOST_REQUIRE(std::holds_alternative<WriteEnded>(step));
  BOOST_TEST((std::get<WriteEnded>(step).m_result.error().m_kind == WriteError::Kind::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Watches)

BOOST_AUTO_TEST_CASE(ListsThenWatchesFromThatVersion)
{
  ObjectWatch watch({}, 1);
  BOOST_TEST(std::holds_alternative<ListObjects>(watch.Next(kStart)));
  ObjectList const list{ base::ObjectVersion(7), { MakeObject("a", 3), MakeObject("b", 7) } };
  BOOST_TEST(watch.OnList(list, kStart).m_changes.size() == 2U);
  auto const step = watch.Next(kStart);
  BOOST_REQUIRE(std::holds_alternative<WatchAfter>(step));
  BOOST_TEST(std::get<WatchAfter>(step).m_version == base::ObjectVersion(7));
}

BOOST_AUTO_TEST_CASE(CompactionListsAgainAndFindsMissedDeletions)
{
  ObjectWatch watch({}, 1);
  watch.OnList(ObjectList{ base::ObjectVersion(7), { MakeObject("a", 3), MakeObject("b", 7) } },
               kStart);
  watch.OnChanges(tl::make_unexpected(ReadError{ ReadError::Kind::Compacted, "" }), kStart);
  auto const later = kStart + seconds(1);
  BOOST_TEST(std::holds_alternative<ListObjects>(watch.Next(later)));
  auto const changes =
    watch.OnList(ObjectList{ base::ObjectVersion(9), { MakeObject("b", 7) } }, later);
  BOOST_REQUIRE(changes.m_changes.size() == 1U);
  BOOST_TEST((std::get<ObjectDeleted>(changes.m_changes[0]).m_key == Key("a")));
}

BOOST_AUTO_TEST_CASE(TheFirstCallAfterAnOutageDoesNotWaitForChanges)
{
  ObjectWatch watch({}, 1);
  watch.OnList(ObjectList{ base::ObjectVersion(7), { MakeObject("a", 3) } }, kStart);
  watch.OnChanges(tl::make_unexpected(ReadError{ ReadError::Kind::Unavailable, "" }), kStart);
  watch.OnChanges(tl::make_unexpected(ReadError{ ReadError::Kind::CircuitOpen, "" }),
                  kStart + seconds(1));
  auto const later = kStart + seconds(2);
  BOOST_TEST(std::holds_alternative<ListObjects>(watch.Next(later)));
  watch.OnList(ObjectList{ base::ObjectVersion(7), { MakeObject("a", 3) } }, later);
  BOOST_TEST((watch.LastContact() == later));
  BOOST_TEST(std::holds_alternative<WatchAfter>(watch.Next(later)));
}

BOOST_AUTO_TEST_CASE(VersionNeverDecreases)
{
  ObjectWatch watch({}, 1);
  watch.OnList(ObjectList{ base::ObjectVersion(7), { MakeObject("a", 7) } }, kStart);
  watch.OnChanges(tl::make_unexpected(ReadError{ ReadError::Kind::Compacted, "" }), kStart);
  auto const stale = watch.OnList(ObjectList{ base::ObjectVersion(5), {} }, kStart + seconds(1));
  BOOST_TEST(stale.m_changes.empty());
  BOOST_TEST(watch.Version() == base::ObjectVersion(7));
  ObjectChanges const behind{ base::ObjectVersion(6), { ObjectPut{ MakeObject("b", 6) } } };
  BOOST_TEST(watch.OnChanges(behind, kStart + seconds(2)).m_changes.empty());
  BOOST_TEST(watch.Version() == base::ObjectVersion(7));
  auto const repeated =
    watch.OnChanges(ObjectChanges{ base::ObjectVersion(8), { ObjectPut{ MakeObject("a", 7) } } },
                    kStart + seconds(2));
  BOOST_TEST(repeated.m_changes.empty());
}

BOOST_AUTO_TEST_CASE(CallRateIsBoundedInAnOutageAndForInterruptedWatches)
{
  ObjectWatch watch({}, 7);
  auto now = kStart;
  std::size_t calls = 0;
  while (now < kStart + seconds(60) && calls < 1000) {
    auto const step = watch.Next(now);
    if (auto const* const wait = std::get_if<WatchAgainAt>(&step)) {
      now = std::max(wait->m_time, now + milliseconds(1));
      continue;
    }
    ++calls;
    if (now < kStart + seconds(30)) {
      watch.OnList(tl::make_unexpected(ReadError{}), now);
    } else if (std::holds_alternative<ListObjects>(step)) {
      watch.OnList(ObjectList{ base::ObjectVersion(1), {} }, now);
    } else {
      watch.OnChanges(ObjectChanges{ base::ObjectVersion(1), {} }, now);
    }
  }
  // Expected are about a dozen short waits in each half and then waits of 2.5 s on
  // average; without waits there would be tens of thousands of calls.
  BOOST_TEST(calls < 100U);
  BOOST_TEST(calls > 4U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Budgets)

namespace {

/// Returns how many writes are admitted in total when every process of a fleet
/// requests writes continuously.
std::uint64_t CountAdmitted(FleetSize aSize, CallPurpose aPurpose, seconds aTime)
{
  std::uint64_t admitted = 0;
  std::uint64_t seed = 1;
  auto const run = [&](std::uint32_t aCount, ProcessRole aRole) {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      CallBudget budget(ShareOf(kPlatformRates, aSize, aRole), ++seed, kStart);
      auto now = kStart;
      while (now < kStart + aTime) {
        auto const next = budget.Admit(CallKind::Write, aPurpose, now);
        admitted += next <= now ? 1U : 0U;
        now = std::max(next, now);
      }
    }
  };
  run(aSize.m_entries, ProcessRole::Entry);
  run(aSize.m_engineAgents, ProcessRole::EngineAgent);
  run(aSize.m_serviceAgents, ProcessRole::ServiceAgent);
  return admitted;
}

constexpr FleetSize kFleets[] = { { 4, 10, 4 }, { 100, 700, 20 }, { 1400, 10'000, 100 } };
constexpr seconds kOverloadTime{ 60 };
constexpr auto kPlatformWrites =
  static_cast<std::uint64_t>(kPlatformRates.m_writes.Value()) * kOverloadTime.count();

std::uint64_t CountProcesses(FleetSize aSize)
{
  return aSize.m_entries + aSize.m_engineAgents + aSize.m_serviceAgents;
}

} // namespace

BOOST_AUTO_TEST_CASE(FleetStaysWithinThePlatformsRateFromFourToFourteenHundredEntries)
{
  for (auto const& size : kFleets) {
    auto const admitted = CountAdmitted(size, CallPurpose::Allowance, kOverloadTime);
    BOOST_TEST_INFO(CountProcesses(size) << " processes");
    BOOST_TEST(admitted <= kPlatformWrites);
    BOOST_TEST(admitted >= kPlatformWrites * 8 / 10);
  }
}

BOOST_AUTO_TEST_CASE(ClaimsExceedTheRateByTheirOverdraftAtMost)
{
  constexpr std::uint64_t kOverdraftCalls = 10;
  for (auto const& size : kFleets) {
    auto const admitted = CountAdmitted(size, CallPurpose::Claim, kOverloadTime);
    auto const buckets = CountProcesses(size) * (kOverdraftCalls + 1);
    BOOST_TEST_INFO(CountProcesses(size) << " processes");
    BOOST_TEST(admitted <= kPlatformWrites * 9 / 10 + buckets + kPlatformWrites / 60);
    BOOST_TEST(admitted > CountAdmitted(size, CallPurpose::Allowance, kOverloadTime));
  }
}

BOOST_AUTO_TEST_CASE(ClaimsTakePrecedenceOverStatus)
{
  CallBudget budget({ CallsPerSecond(10), CallsPerSecond(10) }, 1, kStart);
  auto now = kStart + seconds(10);
  std::size_t statusCalls = 0;
  while (budget.Admit(CallKind::Write, CallPurpose::Status, now) <= now) {
    ++statusCalls;
  }
  std::size_t claims = 0;
  while (budget.Admit(CallKind::Write, CallPurpose::Claim, now) <= now) {
    ++claims;
  }
  BOOST_TEST(statusCalls > 0U);
  BOOST_TEST(claims >= 5U);
  budget.AddWaiter(CallKind::Write, CallPurpose::Claim);
  now += seconds(10);
  BOOST_TEST((budget.Admit(CallKind::Write, CallPurpose::Status, now) > now));
  BOOST_TEST((budget.Admit(CallKind::Write, CallPurpose::Claim, now) == now));
  budget.RemoveWaiter(CallKind::Write, CallPurpose::Claim);
  BOOST_TEST((budget.Admit(CallKind::Write, CallPurpose::Status, now) == now));
}

BOOST_AUTO_TEST_CASE(UnusedBudgetIsDiscardedAfterAnOutage)
{
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CallBudget budget({ CallsPerSecond(50), CallsPerSecond(50) }, seed, kStart);
    auto const now = kStart + seconds(10);
    budget.OnOutage(now);
    BOOST_TEST((budget.Admit(CallKind::Write, CallPurpose::Allowance, now) > now));
    BOOST_TEST((budget.Admit(CallKind::Read, CallPurpose::Allowance, now) > now));
    std::size_t claims = 0;
    while (budget.Admit(CallKind::Write, CallPurpose::Claim, now) <= now) {
      ++claims;
    }
    BOOST_TEST(claims == 10U);
  }
}

BOOST_AUTO_TEST_CASE(WatchesResumeSoonAfterLongThrottling)
{
  // These are the rates of gateways and loaders.
  CallBudget budget({ CallsPerSecond(5), CallsPerSecond(20) }, 1, kStart);
  for (int second = 0; second < 9; ++second) {
    budget.OnThrottled(kStart + seconds(second));
  }
  auto now = kStart + seconds(9);
  int calls = 0;
  while (now < kStart + seconds(13)) {
    auto const next = budget.Admit(CallKind::Read, CallPurpose::Membership, now);
    calls += next <= now ? 1 : 0;
    now = next <= now ? now + milliseconds(10) : next;
  }
  // Two watches of 1.5 s each need six calls in four seconds.
  BOOST_TEST(calls >= 6);
}

BOOST_AUTO_TEST_CASE(ThrottlingHalvesTheShareForAWhile)
{
  CallBudget budget({ CallsPerSecond(50), CallsPerSecond(50) }, 1, kStart);
  budget.OnThrottled(kStart);
  budget.OnThrottled(kStart + milliseconds(10));
  BOOST_TEST(budget.Factor(kStart + milliseconds(10)) < 0.51);
  BOOST_TEST(budget.Factor(kStart + milliseconds(10)) > 0.49);
  BOOST_TEST(budget.Factor(kStart + seconds(60)) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Circuit)

BOOST_AUTO_TEST_CASE(OpensAfterFailuresInARow)
{
  CircuitBreaker breaker({}, 1);
  for (int round = 0; round < 5; ++round) {
    breaker.OnFailure(kStart);
    breaker.OnFailure(kStart);
    BOOST_TEST(breaker.Allow(kStart));
    breaker.OnSuccess(kStart);
  }
  breaker.OnFailure(kStart);
  breaker.OnFailure(kStart);
  BOOST_TEST((breaker.State() == CircuitState::Closed));
  breaker.OnFailure(kStart);
  BOOST_TEST((breaker.State() == CircuitState::Open));
}

namespace {

CircuitBreaker MakeOpen(base::Instant aNow)
{
  CircuitBreaker breaker({}, 1);
  for (int failure = 0; failure < 3; ++failure) {
    breaker.OnFailure(aNow);
  }
  return breaker;
}

/// Returns the time at which the circuit allows its probe.
base::Instant WaitForProbe(CircuitBreaker& aBreaker, base::Instant aNow)
{
  while (!aBreaker.Allow(aNow)) {
    aNow += milliseconds(1);
  }
  return aNow;
}

} // namespace

BOOST_AUTO_TEST_CASE(LetsOneProbeThroughAndClosesWhenItSucceeds)
{
  auto breaker = MakeOpen(kStart);
  breaker.OnFailure(kStart);
  BOOST_TEST((breaker.State() == CircuitState::Open));
  auto const now = WaitForProbe(breaker, kStart);
  BOOST_TEST((now - kStart <= milliseconds(200)));
  BOOST_TEST((breaker.State() == CircuitState::HalfOpen));
  BOOST_TEST(breaker.IsRefusing(now + milliseconds(1)));
  BOOST_TEST(!breaker.Allow(now + milliseconds(1)));
  breaker.OnSuccess(now);
  BOOST_TEST(!breaker.IsRefusing(now));
  BOOST_TEST((breaker.State() == CircuitState::Closed));
  BOOST_TEST(breaker.Allow(now));
}

BOOST_AUTO_TEST_CASE(WaitsLongerAfterEachFailedProbeUpToALimit)
{
  auto breaker = MakeOpen(kStart);
  auto now = kStart;
  base::Duration longest{};
  for (int probe = 0; probe < 50; ++probe) {
    auto const next = WaitForProbe(breaker, now);
    longest = std::max(longest, next - now);
    now = next;
    breaker.OnFailure(now);
    BOOST_TEST((breaker.State() == CircuitState::Open));
  }
  BOOST_TEST((longest <= seconds(5) + milliseconds(1)));
  BOOST_TEST((longest > seconds(2)));
}

BOOST_AUTO_TEST_CASE(ALostProbeIsReplaced)
{
  auto breaker = MakeOpen(kStart);
  auto const now = WaitForProbe(breaker, kStart);
  BOOST_TEST(!breaker.Allow(now + seconds(9)));
  BOOST_TEST(breaker.Allow(now + seconds(10)));
  BOOST_TEST((breaker.State() == CircuitState::HalfOpen));
}

BOOST_AUTO_TEST_CASE(ALateSuccessClosesAnOpenCircuit)
{
  auto breaker = MakeOpen(kStart);
  breaker.OnSuccess(kStart);
  BOOST_TEST((breaker.State() == CircuitState::Closed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(HostTableReportsNewDrainingReturnedAndRemovedHosts)
{
  HostTable table;
  HostEntry entry;
  entry.m_host = base::HostId::FromValidated("h1");
  entry.m_address = "127.0.0.1:1";
  auto changes = table.Apply({ entry });
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(std::holds_alternative<HostAppeared>(changes[0]));
  BOOST_TEST(table.Apply({ entry }).empty());
  BOOST_TEST(table.Count(HostRole::Entry) == 1U);
  BOOST_TEST(table.Count(HostRole::Upstream) == 0U);
  entry.m_state = HostState::Draining;
  changes = table.Apply({ entry });
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(std::holds_alternative<HostDraining>(changes[0]));
  BOOST_TEST(table.Apply({ entry }).empty());
  entry.m_state = HostState::Live;
  changes = table.Apply({ entry });
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(std::holds_alternative<HostAppeared>(changes[0]));
  changes = table.Apply({});
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(std::holds_alternative<HostRemoved>(changes[0]));
}
