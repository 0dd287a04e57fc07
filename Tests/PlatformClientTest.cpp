#define BOOST_TEST_MODULE PlatformClient
#include "Base/Http/HttpServer.h"
#include "ObjectStore/HostListSession.h"
#include "ObjectStore/ObjectClient.h"
#include "ObjectStore/WatchSession.h"
#include "ObjectStore/WriteSession.h"
#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Platform/PlatformStandIn.h"
#include "Tests/Fakes/FakeObjectStore.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace sardinefold::objectstore;
using boost::asio::awaitable;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Duration kCallTimeout = seconds(5);
constexpr CallRates kUnconstrainedRates{ CallsPerSecond(1000), CallsPerSecond(1000) };

ObjectKey Key(std::string aName)
{
  return { ObjectKind::Placement, ObjectName::FromValidated(std::move(aName)) };
}

ObjectWrite MakeWrite(std::string aName, WriteCondition aCondition, std::string aValue)
{
  return { Key(std::move(aName)), aCondition, std::move(aValue), NewWriteNonce() };
}

/// Runs the client against the platform stand-in over loopback TCP.
class ClientFixture
{
public:
  ClientFixture()
    : m_loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall)
    , m_standIn(m_loop, 400, 2000)
    , m_server(
        m_loop, {}, [this](base::HttpExchange& aExchange) { return m_standIn.Serve(aExchange); },
        standins::RenderRequestError)
    , m_http(m_loop, {})
    , m_budget(kUnconstrainedRates, 1, m_loop.Now())
    , m_breaker({}, 1)
  {
    m_standIn.Attach(m_server);
    BOOST_REQUIRE(m_server.Listen({ "127.0.0.1", 0 }));
    m_client =
      std::make_unique<ObjectClient>(m_loop, m_http, base::Endpoint{ "127.0.0.1", m_server.Port() },
                                     m_budget, m_breaker, m_metrics);
  }

  void Set(char const* aFault, Json::Value const& aValue)
  {
    Json::Value faults;
    faults[aFault] = aValue;
    BOOST_REQUIRE(m_standIn.Faults().Apply(faults));
  }

  template<typename Body>
  void Run(Body aBody)
  {
    auto run = [&]() -> awaitable<void> {
      co_await aBody();
      m_loop.Stop();
    };
    m_loop.Start(run());
    m_loop.Run();
  }

  base::EventLoop m_loop;
  standins::PlatformStandIn m_standIn;
  base::HttpServer m_server;
  base::HttpClient m_http;
  base::Metrics m_metrics;
  CallBudget m_budget;
  CircuitBreaker m_breaker;
  std::unique_ptr<ObjectClient> m_client;
};

} // namespace

// After a restoration another value of the object gets the number of the condition.
BOOST_FIXTURE_TEST_CASE(AConditionOfAnEarlierEraHoldsForNoLaterVersion, ClientFixture)
{
  Run([&]() -> awaitable<void> {
    auto const purpose = CallPurpose::Claim;
    auto create = MakeWrite("m1", IfAbsent{}, "first");
    auto const first = co_await m_client->Write(create, kCallTimeout, purpose);
    auto const copy = m_standIn.Objects();
    auto update = MakeWrite("m1", IfVersion{ *first }, "lost");
    auto const lost = co_await m_client->Write(update, kCallTimeout, purpose);
    m_standIn.Objects().RestoreFrom(copy);
    auto key = Key("m1");
    auto const restored = co_await m_client->Get(key, kCallTimeout, purpose);
    BOOST_REQUIRE(restored);
    BOOST_TEST(restored->m_version.Value() == first->Value());
    auto other = MakeWrite("m1", IfVersion{ restored->m_version }, "other");
    auto const written = co_await m_client->Write(other, kCallTimeout, purpose);
    BOOST_REQUIRE(written);
    BOOST_TEST(written->Value() == lost->Value());
    auto late = MakeWrite("m1", IfVersion{ *lost }, "late");
    auto const refused = co_await m_client->Write(late, kCallTimeout, purpose);
    BOOST_TEST((!refused && refused.error().m_kind == WriteError::Kind::Conflict));
    auto const kept = co_await m_client->Delete(key, *lost, kCallTimeout, purpose);
    BOOST_TEST((!kept && kept.error().m_kind == WriteError::Kind::Conflict));
    auto const object = co_await m_client->Get(key, kCallTimeout, purpose);
    BOOST_REQUIRE(object);
    BOOST_TEST(object->m_value == "other");
    BOOST_TEST((object->m_version > *lost));
  });
}

BOOST_FIXTURE_TEST_CASE(WritesReadsAndRefusesConflicts, ClientFixture)
{
  Run([&]() -> awaitable<void> {
    auto first = MakeWrite("m1", IfAbsent{}, "one\ntwo");
    auto again = MakeWrite("m1", IfAbsent{}, "three");
    auto const version = co_await m_client->Write(first, kCallTimeout, CallPurpose::Placement);
    BOOST_REQUIRE(version);
    auto const conflict = co_await m_client->Write(again, kCallTimeout, CallPurpose::Placement);
    BOOST_REQUIRE(!conflict);
    BOOST_TEST((conflict.error().m_kind == WriteError::Kind::Conflict));
    auto key = Key("m1");
    auto const object = co_await m_client->Get(key, kCallTimeout, CallPurpose::Placement);
    BOOST_REQUIRE(object);
    BOOST_TEST(object->m_value == "one\ntwo");
    BOOST_TEST(object->m_nonce == first.m_nonce);
    BOOST_TEST(object->m_version == *version);
    auto const deleted =
      co_await m_client->Delete(key, *version, kCallTimeout, CallPurpose::Placement);
    BOOST_REQUIRE(deleted);
    auto const gone = co_await m_client->Get(key, kCallTimeout, CallPurpose::Placement);
    BOOST_REQUIRE(!gone);
    BOOST_TEST((gone.error().m_kind == ReadError::Kind::NotFound));
  });
}

BOOST_FIXTURE_TEST_CASE(RefusesAValueOverTheLimit, ClientFixture)
{
  Run([&]() -> awaitable<void> {
    auto write = MakeWrite("m1", IfAbsent{}, std::string(1024 * 1024, 'x'));
    auto const refused = co_await m_client->Write(write, kCallTimeout, CallPurpose::Placement);
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().m_kind == WriteError::Kind::TooLarge));
  });
}

BOOST_FIXTURE_TEST_CASE(LostWriteResponseIsResolvedByReadingBack, ClientFixture)
{
  Set("lose_answers", 1);
  Run([&]() -> awaitable<void> {
    auto single = MakeWrite("m1", IfAbsent{}, "one");
    auto const lost = co_await m_client->Write(single, kCallTimeout, CallPurpose::Claim);
    BOOST_REQUIRE(!lost);
    BOOST_TEST((lost.error().m_kind == WriteError::Kind::Unknown));
    Set("lose_answers", 1);
    auto write = MakeWrite("m2", IfAbsent{}, "two");
    auto const found =
      co_await WriteUntilKnown(*m_client, m_loop, write, kCallTimeout, CallPurpose::Claim);
    BOOST_REQUIRE(found);
    BOOST_TEST(*found == base::ObjectVersion(2));
    BOOST_TEST(m_standIn.Objects().LatestVersion() == base::ObjectVersion(2));
  });
}

BOOST_FIXTURE_TEST_CASE(AnOutageOpensTheCircuitAndItsEndClosesIt, ClientFixture)
{
  Set("outage", true);
  Run([&]() -> awaitable<void> {
    auto key = Key("m1");
    std::size_t unavailable = 0;
    auto last = ReadError::Kind::NotFound;
    for (int call = 0; call < 10; ++call) {
      auto const read = co_await m_client->Get(key, kCallTimeout, CallPurpose::Placement);
      last = read.error().m_kind;
      unavailable += last == ReadError::Kind::Unavailable ? 1U : 0U;
    }
    BOOST_TEST((last == ReadError::Kind::CircuitOpen || last == ReadError::Kind::Unavailable));
    BOOST_TEST(unavailable >= 3U);
    Set("outage", false);
    auto write = MakeWrite("m1", IfAbsent{}, "one");
    base::Duration const timeout = seconds(30);
    auto const written =
      co_await WriteUntilKnown(*m_client, m_loop, write, timeout, CallPurpose::Claim);
    BOOST_TEST(written.has_value());
    BOOST_TEST((m_breaker.State() == CircuitState::Closed));
  });
  auto const text = m_metrics.Render();
  BOOST_TEST(text.find(R"(sardinefold_platform_calls_total{purpose="claim",result="ok"} 1)") !=
             std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(AnOpenCircuitSendsNothingAndSpendsNoBudget, ClientFixture)
{
  for (int failure = 0; failure < 3; ++failure) {
    m_breaker.OnFailure(m_loop.Now() + seconds(60));
  }
  Run([&]() -> awaitable<void> {
    auto write = MakeWrite("m1", IfAbsent{}, "one");
    for (int call = 0; call < 20; ++call) {
      auto const refused = co_await m_client->Write(write, kCallTimeout, CallPurpose::Claim);
      BOOST_REQUIRE(!refused);
      BOOST_TEST((refused.error().m_kind == WriteError::Kind::CircuitOpen));
    }
  });
  BOOST_TEST(m_standIn.Writes().Admitted() == 0U);
  BOOST_TEST(m_budget.Admitted(CallKind::Write, CallPurpose::Claim) == 0U);
}

BOOST_FIXTURE_TEST_CASE(ThrottlingIsReportedAndHalvesTheShare, ClientFixture)
{
  Set("throttle", true);
  Run([&]() -> awaitable<void> {
    auto write = MakeWrite("m1", IfAbsent{}, "one");
    auto const refused = co_await m_client->Write(write, kCallTimeout, CallPurpose::Claim);
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().m_kind == WriteError::Kind::Throttled));
    BOOST_TEST(m_budget.Factor(m_loop.Now()) < 0.6);
  });
}

BOOST_FIXTURE_TEST_CASE(ACallWithoutBudgetIsNotSent, ClientFixture)
{
  m_budget.SetRates({ CallsPerSecond(0.001), CallsPerSecond(0.001) }, m_loop.Now());
  m_budget.OnOutage(m_loop.Now());
  Run([&]() -> awaitable<void> {
    auto write = MakeWrite("m1", IfAbsent{}, "one");
    base::Duration const limit = milliseconds(20);
    auto const refused = co_await m_client->Write(write, limit, CallPurpose::Placement);
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().m_kind == WriteError::Kind::OverBudget));
  });
  BOOST_TEST(m_standIn.Writes().Admitted() == 0U);
}

BOOST_FIXTURE_TEST_CASE(UnresponsiveConnectionIsReplaced, ClientFixture)
{
  Run([&]() -> awaitable<void> {
    auto first = MakeWrite("m1", IfAbsent{}, "one");
    auto second = MakeWrite("m2", IfAbsent{}, "two");
    auto const ready = co_await m_client->Write(first, kCallTimeout, CallPurpose::Claim);
    BOOST_REQUIRE(ready);
    Set("silence_connections", true);
    base::Duration const timeout = seconds(20);
    auto const written =
      co_await WriteUntilKnown(*m_client, m_loop, second, timeout, CallPurpose::Claim);
    BOOST_TEST(written.has_value());
  });
}

BOOST_FIXTURE_TEST_CASE(UnresponsiveConnectionClosesTheOtherIdleOnes, ClientFixture)
{
  base::Endpoint const platform{ "127.0.0.1", m_server.Port() };
  auto key = Key("m1");
  std::size_t ended = 0;
  auto read = [&]() -> awaitable<void> {
    co_await m_client->Get(key, kCallTimeout, CallPurpose::Placement);
    ++ended;
  };
  Run([&]() -> awaitable<void> {
    Set("delay_ms", 20);
    m_loop.Start(read());
    m_loop.Start(read());
    while (ended < 2) {
      co_await m_loop.Sleep(milliseconds(5));
    }
    BOOST_TEST(m_http.IdleConnections(platform) == 2U);
    Set("silence_connections", true);
    base::Duration const limit = milliseconds(100);
    auto const lost = co_await m_client->Get(key, limit, CallPurpose::Placement);
    BOOST_REQUIRE(!lost);
    BOOST_TEST((lost.error().m_kind == ReadError::Kind::Unavailable));
    BOOST_TEST(m_http.IdleConnections(platform) == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(AWatchSeesEachChangeThroughCompactionAndOutage, ClientFixture)
{
  WatchSession<ObjectClient> session(m_loop, *m_client, ObjectKind::Placement, ObjectName(),
                                     CallPurpose::Placement, {}, 1);
  std::map<ObjectKey, std::string> seen;
  base::Signal changed(m_loop.Context());
  auto handler = [&](ObjectChanges const& aChanges) {
    for (auto const& change : aChanges.m_changes) {
      if (auto const* const put = std::get_if<ObjectPut>(&change)) {
        seen[put->m_object.m_key] = put->m_object.m_value;
      } else {
        seen.erase(std::get<ObjectDeleted>(change).m_key);
      }
    }
    changed.Notify();
  };
  auto& objects = m_standIn.Objects();
  Run([&]() -> awaitable<void> {
    BOOST_REQUIRE(objects.Put("placement", "a", "one", base::ObjectVersion()));
    m_loop.Start(session.Run(handler));
    while (seen.empty()) {
      co_await changed.Wait(kCallTimeout);
    }
    auto write = MakeWrite("b", IfAbsent{}, "two");
    auto const written = co_await m_client->Write(write, kCallTimeout, CallPurpose::Placement);
    BOOST_REQUIRE(written);
    while (seen.size() < 2) {
      co_await changed.Wait(kCallTimeout);
    }
    Set("outage", true);
    BOOST_REQUIRE(objects.Delete("placement", "a", base::ObjectVersion(1)));
    BOOST_REQUIRE(objects.Put("placement", "c", "three", base::ObjectVersion()));
    Set("compact", true);
    Set("outage", false);
    while (!seen.contains(Key("c"))) {
      co_await changed.Wait(kCallTimeout);
    }
    BOOST_TEST(!seen.contains(Key("a")));
    BOOST_TEST(seen.at(Key("b")) == "two");
    session.Stop();
  });
}

BOOST_FIXTURE_TEST_CASE(GapsAreReadDuringABatchPause, ClientFixture)
{
  WatchLimits limits;
  limits.m_pause = seconds(2);
  WatchSession<ObjectClient> session(m_loop, *m_client, ObjectKind::Placement, ObjectName(),
                                     CallPurpose::Placement, limits, 1);
  std::size_t seen = 0;
  bool maySuspend = false;
  auto handler = [&](ObjectChanges const& aChanges) { seen += aChanges.m_changes.size(); };
  auto& objects = m_standIn.Objects();
  Run([&]() -> awaitable<void> {
    BOOST_REQUIRE(objects.Put("placement", "m0", "", base::ObjectVersion()));
    m_loop.Start(session.Run(handler, [&](base::Instant) { return maySuspend; }));
    for (std::size_t change = 1; change < 5; ++change) {
      co_await m_loop.Sleep(milliseconds(300));
      BOOST_TEST(seen == change);
      maySuspend = true;
      auto const name = "m" + std::to_string(change);
      BOOST_REQUIRE(objects.Put("placement", name, "", base::ObjectVersion()));
      auto const version = session.State().Version().Next();
      session.ApplyRelayed({ version, { version, {} } }, m_loop.Now());
    }
    session.Stop();
  });
}

BOOST_FIXTURE_TEST_CASE(HostListChangesAreReported, ClientFixture)
{
  HostListLimits limits;
  limits.m_interval = milliseconds(10);
  HostListSession<ObjectClient> session(m_loop, *m_client, limits, 1);
  bool isDraining = false;
  base::Signal changed(m_loop.Context());
  auto handler = [&](std::vector<HostChange> const& aChanges) {
    for (auto const& change : aChanges) {
      isDraining = isDraining || std::holds_alternative<HostDraining>(change);
    }
    changed.Notify();
  };
  Json::Value host;
  host["host"] = "h1";
  host["role"] = "upstream";
  host["failure_domain"] = "fd1";
  host["region"] = "r1";
  host["address"] = "127.0.0.1:1";
  host["state"] = "live";
  Json::Value list;
  list["hosts"].append(host);
  Run([&]() -> awaitable<void> {
    BOOST_REQUIRE(m_standIn.Hosts().Set(list, m_loop.Now()));
    m_loop.Start(session.Run(handler));
    while (session.Table().Hosts().empty()) {
      co_await changed.Wait(kCallTimeout);
    }
    list["hosts"][0]["state"] = "leaving";
    BOOST_REQUIRE(m_standIn.Hosts().Set(list, m_loop.Now()));
    while (!isDraining) {
      co_await changed.Wait(kCallTimeout);
    }
    session.Stop();
  });
  BOOST_TEST(isDraining);
}

BOOST_AUTO_TEST_CASE(WriteUntilKnownRunsOnAnInMemoryStore)
{
  using tests::CallFault;
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::FakeObjectStore store(loop);
  store.Script({ CallFault::RequestLost, CallFault::Unreachable, CallFault::None,
                 CallFault::ResponseLost, CallFault::Throttled });
  auto run = [&]() -> awaitable<void> {
    auto write = MakeWrite("m1", IfAbsent{}, "one");
    auto const written =
      co_await WriteUntilKnown(store, loop, write, kCallTimeout, CallPurpose::Claim);
    BOOST_TEST((written == base::ObjectVersion(1)));
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_TEST(store.Objects().LatestVersion() == base::ObjectVersion(1));
}
