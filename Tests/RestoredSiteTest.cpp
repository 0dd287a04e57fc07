#define BOOST_TEST_MODULE RestoredSite
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

/// Longer than a change takes to reach the gateway and the loaders.
constexpr auto kApplyTime = 1'500ms;

Json::Value Route(char const* aName, char const* aPath, char const* aService)
{
  Json::Value route;
  route["name"] = aName;
  route["host"] = "site.example";
  route["pathPrefix"] = aPath;
  route["kind"] = "safe";
  route["timeoutMs"] = 1'500;
  route["goalMs"] = 150;
  route["service"] = aService;
  route["maxAttempts"] = 1;
  return route;
}

void AddService(Json::Value& aConfiguration, char const* aName)
{
  Json::Value service;
  service["name"] = aName;
  service["healthPath"] = "/health";
  aConfiguration["services"].append(std::move(service));
}

/// A site with an entry "i-old" of a service, whose address is that of a service
/// that a test may add.
class RestoredFixture : public tests::SiteFixture
{
public:
  RestoredFixture()
  {
    auto configuration = standins::SiteConfiguration(1);
    AddService(configuration, "old");
    AddService(configuration, "added");
    configuration["routes"].append(Route("old", "/old/", "old"));
    m_store.Put("config", "main", configuration);
    ListOld("ready");
  }

  /// Writes a configuration with another route and without the key of the guests.
  void Reconfigure()
  {
    auto configuration = standins::SiteConfiguration(5);
    AddService(configuration, "old");
    AddService(configuration, "added");
    configuration["routes"].append(Route("old", "/old/", "old"));
    configuration["routes"].append(Route("added", "/added/", "added"));
    configuration["tenants"][1]["apiKeys"][0] = "key-3";
    m_store.Put("config", "main", configuration);
  }

  void AddUpstream()
  {
    standins::SiteEngineSettings settings;
    settings.m_instance = "i-added";
    settings.m_deployment = "added";
    settings.m_address = AddedAddress();
    settings.m_hasModels = false;
    m_added = std::make_unique<standins::SiteEngine>(m_loop, m_store, settings);
    BOOST_REQUIRE(m_added->Start().has_value());
  }

  void ListOld(char const* aState)
  {
    Json::Value entry;
    entry["service"] = "old";
    entry["address"] = AddedAddress().Text();
    entry["zone"] = "a";
    entry["version"] = "v1";
    entry["slots"] = 8;
    entry["state"] = aState;
    entry["born"] = 7;
    m_store.Put("servers", "i-old", std::move(entry));
  }

  awaitable<unsigned> Status(base::Endpoint aGateway, std::string aTarget,
                             std::string aKey = "key-1")
  {
    auto request = Request("POST", std::move(aTarget), "r" + std::to_string(++m_requests));
    request.m_headers.Set("Authorization", "Bearer " + aKey);
    auto const response = co_await m_client.Fetch(std::move(aGateway), std::move(request), 3s);
    co_return response ? response->m_status : 0U;
  }
  awaitable<unsigned> Status(std::string aTarget, std::string aKey = "key-1")
  {
    auto endpoint = Callers();
    co_return co_await Status(std::move(endpoint), std::move(aTarget), std::move(aKey));
  }
  awaitable<unsigned> Readiness(base::Endpoint aEndpoint)
  {
    base::HttpRequest request;
    request.m_target = "/v1/ready";
    auto const response = co_await m_client.Fetch(std::move(aEndpoint), std::move(request), 1s);
    co_return response ? response->m_status : 0U;
  }

  std::unique_ptr<standins::SiteEngine> m_added;
  std::unique_ptr<Gateway> m_second;
  int m_requests = 0;

private:
  base::Endpoint AddedAddress() const { return { "127.0.3.1", Callers().m_port }; }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ARestorationTakesNothingBackFromAGateway, RestoredFixture)
{
  Run([&]() -> awaitable<void> {
    m_store.TakeCopy();
    Reconfigure();
    AddUpstream();
    ListOld("draining");
    co_await m_loop.Sleep(kApplyTime);
    auto const before = co_await Status("/added/x");
    BOOST_REQUIRE(before == 200U);
    // The added upstream is away from the list for a while, too.
    SetFault(*m_added, "unlisted", true);
    m_store.Restore();
    auto const arrivals = m_added->Arrivals().size();
    for (auto const end = m_loop.Now() + 1s; m_loop.Now() < end;) {
      auto const drained = co_await Status("/old/x");
      BOOST_TEST(drained == 503U);
      auto const added = co_await Status("/added/x");
      BOOST_TEST(added == 200U);
      auto const withdrawn = co_await Status("/look/x", "key-2");
      BOOST_TEST(withdrawn == 401U);
      co_await m_loop.Sleep(50ms);
    }
    auto const replaced = co_await Status("/look/x", "key-3");
    BOOST_TEST(replaced == 200U);
    // Only the requests to the added upstream have arrived at their common address.
    BOOST_TEST(m_added->Arrivals().size() - arrivals == m_added->Runs().size() - 1);
    SetFault(*m_added, "unlisted", false);
    m_store.WriteAgain();
    co_await m_loop.Sleep(2'500ms);
    auto const added = co_await Status("/added/x");
    BOOST_TEST(added == 200U);
    auto const drained = co_await Status("/old/x");
    BOOST_TEST(drained == 503U);
    auto const withdrawn = co_await Status("/look/x", "key-2");
    BOOST_TEST(withdrawn == 401U);
  });
}

BOOST_FIXTURE_TEST_CASE(AnUpstreamThatStaysMissingAfterARestorationIsGone, RestoredFixture)
{
  Run([&]() -> awaitable<void> {
    m_store.TakeCopy();
    Reconfigure();
    AddUpstream();
    co_await m_loop.Sleep(kApplyTime);
    SetFault(*m_added, "unlisted", true);
    m_store.Restore();
    co_await m_loop.Sleep(3s);
    auto const status = co_await Status("/added/x");
    BOOST_TEST(status == 503U);
  });
}

BOOST_FIXTURE_TEST_CASE(AGatewayThatStartsOnTheCopyServesNothingByIt, RestoredFixture)
{
  Run([&]() -> awaitable<void> {
    m_store.TakeCopy();
    Reconfigure();
    AddUpstream();
    co_await m_loop.Sleep(kApplyTime);
    m_store.Restore();
    m_second = std::make_unique<Gateway>(m_loop, SecondGateway());
    BOOST_REQUIRE(m_second->Start().has_value());
    auto const callers = *SecondGateway().m_callers;
    auto const readiness = *SecondGateway().m_readiness;
    co_await m_loop.Sleep(1s);
    auto const ready = co_await Readiness(readiness);
    BOOST_TEST(ready == 503U);
    auto const unknown = co_await Status(callers, "/added/x");
    BOOST_TEST(unknown == 503U);
    auto const withdrawn = co_await Status(callers, "/look/x", "key-2");
    BOOST_TEST(withdrawn == 503U);
    m_store.WriteAgain();
    co_await m_loop.Sleep(kApplyTime);
    auto const readyAgain = co_await Readiness(readiness);
    BOOST_TEST(readyAgain == 200U);
    auto const served = co_await Status(callers, "/added/x");
    BOOST_TEST(served == 200U);
    auto const refused = co_await Status(callers, "/look/x", "key-2");
    BOOST_TEST(refused == 401U);
  });
}
