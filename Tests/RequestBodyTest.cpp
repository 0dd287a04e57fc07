#define BOOST_TEST_MODULE RequestBody
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "platform/Wire.h"
#include "Programs/SystemClock.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <new>

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

/// Sends to a server that counts the bytes of the body as it responds.
template<typename Send>
void RunSend(Send aSend)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  std::size_t received = 0;
  auto const handle = [&received](base::HttpExchange& aExchange) -> awaitable<void> {
    received = aExchange.Request().m_body.size();
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
  BOOST_TEST(received == kBodyBytes);
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
  RunSend(send);
  // The server's own buffer for the body.
  BOOST_TEST(largeAllocations == 1U);
}
