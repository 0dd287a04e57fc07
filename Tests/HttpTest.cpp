#define BOOST_TEST_MODULE Http
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "Base/Json.h"
#include "Base/Rpc/RpcClient.h"
#include "Base/Rpc/RpcServer.h"
#include "Programs/SystemClock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using base::HttpExchange;
using boost::asio::awaitable;

namespace {

base::HttpResponse RenderError(base::HttpRequestError const& aError)
{
  return base::JsonResponse(aError.m_status, "{}");
}

/// Runs a coroutine against a server on a port that the system chooses.
template<typename Body>
void RunWithServer(base::HttpServer::Handler aHandler, base::HttpServerLimits aLimits, Body aBody)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  base::HttpServer server(loop, aLimits, std::move(aHandler), RenderError);
  BOOST_REQUIRE(server.Listen({ "127.0.0.1", 0 }));
  base::HttpClient client(loop, {});
  base::Endpoint const endpoint{ "127.0.0.1", server.Port() };
  auto run = [&]() -> awaitable<void> {
    co_await aBody(loop, client, endpoint, server);
    client.CloseIdle(endpoint);
    co_await server.Drain(std::chrono::seconds(2));
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
}

awaitable<void> Echo(HttpExchange& aExchange)
{
  base::HttpResponse response;
  response.m_body = aExchange.Request().m_body;
  co_await aExchange.Respond(std::move(response));
}

} // namespace

BOOST_AUTO_TEST_CASE(APeerThatAcknowledgesNothingFailsTheRequestBeforeItsTimeout)
{
  // A listener whose connections are never accepted takes only what fits into its
  // buffers, like a peer behind an unresponsive connection.
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  boost::asio::ip::tcp::acceptor silent(loop.Context(),
                                        { boost::asio::ip::make_address("127.0.0.1"), 0 });
  base::HttpClientLimits limits;
  limits.m_acknowledgeTimeout = std::chrono::milliseconds(300);
  base::HttpClient client(loop, limits);
  auto run = [&]() -> awaitable<void> {
    base::HttpRequest request;
    request.m_method = "POST";
    request.m_body.assign(64 * 1024 * 1024, 'x');
    base::Endpoint endpoint{ "127.0.0.1", silent.local_endpoint().port() };
    auto const reply =
      co_await client.Send(std::move(endpoint), std::move(request), std::chrono::minutes(1));
    BOOST_TEST(!reply.has_value());
    BOOST_TEST((reply.error().m_kind == base::HttpFailure::Kind::TimedOut));
    BOOST_TEST(reply.error().m_mayHaveBeenSent);
    // The failure is due to the unresponsive peer, not to the response timeout.
    BOOST_TEST(reply.error().m_detail == make_error_code(boost::asio::error::timed_out).message());
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
}

BOOST_AUTO_TEST_CASE(KeepsConnectionForTheNextRequest)
{
  auto body = [](base::EventLoop&, base::HttpClient& aClient, base::Endpoint aEndpoint,
                 base::HttpServer& aServer) -> awaitable<void> {
    for (int round = 0; round < 3; ++round) {
      base::HttpRequest request;
      request.m_method = "POST";
      request.m_body = "hello";
      auto response =
        co_await aClient.Fetch(aEndpoint, std::move(request), std::chrono::seconds(2));
      BOOST_REQUIRE(response);
      BOOST_TEST(response->m_body == "hello");
    }
    BOOST_TEST(aServer.OpenConnections() == 1U);
    BOOST_TEST(aClient.IdleConnections(aEndpoint) == 1U);
  };
  RunWithServer(Echo, {}, body);
}

BOOST_AUTO_TEST_CASE(StreamsChunksAsTheyAreWritten)
{
  auto handler = [](HttpExchange& aExchange) -> awaitable<void> {
    base::HttpHeaders headers;
    co_await aExchange.StartStream(200, headers);
    co_await aExchange.Write("one");
    co_await aExchange.Write("two");
    co_await aExchange.Finish();
  };
  auto body = [](base::EventLoop&, base::HttpClient& aClient, base::Endpoint aEndpoint,
                 base::HttpServer&) -> awaitable<void> {
    base::HttpRequest request;
    auto reply = co_await aClient.Send(aEndpoint, std::move(request), std::chrono::seconds(2));
    BOOST_REQUIRE(reply);
    std::string all;
    while (!reply->IsComplete()) {
      auto chunk = co_await reply->Read(std::chrono::seconds(2));
      BOOST_REQUIRE(chunk);
      all += *chunk;
    }
    BOOST_TEST(all == "onetwo");
  };
  RunWithServer(handler, {}, body);
}

BOOST_AUTO_TEST_CASE(NotifiesTheHandlerThatThePeerDisconnected)
{
  bool isDisconnected = false;
  auto handler = [&isDisconnected](HttpExchange& aExchange) -> awaitable<void> {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(std::chrono::seconds(5));
    aExchange.OnPeerDisconnected([&] {
      isDisconnected = true;
      timer.cancel();
    });
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  };
  auto body = [](base::EventLoop&, base::HttpClient& aClient, base::Endpoint aEndpoint,
                 base::HttpServer&) -> awaitable<void> {
    base::HttpRequest request;
    auto reply =
      co_await aClient.Send(aEndpoint, std::move(request), std::chrono::milliseconds(50));
    BOOST_REQUIRE(!reply);
    BOOST_TEST((reply.error().m_kind == base::HttpFailure::Kind::TimedOut));
    BOOST_TEST(reply.error().m_mayHaveBeenSent);
  };
  RunWithServer(handler, {}, body);
  BOOST_TEST(isDisconnected);
}

BOOST_AUTO_TEST_CASE(RefusesABodyOverTheLimit)
{
  base::HttpServerLimits limits;
  limits.m_bodyBytes = base::Bytes(10);
  auto body = [](base::EventLoop&, base::HttpClient& aClient, base::Endpoint aEndpoint,
                 base::HttpServer&) -> awaitable<void> {
    base::HttpRequest request;
    request.m_method = "POST";
    request.m_body = std::string(11, 'x');
    auto response = co_await aClient.Fetch(aEndpoint, std::move(request), std::chrono::seconds(2));
    BOOST_REQUIRE(response);
    BOOST_TEST(response->m_status == 413U);
  };
  RunWithServer(Echo, limits, body);
}

BOOST_AUTO_TEST_CASE(ConnectFailureSendsNothing)
{
  auto body = [](base::EventLoop&, base::HttpClient& aClient, base::Endpoint,
                 base::HttpServer&) -> awaitable<void> {
    base::Endpoint const unusedEndpoint{ "127.0.0.1", 1 };
    base::HttpRequest request;
    auto reply = co_await aClient.Send(unusedEndpoint, std::move(request), std::chrono::seconds(1));
    BOOST_REQUIRE(!reply);
    BOOST_TEST(!reply.error().m_mayHaveBeenSent);
  };
  RunWithServer(Echo, {}, body);
}

BOOST_AUTO_TEST_CASE(AWithdrawnRequestIsNotSentOnceItsConnectionIsReady)
{
  int served = 0;
  auto const count = [&served](HttpExchange& aExchange) -> awaitable<void> {
    ++served;
    return Echo(aExchange);
  };
  auto const body = [&served](auto& aLoop, auto& aClient, auto aEndpoint,
                              auto&) -> awaitable<void> {
    base::HttpSendOptions options{ std::chrono::seconds(1), nullptr, std::nullopt, std::nullopt,
                                   [] { return false; } };
    base::HttpRequest request;
    auto const reply = co_await aClient.Send(aEndpoint, std::move(request), std::move(options));
    BOOST_REQUIRE(!reply.has_value());
    BOOST_TEST(!reply.error().m_mayHaveBeenSent);
    BOOST_TEST((reply.error().m_kind == base::HttpFailure::Kind::Withdrawn));
    co_await aLoop.Sleep(std::chrono::milliseconds(20));
    BOOST_TEST(served == 0);
    // The connection remains usable for the next request.
    BOOST_TEST(aClient.IdleConnections(aEndpoint) == 1U);
  };
  RunWithServer(count, {}, body);
}

BOOST_AUTO_TEST_CASE(ARequestWithoutTimeLeftIsNotSent)
{
  auto const body = [](auto&, auto& aClient, auto aEndpoint, auto&) -> awaitable<void> {
    // Leaves an idle connection that the next request can use at once.
    base::HttpRequest first;
    co_await aClient.Fetch(aEndpoint, std::move(first), std::chrono::seconds(1));
    base::HttpRequest request;
    auto const reply = co_await aClient.Send(aEndpoint, std::move(request), base::Duration::zero());
    BOOST_REQUIRE(!reply.has_value());
    BOOST_TEST(!reply.error().m_mayHaveBeenSent);
  };
  RunWithServer(Echo, {}, body);
}

BOOST_AUTO_TEST_CASE(RemoteCallsNeedTheFleetSecret)
{
  base::PeerAuthentication const fleet("secret");
  base::PeerAuthentication const stranger("guess");
  base::RpcServer rpc(fleet);
  rpc.Register("add", [](Json::Value const& aInput) -> tl::expected<Json::Value, base::RpcError> {
    if (!aInput["left"].isInt()) {
      return tl::make_unexpected(base::RpcError{ base::kRpcInvalidParameters, "left" });
    }
    Json::Value result;
    result["sum"] = aInput["left"].asInt() + aInput["right"].asInt();
    return result;
  });
  auto handler = [&rpc](HttpExchange& aExchange) -> awaitable<void> {
    auto response = rpc.HandleRequest(aExchange.Request());
    co_await aExchange.Respond(std::move(response));
  };
  auto body = [&](base::EventLoop&, base::HttpClient& aClient, base::Endpoint aEndpoint,
                  base::HttpServer&) -> awaitable<void> {
    Json::Value parameters;
    parameters["left"] = 1;
    parameters["right"] = 2;
    base::RpcClient member(aClient, fleet);
    auto sum = co_await member.Call(aEndpoint, "add", parameters, std::chrono::seconds(2));
    BOOST_REQUIRE(sum);
    BOOST_TEST((*sum)["sum"].asInt() == 3);
    base::RpcClient other(aClient, stranger);
    auto refused = co_await other.Call(aEndpoint, "add", parameters, std::chrono::seconds(2));
    BOOST_REQUIRE(!refused);
    BOOST_TEST((refused.error().m_kind == base::RpcFailure::Kind::Unauthenticated));
    parameters["left"] = "x";
    auto invalid = co_await member.Call(aEndpoint, "add", parameters, std::chrono::seconds(2));
    BOOST_REQUIRE(!invalid);
    BOOST_TEST(invalid.error().m_code == base::kRpcInvalidParameters);
  };
  RunWithServer(handler, {}, body);
}

BOOST_AUTO_TEST_CASE(UnresponsiveIdleConnectionsAreReplacedBeforeUse)
{
  // The server does not respond to anything after the first request on the first
  // connection.
  int requests = 0;
  auto handler = [&requests](HttpExchange& aExchange) -> awaitable<void> {
    ++requests;
    if (requests == 2) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
      timer.expires_after(std::chrono::seconds(60));
      aExchange.OnPeerDisconnected([&timer] { timer.cancel(); });
      co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      co_return;
    }
    base::HttpResponse response;
    response.m_body = aExchange.Request().m_target;
    co_await aExchange.Respond(std::move(response));
  };
  auto body = [&](base::EventLoop& aLoop, base::HttpClient&, base::Endpoint aEndpoint,
                  base::HttpServer&) -> awaitable<void> {
    base::HttpClientLimits limits;
    base::HttpProbe probe;
    probe.m_target = "/probe";
    probe.m_idleThreshold = base::Duration::zero();
    probe.m_timeout = std::chrono::milliseconds(50);
    limits.m_probe = probe;
    base::HttpClient probing(aLoop, limits);
    for (int round = 0; round < 2; ++round) {
      base::HttpRequest request;
      request.m_target = "/work";
      auto response =
        co_await probing.Fetch(aEndpoint, std::move(request), std::chrono::seconds(2));
      BOOST_REQUIRE(response);
      BOOST_TEST(response->m_body == "/work");
    }
    // The first request, the unanswered probe and the second request on a new
    // connection.
    BOOST_TEST(requests == 3);
    probing.CloseIdle(aEndpoint);
  };
  RunWithServer(handler, {}, body);
}

// Guards against an interim response that is taken for the whole answer to a probe: the rest
// answered the next request.
BOOST_AUTO_TEST_CASE(TheFinalResponseToAProbeDoesNotAnswerTheNextRequest)
{
  auto handler = [](HttpExchange& aExchange) -> awaitable<void> {
    base::HttpResponse response;
    response.m_body = aExchange.Request().m_target;
    if (response.m_body == "/probe") {
      base::HttpHeaders headers;
      co_await aExchange.StartStream(103, headers);
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
      timer.expires_after(std::chrono::milliseconds(50));
      co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_await aExchange.Respond(std::move(response));
  };
  auto body = [](base::EventLoop& aLoop, base::HttpClient&, base::Endpoint aEndpoint,
                 base::HttpServer& aServer) -> awaitable<void> {
    base::HttpClientLimits limits;
    limits.m_probe = base::HttpProbe{ "/probe", base::Duration::zero(), std::chrono::seconds(2) };
    base::HttpClient probing(aLoop, limits);
    for (int round = 0; round < 2; ++round) {
      base::HttpRequest request;
      request.m_target = "/work";
      auto const response =
        co_await probing.Fetch(aEndpoint, std::move(request), std::chrono::seconds(2));
      BOOST_TEST((response ? response->m_body : "") == "/work");
    }
    BOOST_TEST(aServer.AcceptedConnections() == 1U);
  };
  RunWithServer(handler, {}, body);
}

// Guards against work that grows with the product of the names in Connection and the fields: such
// requests hung a gateway.
BOOST_AUTO_TEST_CASE(ManyNamesInConnectionAreLookedUpOnceAField)
{
  constexpr int kNames = 200'000;
  base::HttpHeaders headers;
  std::string names;
  for (int number = 0; number < kNames; ++number) {
    names += "N" + std::to_string(number) + ", ";
    headers.Add("n" + std::to_string(2 * number), "");
  }
  headers.Add("Connection", names);
  auto const begin = programs::SystemClock::Monotonic();
  base::RemoveHopByHopHeaders(headers);
  BOOST_TEST((programs::SystemClock::Monotonic() - begin < std::chrono::seconds(5)));
  BOOST_TEST(headers.Fields().size() == kNames / 2U);
}
