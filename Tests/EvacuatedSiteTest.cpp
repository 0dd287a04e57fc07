#define BOOST_TEST_MODULE EvacuatedSite
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

// The whole way of an evacuation through a real gateway: from the operator's entry in the
// store to the upstreams that get a request or don't, also at gateways that start or
// lose the store meanwhile.

using namespace sardinefold;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

/// With it the last use of an evacuated failure domain ends one second after the store
/// last held no evacuation, at the latest.
constexpr auto kBound = 2'500ms;
constexpr auto kLastUse = 1s;

tests::SiteShape TwoDomains(bool aHasEvacuations)
{
  tests::SiteShape shape;
  shape.m_secondDomain = "b";
  if (aHasEvacuations) {
    shape.m_bounds.m_maximumEvacuationDelay = kBound;
  }
  shape.m_regions = {
    { base::FailureDomainId::FromValidated("a"), base::RegionId::FromValidated("north") },
    { base::FailureDomainId::FromValidated("b"), base::RegionId::FromValidated("south") }
  };
  return shape;
}

/// The gateway, the service and the engine "i-1" are in "a", the engine "i-2" in "b".
class EvacuationFixture : public SiteFixture
{
public:
  explicit EvacuationFixture(bool aHasEvacuations = true)
    : SiteFixture(TwoDomains(aHasEvacuations))
  {
    m_store.Put("config", "main", Configuration(1));
  }

  /// Engines have room for all models, so that no load evicts one that a test asks for.
  static Json::Value Configuration(std::uint64_t aVersion)
  {
    auto configuration = standins::SiteConfiguration(aVersion);
    configuration["services"][0]["engine"]["weightsMb"] = 400;
    return configuration;
  }

  void Evacuate(char const* aDomain)
  {
    m_store.Put("evacuations", aDomain, Json::Value(Json::objectValue));
  }
  void TakeBack(char const* aDomain) { m_store.Remove("evacuations", aDomain); }

  /// Sends a request for the model that both engines hold and returns the answer's seal.
  awaitable<std::string> SealOf(std::string aId, std::string aModel = "common",
                                std::optional<base::Endpoint> aGateway = std::nullopt)
  {
    auto endpoint = aGateway.value_or(Callers());
    auto request = ModelRequest("/chat/x", std::move(aId), std::move(aModel));
    auto const response = co_await m_client.Fetch(std::move(endpoint), std::move(request), 5s);
    if (!response || response->m_status != 200) {
      co_return response ? std::to_string(response->m_status) : "none";
    }
    co_return std::string(response->m_headers.Find("Server-Seal").value_or(""));
  }

  /// Waits until the gateway knows of that many evacuations, and their last use is over.
  awaitable<void> AwaitEvacuated(std::size_t aCount, Gateway* aGateway = nullptr)
  {
    auto& state = (aGateway ? *aGateway : *m_gateway).State();
    for (int attempt = 0; attempt < 100 && state.m_evacuations.InForce().size() != aCount;
         ++attempt) {
      co_await m_loop.Sleep(50ms);
    }
    BOOST_TEST(state.m_evacuations.InForce().size() == aCount);
    co_await m_loop.Sleep(aCount > 0 ? kLastUse : 0s);
  }

  awaitable<unsigned> StatusOfOrder(std::string aId)
  {
    auto request = Request("POST", "/order/x", std::move(aId));
    auto const response = co_await Send(std::move(request));
    co_return response ? response->m_status : 0U;
  }

  /// Waits until the second gateway is ready, or for three seconds.
  awaitable<bool> AwaitSecond()
  {
    for (int attempt = 0; attempt < 60; ++attempt) {
      base::HttpRequest request;
      request.m_target = "/v1/ready";
      auto endpoint = *SecondGateway().m_readiness;
      auto const response = co_await m_client.Fetch(std::move(endpoint), std::move(request), 1s);
      if (response && response->m_status == 200) {
        co_return true;
      }
      co_await m_loop.Sleep(50ms);
    }
    co_return false;
  }
};

struct WithoutBound : EvacuationFixture
{
  WithoutBound()
    : EvacuationFixture(false)
  {
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AnEvacuatedDomainGetsNothingAndTakesPartAgainAfterwards, EvacuationFixture)
{
  Run([&]() -> awaitable<void> {
    auto const before = co_await SealOf("r1");
    BOOST_TEST(before == "seal-i-1");
    // A stream that runs there goes on to its end.
    SetFault(*m_engines[0], "event_ms", 400);
    std::string running;
    m_loop.Start([](EvacuationFixture* aFixture, std::string& aSeal) -> awaitable<void> {
      aSeal = co_await aFixture->SealOf("r2", "own1");
    }(this, running));
    co_await m_loop.Sleep(100ms);
    Evacuate("a");
    co_await AwaitEvacuated(1);
    SetFault(*m_engines[0], "event_ms", 1);
    for (auto const* const id : { "r3", "r4", "r5", "r6" }) {
      auto const seal = co_await SealOf(id);
      BOOST_TEST(seal == "seal-i-2");
    }
    // The only upstream of its deployment: refused, and not run.
    auto const refused = co_await StatusOfOrder("r7");
    BOOST_TEST(refused == 503U);
    BOOST_TEST(RunsOf("r7") == 0U);
    co_await m_loop.Sleep(1s);
    BOOST_TEST(running == "seal-i-1");
    TakeBack("a");
    co_await AwaitEvacuated(0);
    auto const after = co_await SealOf("r8");
    BOOST_TEST(after == "seal-i-1");
    auto const served = co_await StatusOfOrder("r9");
    BOOST_TEST(served == 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(AModelHeldOnlyThereIsLoadedElsewhere, EvacuationFixture)
{
  Run([&]() -> awaitable<void> {
    Evacuate("a");
    co_await AwaitEvacuated(1);
    auto const seal = co_await SealOf("r1", "own1");
    BOOST_TEST(seal == "seal-i-2");
  });
}

BOOST_FIXTURE_TEST_CASE(TwoEvacuationsAreTakenBackOneByOne, EvacuationFixture)
{
  Run([&]() -> awaitable<void> {
    Evacuate("a");
    Evacuate("b");
    co_await AwaitEvacuated(2);
    auto const none = co_await SealOf("r1");
    BOOST_TEST(none == "503");
    TakeBack("b");
    co_await AwaitEvacuated(1);
    auto const second = co_await SealOf("r2");
    BOOST_TEST(second == "seal-i-2");
  });
}

// A gateway that starts in the middle must know of the evacuation before its first request.
BOOST_FIXTURE_TEST_CASE(AGatewayThatStartsReadsTheEvacuationsFirst, EvacuationFixture)
{
  Run([&]() -> awaitable<void> {
    Evacuate("a");
    Gateway second(m_loop, SecondGateway());
    BOOST_REQUIRE(second.Start().has_value());
    // Each answer until it is ready is a refusal, or comes from elsewhere.
    for (int request = 0; request < 20; ++request) {
      auto const seal =
        co_await SealOf("early" + std::to_string(request), "common", SecondGateway().m_callers);
      BOOST_TEST(seal != "seal-i-1");
      co_await m_loop.Sleep(20ms);
    }
    bool const isReady = co_await AwaitSecond();
    BOOST_TEST(isReady);
    auto const seal = co_await SealOf("r1", "common", SecondGateway().m_callers);
    BOOST_TEST(seal == "seal-i-2");
    second.State().m_loop.Stop();
  });
}

// The store has answered a gateway that starts about everything but the evacuations.
BOOST_FIXTURE_TEST_CASE(AGatewayServesNothingBeforeItKnowsTheEvacuations, EvacuationFixture)
{
  Run([&]() -> awaitable<void> {
    Evacuate("a");
    co_await AwaitEvacuated(1);
    Json::Value faults;
    faults["refused_kind"] = "evacuations";
    BOOST_REQUIRE(m_store.Faults().Apply(faults).has_value());
    Gateway second(m_loop, SecondGateway());
    BOOST_REQUIRE(second.Start().has_value());
    unsigned refused = 0;
    for (int attempt = 0; attempt < 200 && !second.State().m_evacuations.State(); ++attempt) {
      bool const isConfigured = second.State().m_catalog && second.State().m_directory.Size() > 0;
      auto const answer =
        co_await SealOf("early" + std::to_string(attempt), "common", SecondGateway().m_callers);
      BOOST_TEST(answer != "seal-i-1");
      refused += isConfigured && answer == "503" ? 1 : 0;
      co_await m_loop.Sleep(20ms);
    }
    BOOST_TEST(refused > 0U);
    // Its neighbour has told it.
    bool const isReady = co_await AwaitSecond();
    BOOST_TEST(isReady);
    auto const seal = co_await SealOf("r1", "common", SecondGateway().m_callers);
    BOOST_TEST(seal == "seal-i-2");
    second.State().m_loop.Stop();
  });
}

// The gateway is cut from the store before the evacuation, and a neighbour knows of it.
BOOST_FIXTURE_TEST_CASE(AGatewayCutFromTheStoreLearnsOfAnEvacuationByANeighbour, EvacuationFixture)
{
  Run([&]() -> awaitable<void> {
    Gateway second(m_loop, SecondGateway());
    BOOST_REQUIRE(second.Start().has_value());
    bool const isReady = co_await AwaitSecond();
    BOOST_TEST(isReady);
    co_await m_loop.Sleep(1s);
    auto cut = SecondGateway();
    cut.m_objectStore = { "127.0.1.1", 9 };
    second.Reload(cut);
    // Watches that are open end.
    co_await m_loop.Sleep(4'200ms);
    Evacuate("a");
    co_await AwaitEvacuated(1, &second);
    auto const seal = co_await SealOf("r1", "common", SecondGateway().m_callers);
    BOOST_TEST(seal == "seal-i-2");
    TakeBack("a");
    co_await AwaitEvacuated(0, &second);
    second.State().m_loop.Stop();
  });
}

BOOST_FIXTURE_TEST_CASE(ASilentOrRestoredStoreTakesNoEvacuationBack, EvacuationFixture)
{
  Run([&]() -> awaitable<void> {
    m_store.TakeCopy();
    Evacuate("a");
    co_await AwaitEvacuated(1);
    Json::Value faults;
    faults["outage"] = true;
    BOOST_REQUIRE(m_store.Faults().Apply(faults).has_value());
    co_await m_loop.Sleep(5s);
    auto const during = co_await SealOf("r1");
    BOOST_TEST(during == "seal-i-2");
    m_store.Restore();
    faults["outage"] = false;
    BOOST_REQUIRE(m_store.Faults().Apply(faults).has_value());
    co_await m_loop.Sleep(2s);
    auto const restored = co_await SealOf("r2");
    BOOST_TEST(restored == "seal-i-2");
    // The operator repeats the entry, and takes it back.
    Evacuate("a");
    co_await AwaitEvacuated(1);
    TakeBack("a");
    co_await AwaitEvacuated(0);
    auto const after = co_await SealOf("r3");
    BOOST_TEST(after == "seal-i-1");
  });
}

BOOST_FIXTURE_TEST_CASE(ASiteWithoutEvacuationsMakesNoCallForThem, WithoutBound)
{
  Run([&]() -> awaitable<void> {
    Evacuate("a");
    co_await m_loop.Sleep(1s);
    auto const seal = co_await SealOf("r1");
    BOOST_TEST(seal == "seal-i-1");
    BOOST_TEST(!m_gateway->State().m_evacuations.State().has_value());
  });
}

BOOST_FIXTURE_TEST_CASE(RequestsStayInTheHomesOfRouteAndWorkspace, EvacuationFixture)
{
  Run([&]() -> awaitable<void> {
    auto configuration = Configuration(2);
    configuration["routes"][0]["homeRegions"].append("south");
    m_store.Put("config", "main", configuration);
    co_await m_loop.Sleep(1s);
    auto const seal = co_await SealOf("r1");
    BOOST_TEST(seal == "seal-i-2");
    // No region is a home of both.
    configuration["version"] = 3;
    configuration["tenants"][0]["homeRegions"].append("north");
    m_store.Put("config", "main", configuration);
    co_await m_loop.Sleep(1s);
    auto const none = co_await SealOf("r2");
    BOOST_TEST(none == "503");
    BOOST_TEST(RunsOf("r2") == 0U);
    auto const order = co_await StatusOfOrder("r3");
    BOOST_TEST(order == 200U);
    configuration["version"] = 4;
    configuration["routes"][0].removeMember("homeRegions");
    m_store.Put("config", "main", configuration);
    co_await m_loop.Sleep(1s);
    auto const north = co_await SealOf("r4");
    BOOST_TEST(north == "seal-i-1");
  });
}
