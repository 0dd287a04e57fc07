#define BOOST_TEST_MODULE RequestBody
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "platform/Wire.h"
#include "Programs/SystemClock.h"
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <new>
#include <string>
#include <vector>

// A process that holds the body of each request several times exceeds its memory in a
// burst of requests, each of which is within the limits. The body of a request that waits
// for its answer exists once, so neither encoding nor sending it allocates another one.

using namespace sardinefold;
using boost::asio::awaitable;

namespace {

constexpr std::size_t kBodyBytes = 1024UL * 1024;
std::size_t largeAllocations = 0;

void* Allocate(std::size_t aSize)
{
  largeAllocations += aSize >= kBodyBytes ? 1 : 0;
  if (void* const memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

} // namespace

void* operator new(std::size_t aSize)
{
  return Allocate(aSize);
}

void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace {

base::HttpRequest LargeRequest()
{
  base::HttpRequest request;
  request.m_method = "POST";
  request.m_body.assign(kBodyBytes, 'x');
  return request;
}

/// Sends to a server and returns the bodies that it received.
template<typename Send>
std::vector<std::string> RunSend(Send aSend)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  std::vector<std::string> received;
  auto const handle = [&received](base::HttpExchange& aExchange) -> awaitable<void> {
    received.push_back(std::move(aExchange.Request().m_body));
    base::HttpResponse response;
    co_await aExchange.Respond(std::move(response));
  };
  base::HttpServer server(loop, {}, handle, [](base::HttpRequestError const& aError) {
    return base::JsonResponse(aError.m_status, "{}");
  });
  BOOST_REQUIRE(server.Listen({ "127.0.0.1", 0 }));
  base::HttpClient client(loop, {});
  auto run = [&]() -> awaitable<void> {
    base::Endpoint const endpoint{ "127.0.0.1", server.Port() };
    co_await aSend(client, endpoint);
    client.CloseIdle(endpoint);
    co_await server.Drain(std::chrono::seconds(2));
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  return received;
}

} // namespace

BOOST_AUTO_TEST_CASE(EncodingARequestForAnEngineCopiesNoBody)
{
  auto const request = LargeRequest();
  caller::ForwardParameters const parameters;
  largeAllocations = 0;
  auto const encoded = platform::Wire::EncodeForEngine(request, parameters);
  BOOST_TEST(largeAllocations == 0U);
  BOOST_TEST(encoded.m_method == "POST");
}

BOOST_AUTO_TEST_CASE(SendingARequestCopiesNoBody)
{
  auto const send = [](base::HttpClient& aClient, base::Endpoint aEndpoint) -> awaitable<void> {
    auto request = LargeRequest();
    largeAllocations = 0;
    auto const reply =
      co_await aClient.Send(aEndpoint, std::move(request), std::chrono::seconds(10));
    BOOST_REQUIRE(reply);
  };
  auto const received = RunSend(send);
  // The server's own buffer for the body.
  BOOST_TEST(largeAllocations == 1U);
  BOOST_TEST((received == std::vector{ LargeRequest().m_body }));
}

BOOST_AUTO_TEST_CASE(ASharedBodyArrivesUnchangedWithEachAttempt)
{
  auto const body = std::make_shared<std::string const>(LargeRequest().m_body + "end");
  auto const send = [&body](base::HttpClient& aClient,
                            base::Endpoint aEndpoint) -> awaitable<void> {
    for (int attempt = 0; attempt < 2; ++attempt) {
      auto request = platform::Wire::EncodeForEngine(LargeRequest(), caller::ForwardParameters());
      base::HttpSendOptions options{
        std::chrono::seconds(10), nullptr, std::nullopt, std::nullopt, nullptr, body
      };
      auto const reply = co_await aClient.Send(aEndpoint, std::move(request), std::move(options));
      BOOST_REQUIRE(reply);
    }
  };
  auto const received = RunSend(send);
  BOOST_TEST((received == std::vector{ *body, *body }));
}

BOOST_AUTO_TEST_CASE(AGatewaySendsTheCallersBodyWithEachAttempt)
{
  tests::SiteFixture site;
  std::vector<std::string> received;
  auto const handle = [&received](base::HttpExchange& aExchange) -> awaitable<void> {
    auto const& request = aExchange.Request();
    received.push_back(request.m_body);
    base::HttpResponse response;
    response.m_headers.Add("Request-Id", std::string(*request.m_headers.Find("Request-Id")));
    if (received.size() == 1) {
      response.m_status = 503;
      response.m_headers.Add("Not-Executed", "1");
    } else {
      response.m_headers.Add("Server-Seal", "1.2.3");
    }
    co_await aExchange.Respond(std::move(response));
  };
  std::vector<std::unique_ptr<base::HttpServer>> servers;
  auto configuration = standins::SiteConfiguration(2);
  configuration["services"][2]["name"] = "extra";
  for (auto& route : configuration["routes"]) {
    route["service"] = "extra";
  }
  for (auto const* const address : { "127.0.3.1", "127.0.3.2" }) {
    base::Endpoint const endpoint{ address, site.Callers().m_port };
    servers.push_back(std::make_unique<base::HttpServer>(
      site.m_loop, base::HttpServerLimits{}, handle, [](base::HttpRequestError const& aError) {
        return base::JsonResponse(aError.m_status, "{}");
      }));
    BOOST_REQUIRE(servers.back()->Listen(endpoint).has_value());
    Json::Value entry;
    entry["service"] = "extra";
    entry["address"] = endpoint.Text();
    entry["zone"] = "a";
    entry["slots"] = 8;
    entry["state"] = "ready";
    entry["born"] = 1;
    site.m_store.Put("servers", std::string("i-") + address, entry);
  }
  site.m_store.Put("config", "main", configuration);
  std::string const body(10'000, 'y');
  site.Run([&]() -> awaitable<void> {
    // The routes lead to the servers once the gateway has the configuration.
    for (int attempt = 0; attempt < 100 && received.size() < 2; ++attempt) {
      received.clear();
      auto request = tests::SiteFixture::Request("POST", "/order/x", "r1");
      request.m_body = body;
      auto const response = co_await site.Send(std::move(request));
      BOOST_REQUIRE(response.has_value());
      co_await site.m_loop.Sleep(std::chrono::milliseconds(50));
    }
  });
  BOOST_TEST((received == std::vector{ body, body }));
}
