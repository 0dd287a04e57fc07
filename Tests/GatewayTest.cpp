#define BOOST_TEST_MODULE Gateway
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

/// Returns the events 1 to 8 of a request, each once and in order.
std::string CompleteStream(std::string const& aId)
{
  std::string text;
  for (int event = 1; event <= 8; ++event) {
    text +=
      "id: " + std::to_string(event) + "\ndata: " + aId + "." + std::to_string(event) + "\n\n";
  }
  return text;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(AStreamIsPassedOnWhole, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "common");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 200U);
    BOOST_TEST(response->m_body == CompleteStream("r1"));
    BOOST_TEST(response->m_headers.Find("Server-Seal").has_value());
    BOOST_TEST(RunsOf("r1") == 1U);
    for (auto const& engine : m_engines) {
      for (auto const& run : engine->Runs()) {
        BOOST_TEST(run.m_workspace == "marshals");
        BOOST_TEST(!run.m_hadKey);
      }
    }
  });
}

BOOST_FIXTURE_TEST_CASE(RequestsAreCountedByWorkspaceAndClass, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "common");
    co_await Send(std::move(request));
    auto const text = m_gateway->Metrics().Render();
    for (
      auto const* const line :
      { R"(sardinefold_gateway_requests_total{class="0",outcome="answered",workspace="marshals"} 1)",
        R"(sardinefold_gateway_first_event_seconds_count{class="0",workspace="marshals"} 1)",
        R"(sardinefold_gateway_answer_seconds_count{class="0",workspace="marshals"} 1)" }) {
      BOOST_TEST(text.find(line) != std::string::npos, line);
    }
    BOOST_TEST(text.find("key-1") == std::string::npos);
  });
}

BOOST_FIXTURE_TEST_CASE(AModelThatNoEngineHoldsIsLoadedForItsRequest, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "rare");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 200U);
    BOOST_TEST(response->m_body == CompleteStream("r1"));
    for (auto const& engine : m_engines) {
      BOOST_TEST(!engine->HasExceededCapacity());
      BOOST_TEST(engine->Holders().size() <= 1U);
    }
  });
}

BOOST_FIXTURE_TEST_CASE(AnAdapterIsLoadedForItsRequest, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "common/a1");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(AnOrderWhoseResponseIsLostIsNotIssuedTwice, SiteFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "lose_orders", 2);
  }
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "rare");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 200U);
    for (auto const& engine : m_engines) {
      BOOST_TEST(!engine->HasExceededCapacity());
    }
  });
}

BOOST_FIXTURE_TEST_CASE(ALoaderThatReplacesAnotherHostsWaitsUntilItsOrdersExpire, SiteFixture)
{
  for (auto const* const host : { "side-1", "side-2" }) {
    Json::Value object;
    object["writeNonce"] = "earlier";
    object["value"] = "127.0.9.9";
    m_store.Put("sardinefold-agent", host, object);
  }
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "rare");
    auto const first = co_await Send(std::move(request));
    BOOST_TEST(first->m_status == 503U);
    for (auto const& engine : m_engines) {
      BOOST_TEST(engine->Holders().empty());
    }
    co_await m_loop.Sleep(1'500ms);
    auto again = ModelRequest("/chat/x", "r2", "rare");
    auto const second = co_await Send(std::move(again));
    BOOST_TEST(second->m_status == 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(AnInterruptedStreamResumesElsewhereWithoutLostOrDuplicateEvents,
                        SiteFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "break_streams", 1);
  }
  Run([&]() -> awaitable<void> {
    // Only one engine interrupts a stream, since the second attempt is the last.
    SetFault(*m_engines[1], "break_streams", 0);
    SetFault(*m_engines[0], "break_streams", 1);
    for (int number = 0; number < 4; ++number) {
      auto const id = "r" + std::to_string(number);
      auto request = ModelRequest("/chat/x", id, "common");
      auto const response = co_await Send(std::move(request));
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response->m_body == CompleteStream(id));
    }
  });
}

BOOST_FIXTURE_TEST_CASE(ARequestAfterTheEndOfWaitsIsForwardedAndItsStreamResumed, SiteFixture)
{
  SetFault(*m_engines[0], "break_streams", 4);
  Run([&]() -> awaitable<void> {
    m_gateway->State().m_waitDeadline = m_loop.Now();
    for (int number = 0; number < 4; ++number) {
      auto const id = "r" + std::to_string(number);
      auto request = ModelRequest("/chat/x", id, "common");
      auto const response = co_await Send(std::move(request));
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response->m_status == 200U);
      BOOST_TEST(response->m_body == CompleteStream(id));
    }
    // The end of waits still holds for a model that no engine holds.
    auto request = ModelRequest("/chat/x", "rare", "rare");
    auto const refused = co_await Send(std::move(request));
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(refused->m_status == 503U);
  });
}

BOOST_FIXTURE_TEST_CASE(AFailedResumptionIsNotWrittenIntoTheStream, SiteFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "break_streams", 1);
    SetFault(*engine, "fail_resumed", 1);
  }
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "common");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(!response.has_value());
    BOOST_TEST((response.error().m_kind == base::HttpFailure::Kind::ConnectionClosed),
               response.error().m_detail);
    BOOST_TEST(RunsOf("r1") == 2U);
  });
}

BOOST_FIXTURE_TEST_CASE(AStreamMayUseMostOfItsDeadline, SiteFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "event_ms", 300);
  }
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "common");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_body == CompleteStream("r1"));
  });
}

BOOST_FIXTURE_TEST_CASE(AnInterruptedStreamThatIsNotResumableDoesNotLookComplete, SiteFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "break_streams", 1);
  }
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/once/x", "r1", "common");
    auto const response = co_await Send(std::move(request));
    BOOST_TEST(!response.has_value());
    BOOST_TEST(RunsOf("r1") == 1U);
  });
}

BOOST_FIXTURE_TEST_CASE(AnOrderWithATruncatedResponseRunsOnce, SiteFixture)
{
  SetFault(*m_service, "truncate_answers", 1);
  Run([&]() -> awaitable<void> {
    auto request = Request("POST", "/order/x", "r1");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 502U);
    BOOST_TEST(RunsOf("r1") == 1U);
  });
}

BOOST_FIXTURE_TEST_CASE(ARequestThatCrashedThreeUpstreamsIsRefused, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    auto const fingerprint =
      base::FingerprintId::FromValidated(std::to_string(base::FastHash("/order/x\nmarshals\n")));
    for (auto const* const upstream : { "i-1", "i-2" }) {
      m_gateway->State().RecordCrash(fingerprint, base::UpstreamId::FromValidated(upstream),
                                     m_loop.Now(), m_loop.Now());
    }
    // A different request, since one that is served is no longer suspected.
    auto second = Request("POST", "/order/y", "r1");
    auto const served = co_await Send(std::move(second));
    BOOST_TEST(served->m_status == 200U);
    m_gateway->State().RecordCrash(fingerprint, base::UpstreamId::FromValidated("i-3"),
                                   m_loop.Now(), m_loop.Now());
    auto third = Request("POST", "/order/x", "r2");
    auto const refused = co_await Send(std::move(third));
    BOOST_TEST(refused->m_status == 503U);
    BOOST_TEST(RunsOf("r2") == 0U);
  });
}

/// Gateways that were restarted knew nothing of the crashes before and sent the request to
/// three more upstreams each.
BOOST_FIXTURE_TEST_CASE(AGatewayThatStartsRefusesARequestThatCrashedThreeUpstreams, SiteFixture)
{
  std::unique_ptr<Gateway> second;
  Run([&]() -> awaitable<void> {
    auto const fingerprint =
      base::FingerprintId::FromValidated(std::to_string(base::FastHash("/order/x\nmarshals\n")));
    for (auto const* const upstream : { "i-1", "i-2", "i-3" }) {
      m_gateway->State().RecordCrash(fingerprint, base::UpstreamId::FromValidated(upstream),
                                     m_loop.Now(), m_loop.Now());
    }
    co_await m_loop.Sleep(3s);
    second = std::make_unique<Gateway>(m_loop, SecondGateway());
    BOOST_REQUIRE(second->Start().has_value());
    co_await m_loop.Sleep(2s);
    for (auto const& [path, status] :
         { std::pair("/order/x", 503U), std::pair("/order/y", 200U) }) {
      auto request = Request("POST", path, path + 1);
      auto const response =
        co_await m_client.Fetch(*SecondGateway().m_callers, std::move(request), 5s);
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(response->m_status == status);
    }
    BOOST_TEST(RunsOf("order/x") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(AClosedConnectionToALiveUpstreamMakesNoSuspect, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    auto const fingerprint =
      base::FingerprintId::FromValidated(std::to_string(base::FastHash("/order/x\nmarshals\n")));
    for (auto const* const upstream : { "i-1-1", "i-2-1", "i-desk-1" }) {
      m_gateway->State().RecordCrash(fingerprint, base::UpstreamId::FromValidated(upstream),
                                     m_loop.Now(), m_loop.Now());
    }
    auto refused = Request("POST", "/order/x", "r1");
    auto const first = co_await Send(std::move(refused));
    BOOST_TEST(first->m_status == 503U);
    // One of the three upstreams serves another request, so it has not crashed.
    auto other = Request("POST", "/order/y", "r2");
    co_await Send(std::move(other));
    auto again = Request("POST", "/order/x", "r3");
    auto const second = co_await Send(std::move(again));
    BOOST_TEST(second->m_status == 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(ARefusalWithoutProofIsNotReportedAsNotRun, SiteFixture)
{
  SetFault(*m_service, "refuse_after_run", 1);
  Run([&]() -> awaitable<void> {
    auto request = Request("POST", "/order/x", "r1");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 502U);
    BOOST_TEST(RunsOf("r1") == 1U);
  });
}

/// The rejection of such a request was taken for that of another engine at the address, so that
/// its gateway sent the engines nothing for five seconds.
BOOST_FIXTURE_TEST_CASE(ARequestWithoutAModelDoesNotPauseItsEngines, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    for (auto const* const model : { "", "no identifier" }) {
      auto nameless = ModelRequest("/chat/x", "r1", model);
      if (std::string_view(model).empty()) {
        nameless.m_headers.Remove("Model");
      }
      auto const refused = co_await Send(std::move(nameless));
      BOOST_REQUIRE(refused.has_value());
      BOOST_TEST(refused->m_status == 400U);
      BOOST_TEST(RunsOf("r1") == 0U);
    }
    for (int number = 0; number < 10; ++number) {
      auto proper = ModelRequest("/chat/x", "p" + std::to_string(number), "common");
      auto const served = co_await Send(std::move(proper));
      BOOST_REQUIRE(served.has_value());
      BOOST_TEST(served->m_status == 200U);
    }
  });
}

BOOST_FIXTURE_TEST_CASE(ARejectedRequestIsRefusedWithRetryAfter, SiteFixture)
{
  SetFault(*m_service, "reject_requests", 5);
  Run([&]() -> awaitable<void> {
    auto request = Request("POST", "/order/x", "r1");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 503U);
    BOOST_TEST(response->m_headers.Find("Retry-After").has_value());
    BOOST_TEST(RunsOf("r1") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(RequestsWithoutRouteOrKeyAreRefused, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    auto unknownRoute = Request("GET", "/nowhere/", "r1");
    auto const first = co_await Send(std::move(unknownRoute));
    BOOST_TEST(first->m_status == 404U);
    auto unknownKey = Request("GET", "/look/x", "r2");
    unknownKey.m_headers.Set("Authorization", "Bearer stolen");
    auto const second = co_await Send(std::move(unknownKey));
    BOOST_TEST(second->m_status == 401U);
    auto large = Request("POST", "/order/x", "r3");
    large.m_body.assign(30'000, 'x');
    auto const third = co_await Send(std::move(large));
    BOOST_TEST((!third.has_value() || third->m_status == 413U));
    auto longHead = Request("GET", "/look/x", "r4");
    longHead.m_headers.Add("X-Long", std::string(6'000, 'x'));
    auto const fourth = co_await Send(std::move(longHead));
    BOOST_TEST((!fourth.has_value() || fourth->m_status == 431U));
    BOOST_TEST(RunsOf("r1") + RunsOf("r2") + RunsOf("r3") + RunsOf("r4") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(AnAllowanceThatIsUsedUpIsRefusedAsNotRun, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    int refused = 0;
    for (int number = 0; number < 10; ++number) {
      auto const id = "r" + std::to_string(number);
      auto request = Request("GET", "/look/x", id);
      request.m_headers.Set("Authorization", "Bearer key-2");
      auto const response = co_await Send(std::move(request));
      BOOST_REQUIRE(response.has_value());
      if (response->m_status == 429) {
        ++refused;
        BOOST_TEST(RunsOf(id) == 0U);
        BOOST_TEST(response->m_headers.Find("Retry-After").has_value());
      }
    }
    BOOST_TEST(refused >= 5);
  });
}

BOOST_FIXTURE_TEST_CASE(AWithdrawnKeyAndANewRouteAreInForceWithinTwoSeconds, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    auto configuration = standins::SiteConfiguration(2);
    configuration["tenants"][0]["apiKeys"][0] = "key-3";
    m_store.Put("config", "main", configuration);
    co_await m_loop.Sleep(500ms);
    auto withdrawn = Request("GET", "/look/x", "r1");
    auto const first = co_await Send(std::move(withdrawn));
    BOOST_TEST(first->m_status == 401U);
    auto issued = Request("GET", "/look/x", "r2");
    issued.m_headers.Set("Authorization", "Bearer key-3");
    auto const second = co_await Send(std::move(issued));
    BOOST_TEST(second->m_status == 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(ConfigurationsComeIntoForceAfterTheStoreDiscardedItsHistory, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    m_store.DiscardHistory();
    auto configuration = standins::SiteConfiguration(5);
    configuration["tenants"][0]["apiKeys"][0] = "key-3";
    m_store.Put("config", "main", configuration);
    m_store.DiscardHistory();
    co_await m_loop.Sleep(2'500ms);
    auto request = Request("GET", "/look/x", "r1");
    auto const response = co_await Send(std::move(request));
    BOOST_TEST(response->m_status == 401U);
  });
}

BOOST_FIXTURE_TEST_CASE(AKeyWithdrawnAfterARestorationOfTheStoreIsRefusedInTime, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    m_store.TakeCopy();
    // The store's counter does not reach the known number again in this test.
    for (int number = 0; number < 50; ++number) {
      m_store.Put("servers", "odd", number);
    }
    co_await m_loop.Sleep(1'000ms);
    m_store.Restore();
    auto configuration = standins::SiteConfiguration(2);
    configuration["tenants"][0]["apiKeys"][0] = "key-3";
    m_store.Put("config", "main", configuration);
    co_await m_loop.Sleep(2s);
    auto request = Request("GET", "/look/x", "r1");
    auto const response = co_await Send(std::move(request));
    BOOST_TEST(response->m_status == 401U);
    auto const metrics = m_gateway->Metrics().Render();
    BOOST_TEST(metrics.find("\nsardinefold_gateway_store_restorations_total 1\n") !=
               std::string::npos);
  });
}

BOOST_FIXTURE_TEST_CASE(UnresponsiveStoreConnectionsDelayNoConfiguration, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    Json::Value faults;
    faults["silence_connections"] = true;
    BOOST_REQUIRE(m_store.Faults().Apply(faults).has_value());
    auto configuration = standins::SiteConfiguration(2);
    configuration["tenants"][0]["apiKeys"][0] = "key-3";
    m_store.Put("config", "main", configuration);
    // The unresponsive watch ends after two seconds at the latest.
    co_await m_loop.Sleep(2'800ms);
    auto request = Request("GET", "/look/x", "r1");
    auto const response = co_await Send(std::move(request));
    BOOST_TEST(response->m_status == 401U);
  });
}

BOOST_FIXTURE_TEST_CASE(RequestsAreServedWhileTheStoreIsUnavailable, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    Json::Value outage;
    outage["outage"] = true;
    BOOST_REQUIRE(m_store.Faults().Apply(outage).has_value());
    co_await m_loop.Sleep(1s);
    auto request = ModelRequest("/chat/x", "r1", "rare");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(ADrainingUpstreamGetsNoNewRequest, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    SetFault(*m_service, "leaving", true);
    co_await m_loop.Sleep(700ms);
    auto request = Request("POST", "/order/x", "r1");
    auto const response = co_await Send(std::move(request));
    BOOST_TEST(response->m_status == 503U);
    BOOST_TEST(RunsOf("r1") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(AStoppingGatewayEndsItsStreamsAndRefusesThoseThatWait, SiteFixture)
{
  unsigned streamStatus = 0;
  unsigned waitStatus = 0;
  std::string body;
  auto stream = [&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "common");
    auto const response = co_await Send(std::move(request));
    streamStatus = response ? response->m_status : 0;
    body = response ? response->m_body : "";
  };
  auto wait = [&]() -> awaitable<void> {
    // No engine has the model, so that it is never loaded.
    auto request = ModelRequest("/once/x", "r2", "unheard-of");
    auto const response = co_await Send(std::move(request));
    waitStatus = response ? response->m_status : 0;
  };
  Run([&]() -> awaitable<void> {
    m_loop.Start(stream());
    m_loop.Start(wait());
    co_await m_loop.Sleep(20ms);
    // Stops the loop when all requests have ended, at the latest after the grace period.
    co_await m_gateway->Shutdown();
  });
  BOOST_TEST(streamStatus == 200U);
  BOOST_TEST(body == CompleteStream("r1"));
  BOOST_TEST(waitStatus == 503U);
}

BOOST_FIXTURE_TEST_CASE(AStreamThatBreaksBeforeItsFirstEventDoesNotBreakTheCallersResponse,
                        SiteFixture)
{
  Run([&]() -> awaitable<void> {
    for (auto const& engine : m_engines) {
      SetFault(*engine, "cut_streams", 1);
    }
    auto request = ModelRequest("/once/x", "r1", "common");
    auto const failed = co_await Send(std::move(request));
    BOOST_REQUIRE(failed.has_value());
    BOOST_TEST(failed->m_status == 502U);
    BOOST_TEST(RunsOf("r1") == 1U);
    // The other engine serves a request that may be repeated, under its own headers.
    SetFault(*m_engines[0], "cut_streams", 1);
    SetFault(*m_engines[1], "cut_streams", 0);
    for (int number = 2; number < 6; ++number) {
      auto const id = "r" + std::to_string(number);
      auto again = ModelRequest("/chat/x", id, "common");
      auto const served = co_await Send(std::move(again));
      BOOST_REQUIRE(served.has_value());
      BOOST_TEST(served->m_body == CompleteStream(id));
      BOOST_TEST((RunsOf(id) == 1U || served->m_headers.Find("Server-Seal") == "seal-i-2"));
    }
  });
}

BOOST_FIXTURE_TEST_CASE(AnEmptyStreamThatEndsProperlyIsAnswered, SiteFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "empty_streams", 1);
  }
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/once/x", "r1", "common");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 200U);
    BOOST_TEST(response->m_body == "");
  });
}

BOOST_FIXTURE_TEST_CASE(APartThatCrashesEnginesIsRefusedAndSoundRequestsBesideItAreServed,
                        SiteFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "crash_on_part", 0xdead);
  }
  auto send = [&](std::string aId, std::string aParts) -> awaitable<unsigned> {
    auto request = ModelRequest("/chat/x", aId, "common");
    request.m_headers.Add("Prompt-Prefix", aParts + aId.substr(1) + ":10");
    request.m_body = aId;
    auto const response = co_await Send(std::move(request));
    bool const isRefusal = response && response->m_status == 503;
    BOOST_TEST((!isRefusal || response->m_headers.Find("Retry-After").has_value()));
    co_return response ? response->m_status : 0;
  };
  Run([&]() -> awaitable<void> {
    std::size_t crashes = 0;
    unsigned status = 0;
    for (int number = 1; number <= 8; ++number) {
      auto deadly = "d" + std::to_string(number);
      std::string deadlyParts = "5c:10,dead:10,";
      status = co_await send(deadly, deadlyParts);
      BOOST_TEST(status >= 502U);
      // The engine is listed with its new start within this time.
      co_await m_loop.Sleep(700ms);
      auto sound = "a" + std::to_string(number);
      std::string soundParts = "5c:10,";
      auto const served = co_await send(sound, soundParts);
      BOOST_TEST(served == 200U);
      crashes += RunsOf(deadly);
    }
    BOOST_TEST(status == 503U);
    BOOST_TEST(crashes <= 4U);
    auto const metrics = m_gateway->Metrics().Render();
    BOOST_TEST(metrics.find("sardinefold_gateway_parts_refused 1") != std::string::npos);
    BOOST_TEST(metrics.find(R"(outcome="prompt part crashes upstreams")") != std::string::npos);
  });
}
