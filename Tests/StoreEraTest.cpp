#define BOOST_TEST_MODULE StoreEra
#include "Base/Log.h"
#include "platform/StoreCodec.h"
#include "Programs/StoreAccess.h"
#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Site/SiteStore.h"
#include "Tests/Support/PortClaim.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using objectstore::ObjectKind;
using platform::StoreCodec;

namespace {

constexpr auto kPurpose = objectstore::CallPurpose::Membership;

base::HttpResponse Response(std::string aBody, std::optional<std::string> aEra)
{
  auto response = base::JsonResponse(200, std::move(aBody));
  if (aEra) {
    response.m_headers.Add("Store-Era", *aEra);
  }
  return response;
}

/// A store on a loopback address and a client of it.
struct StoreFixture
{
  StoreFixture()
  {
    BOOST_REQUIRE(base::log::Configure("site", "error").has_value());
    BOOST_REQUIRE(m_server.Listen(m_address).has_value());
    m_store.Attach(m_server);
    m_store.Put("servers", "kept", "old");
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

  objectstore::ReadTask<objectstore::ObjectList> List()
  {
    co_return co_await m_access.Objects().List(ObjectKind::Upstream, {}, 1s, kPurpose);
  }

  objectstore::ReadTask<objectstore::ObjectChanges> Watch(base::ObjectVersion aAfter)
  {
    co_return co_await m_access.Objects().Watch(ObjectKind::Upstream, {}, aAfter, 1s, kPurpose);
  }

  tests::PortClaim m_port{ { "127.0.1.1" } };
  base::Endpoint m_address{ "127.0.1.1", m_port.Port() };
  base::EventLoop m_loop{ programs::SystemClock::Monotonic, programs::SystemClock::Wall };
  standins::SiteStore m_store{ m_loop };
  base::HttpServer m_server{ m_loop,
                             {},
                             [this](base::HttpExchange& aExchange) {
                               return m_store.Serve(aExchange);
                             },
                             standins::RenderRequestError };
  base::Metrics m_metrics;
  programs::StoreAccess<platform::StoreClient> m_access{ m_loop, m_address, m_metrics };
};

} // namespace

BOOST_AUTO_TEST_CASE(EachVersionIsOfTheEraOfItsResponse)
{
  std::string const object = R"({"metadata":{"name":"i-1","revision":7},"spec":{}})";
  base::ObjectVersion const version(base::StoreEra(3), 7);
  auto const one = StoreCodec::DecodeObject(ObjectKind::Upstream, Response(object, "3"));
  BOOST_TEST(one.value().m_version == version);
  auto const list = StoreCodec::DecodeList(
    ObjectKind::Upstream, Response(R"({"currentRev":9,"items":[)" + object + "]}", "3"));
  BOOST_TEST(list.value().m_version == base::ObjectVersion(base::StoreEra(3), 9));
  BOOST_TEST(list->m_objects.at(0).m_version == version);
  auto const changes = StoreCodec::DecodeChanges(
    ObjectKind::Upstream,
    Response(R"({"currentRev":9,"events":[{"object":)" + object + R"(,"removed":true}]})", "3"));
  BOOST_TEST(changes.value().m_version == base::ObjectVersion(base::StoreEra(3), 9));
  BOOST_TEST(std::get<objectstore::ObjectDeleted>(changes->m_changes.at(0)).m_version == version);
  BOOST_TEST(StoreCodec::DecodeWrite(Response(object, "3")).value() == version);
}

BOOST_AUTO_TEST_CASE(AnAbsentOrMalformedEraIsTheOnlyOne)
{
  std::string const list = R"({"currentRev":9,"items":[]})";
  for (std::optional<std::string> const& era : std::vector<std::optional<std::string>>{
         std::nullopt, "", "x", "-1", "1.5", " 2", "2x", "99999999999999999999999" }) {
    auto const decoded = StoreCodec::DecodeList(ObjectKind::Upstream, Response(list, era));
    BOOST_TEST(decoded.value().m_version == base::ObjectVersion(9));
  }
  auto twice = Response(list, "3");
  twice.m_headers.Add("Store-Era", "4");
  BOOST_TEST(StoreCodec::DecodeList(ObjectKind::Upstream, twice).value().m_version ==
             base::ObjectVersion(9));
}

BOOST_FIXTURE_TEST_CASE(ARestoredStoreAssignsNumbersAgainInTheNextEra, StoreFixture)
{
  Run([&]() -> awaitable<void> {
    m_store.TakeCopy();
    m_store.Put("servers", "lost", "new");
    m_store.Put("servers", "kept", "new");
    auto const before = co_await List();
    m_store.Restore();
    auto const ahead = co_await Watch(before.value().m_version);
    BOOST_TEST((ahead.error().m_kind == objectstore::ReadError::Kind::Compacted));
    m_store.Put("servers", "third", "new");
    auto const after = co_await List();
    BOOST_TEST(after.value().m_version.Era().Value() == before->m_version.Era().Value() + 1);
    BOOST_TEST(after->m_version.Value() + 1 == before->m_version.Value());
    BOOST_TEST(after->m_objects.size() == 2U);
    m_store.WriteAgain();
    auto const written = co_await List();
    BOOST_TEST(written.value().m_objects.size() == 3U);
    BOOST_TEST(written->m_objects.at(0).m_value == "\"new\"");
  });
}

BOOST_FIXTURE_TEST_CASE(PagesOfTwoErasAreNotOneList, StoreFixture)
{
  Run([&]() -> awaitable<void> {
    m_store.TakeCopy();
    for (int number = 0; number < 600; ++number) {
      m_store.Put("servers", "lost-" + std::to_string(number), "new");
    }
    Json::Value faults;
    faults["delay_ms"] = 100;
    BOOST_REQUIRE(m_store.Faults().Apply(faults).has_value());
    auto restore = [&]() -> awaitable<void> {
      co_await m_loop.Sleep(150ms);
      m_store.Restore();
    };
    m_loop.Start(restore());
    auto const list = co_await List();
    BOOST_REQUIRE(list.has_value());
    BOOST_TEST(list->m_version.Era().Value() == m_store.Era());
    BOOST_TEST(list->m_objects.size() == 1U);
  });
}

BOOST_FIXTURE_TEST_CASE(AWaitingWatchEndsWithTheRestorationOfTheStore, StoreFixture)
{
  Run([&]() -> awaitable<void> {
    m_store.TakeCopy();
    m_store.Put("servers", "lost", "new");
    auto const before = co_await List();
    auto restore = [&]() -> awaitable<void> {
      co_await m_loop.Sleep(50ms);
      m_store.Restore();
    };
    m_loop.Start(restore());
    auto const gone = co_await Watch(before.value().m_version);
    BOOST_TEST((gone.error().m_kind == objectstore::ReadError::Kind::Compacted));
    Json::Value faults;
    faults["cut_watches"] = true;
    faults["hide_era"] = true;
    BOOST_REQUIRE(m_store.Faults().Apply(faults).has_value());
    auto const hidden = co_await List();
    BOOST_TEST(hidden.value().m_version.Era() == base::StoreEra());
    m_loop.Start(restore());
    auto const cut = co_await Watch(hidden->m_version);
    BOOST_TEST((cut.error().m_kind == objectstore::ReadError::Kind::Unavailable));
  });
}
