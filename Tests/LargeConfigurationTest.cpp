#define BOOST_TEST_MODULE LargeConfiguration
#include "Base/Json.h"
#include "Base/LoopLateness.h"
#include "Programs/Gateway/CatalogReader.h"
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using platform::CatalogDecoder;

namespace {

constexpr unsigned kRoutes = 3000;

/// Returns the configuration of the site with many routes more.
Json::Value LargeConfiguration(std::uint64_t aVersion, unsigned aRoutes = kRoutes)
{
  auto configuration = standins::SiteConfiguration(aVersion);
  auto route = configuration["routes"][3];
  for (unsigned number = 0; number < aRoutes; ++number) {
    route["name"] = "more-" + std::to_string(number);
    route["pathPrefix"] = "/more-" + std::to_string(number) + "/";
    configuration["routes"].append(route);
  }
  return configuration;
}

/// A reader of configurations on a loop of its own, and the versions that it put in
/// force.
struct ReaderFixture
{
  base::EventLoop m_loop{ programs::SystemClock::Monotonic, programs::SystemClock::Wall };
  std::unique_ptr<caller::CatalogIndex> m_inForce;
  std::vector<std::uint64_t> m_versions;
  programs::CatalogReader<platform::Wire> m_reader{
    m_loop, m_inForce, [this] { m_versions.push_back(m_inForce->Catalog().m_version.Value()); }
  };

  void Read(Json::Value const& aConfiguration, std::uint64_t aEra = 0)
  {
    m_reader.Read(base::RenderJson(aConfiguration), base::StoreEra(aEra));
  }

  /// Returns the number of turns of the loop that the reading takes.
  awaitable<unsigned> CountTurns()
  {
    unsigned turns = 0;
    for (; m_reader.IsReading(); ++turns) {
      co_await m_loop.Yield();
    }
    co_return turns;
  }

  void Run(awaitable<void> aBody)
  {
    auto run = [](base::EventLoop& aLoop, awaitable<void> aInner) -> awaitable<void> {
      co_await std::move(aInner);
      aLoop.Stop();
    };
    m_loop.Start(run(m_loop, std::move(aBody)));
    m_loop.Run();
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RequestsAreServedWhileALargeConfigurationIsRead, ReaderFixture)
{
  tests::PortClaim const port({ "127.0.1.2" });
  base::Endpoint const endpoint{ "127.0.1.2", port.Port() };
  base::HttpServer server(
    m_loop, {},
    [&](base::HttpExchange& aExchange) -> awaitable<void> {
      base::HttpResponse response;
      response.m_status = m_inForce->FindRoute("site.example", "/look/x") ? 200 : 404;
      co_await aExchange.Respond(std::move(response));
    },
    standins::RenderRequestError);
  BOOST_REQUIRE(server.Listen(endpoint).has_value());
  auto const body = [&]() -> awaitable<void> {
    Read(standins::SiteConfiguration(1));
    co_await CountTurns();
    Read(LargeConfiguration(2));
    base::HttpClient client(m_loop, {});
    unsigned served = 0;
    while (m_reader.IsReading()) {
      auto address = endpoint;
      base::HttpRequest request;
      request.m_target = "/look/x";
      auto const response = co_await client.Fetch(std::move(address), std::move(request), 5s);
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response->m_status == 200U);
      served += m_reader.IsReading() ? 1 : 0;
    }
    BOOST_TEST(served > 0U);
    BOOST_TEST((m_versions == std::vector<std::uint64_t>{ 1, 2 }));
    BOOST_TEST(m_inForce->FindRoute("site.example", "/more-2999/x") != nullptr);
  };
  Run(body());
}

BOOST_FIXTURE_TEST_CASE(NoTurnOfTheLoopReadsMoreThanAFewEntries, ReaderFixture)
{
  auto const body = [&]() -> awaitable<void> {
    Read(LargeConfiguration(1));
    BOOST_TEST(co_await CountTurns() > kRoutes / 32);
  };
  Run(body());
}

BOOST_FIXTURE_TEST_CASE(AConfigurationThatArrivesDuringTheReadingOfAnotherIsNotLost, ReaderFixture)
{
  auto const body = [&]() -> awaitable<void> {
    Read(LargeConfiguration(3));
    co_await m_loop.Yield();
    Read(LargeConfiguration(5));
    auto invalid = LargeConfiguration(6);
    invalid["routes"][kRoutes]["kind"] = "other";
    Read(invalid);
    // The copy that a store came back from.
    Read(LargeConfiguration(4, 10), 1);
    co_await CountTurns();
    BOOST_TEST((m_versions == std::vector<std::uint64_t>{ 3, 4, 5 }));
    Read(LargeConfiguration(7, 10));
    co_await CountTurns();
    BOOST_TEST(m_inForce->Catalog().m_version.Value() == 7U);
    BOOST_TEST(m_inForce->FindRoute("site.example", "/more-10/x") == nullptr);
  };
  Run(body());
}

BOOST_FIXTURE_TEST_CASE(ConfigurationsInQuickSuccessionDoNotDelayTheLastOne, ReaderFixture)
{
  auto const body = [&]() -> awaitable<void> {
    Read(LargeConfiguration(1));
    co_await m_loop.Yield();
    for (std::uint64_t version = 2; version <= 30; ++version) {
      Read(LargeConfiguration(version));
    }
    BOOST_TEST(co_await CountTurns() < 4 * kRoutes / 8);
    BOOST_TEST((m_versions == std::vector<std::uint64_t>{ 1, 30 }));
  };
  Run(body());
}

BOOST_AUTO_TEST_CASE(ReusedEntriesMakeTheSameCatalogAsParsedOnes)
{
  auto const whole = [](CatalogDecoder& aDecoder) {
    auto result = aDecoder.Decode(100'000);
    BOOST_REQUIRE(result.has_value());
    return std::move(*result);
  };
  auto configuration = LargeConfiguration(1, 20);
  CatalogDecoder first(base::RenderJson(configuration));
  auto const before = whole(first);
  BOOST_REQUIRE(before.has_value());
  configuration["version"] = 2;
  Json::Value removed;
  configuration["routes"].removeIndex(1, &removed);
  configuration["routes"][4]["timeoutMs"] = 777;
  configuration["routes"].append(removed);
  configuration["tenants"][1]["burst"] = 41;
  configuration["services"][0]["engine"]["slots"] = 9;
  auto const text = base::RenderJson(configuration);
  CatalogDecoder reusing(text, &first, &*before);
  CatalogDecoder parsing(text);
  auto const reused = whole(reusing);
  auto const parsed = whole(parsing);
  BOOST_REQUIRE((reused.has_value() && parsed.has_value()));
  BOOST_REQUIRE(reused->m_routes.size() == parsed->m_routes.size());
  for (std::size_t number = 0; number < parsed->m_routes.size(); ++number) {
    auto const& left = reused->m_routes[number];
    auto const& right = parsed->m_routes[number];
    BOOST_TEST(left.m_id.Text() == right.m_id.Text());
    BOOST_TEST(left.m_pathPrefix == right.m_pathPrefix);
    BOOST_TEST((left.m_timeout == right.m_timeout));
    BOOST_TEST(left.m_targets.size() == right.m_targets.size());
  }
  BOOST_TEST((reused->m_routes[4].m_timeout == 777ms));
  BOOST_TEST(reused->m_workspaces.at(1).m_burst == base::Tokens(41));
  BOOST_TEST(reused->m_workspaces.size() == parsed->m_workspaces.size());
  BOOST_TEST(EngineSpecsDigest(*reused) == EngineSpecsDigest(*parsed));
  BOOST_TEST(EngineSpecsDigest(*reused) != EngineSpecsDigest(*before));
}

BOOST_AUTO_TEST_CASE(ALoaderDecodesNoRoutes)
{
  auto const text = base::RenderJson(LargeConfiguration(1));
  CatalogDecoder decoder(text, operators::CatalogScope::Deployments);
  unsigned steps = 1;
  auto result = decoder.Decode(1);
  for (; !result && steps < kRoutes; ++steps) {
    result = decoder.Decode(1);
  }
  BOOST_TEST(steps < 10U);
  auto const whole = platform::Wire::DecodeCatalog(text);
  BOOST_REQUIRE((result && *result && whole));
  BOOST_TEST(EngineSpecsDigest(**result) == EngineSpecsDigest(*whole));
}

BOOST_FIXTURE_TEST_CASE(LargeConfigurationsThatChangeUnderLoadLoseNoRequest, tests::SiteFixture)
{
  Run([&]() -> awaitable<void> {
    unsigned open = 0;
    auto const call = [&](unsigned aNumber) -> awaitable<void> {
      auto request = aNumber % 2 == 0 ? ModelRequest("/chat/x", std::to_string(aNumber), "common")
                                      : Request("GET", "/look/x", std::to_string(aNumber));
      auto const response = co_await Send(std::move(request));
      BOOST_TEST((response.has_value() && response->m_status == 200));
      --open;
    };
    for (unsigned number = 0; number < 60; ++number) {
      if (number % 10 == 0) {
        auto configuration = LargeConfiguration(2 + number, number % 20 == 0 ? 1400 : 20);
        configuration["services"][0]["engine"]["slots"] = 8 + number;
        m_store.Put("config", "main", std::move(configuration));
      }
      ++open;
      m_loop.Start(call(number));
      co_await m_loop.Sleep(25ms);
    }
    while (open > 0) {
      co_await m_loop.Sleep(20ms);
    }
    BOOST_TEST(m_gateway->State().m_catalog->Catalog().m_version.Value() == 52U);
  });
}

BOOST_AUTO_TEST_CASE(AConfigurationThatIsMalformedAnywhereIsRejectedWhole)
{
  auto const valid = base::RenderJson(LargeConfiguration(1, 3));
  auto const changed = [&](std::string const& aFrom, std::string const& aTo) {
    auto text = valid;
    auto const position = text.rfind(aFrom);
    BOOST_REQUIRE(position != std::string::npos);
    return text.replace(position, aFrom.size(), aTo);
  };
  BOOST_TEST(platform::Wire::DecodeCatalog(valid).has_value());
  for (auto const& text :
       { changed("\"more-2\"", "\"more-2"), changed("{\"goalMs\"", "{\"goalMs\":1,\"goalMs\""),
         changed("\"version\":", "\"limits\":{},\"version\":"), changed("\"version\":1", "\"x\":1"),
         changed("\"version\":", "\"other\":nonsense,\"version\":"),
         changed("],\"services\"", ",],\"services\""), changed("],\"services\"", "]],\"services\""),
         changed("\"kind\":\"safe\"", "\"kind\":\"other\""), valid + "}",
         valid.substr(0, valid.size() - 1), std::string("[]"), std::string("null") }) {
    BOOST_TEST(!platform::Wire::DecodeCatalog(text).has_value(), text);
  }
}

BOOST_AUTO_TEST_CASE(ABlockedLoopIsReportedOnceWithItsLength)
{
  base::LoopLateness lateness(100ms);
  base::Instant now{};
  BOOST_TEST((lateness.OnTick(now) == 0ms));
  BOOST_TEST((lateness.OnTick(now += 130ms) == 30ms));
  BOOST_TEST(!lateness.TakeReport(now).has_value());
  BOOST_TEST((lateness.OnTick(now += 900ms) == 800ms));
  BOOST_TEST((lateness.TakeReport(now) == std::optional<base::Duration>(800ms)));
  BOOST_TEST((lateness.OnTick(now += 400ms) == 300ms));
  BOOST_TEST(!lateness.TakeReport(now).has_value());
  BOOST_TEST((lateness.OnTick(now += 600ms) == 500ms));
  BOOST_TEST((lateness.TakeReport(now) == std::optional<base::Duration>(500ms)));
}
