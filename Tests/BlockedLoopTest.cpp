#define BOOST_TEST_MODULE BlockedLoop
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "Base/Json.h"
#include "Programs/SystemClock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <list>
#include <random>
#include <thread>

using namespace sardinefold;
using namespace std::chrono_literals;
using base::HttpExchange;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

/// A caller whose request is complete when the blocked turn ends.
struct Caller
{
  explicit Caller(base::EventLoop& aLoop)
    : m_socket(aLoop.Context())
  {
  }

  void Connect(std::uint16_t aPort)
  {
    m_socket.connect({ boost::asio::ip::make_address("127.0.0.1"), aPort });
  }
  void Send(std::size_t aSize)
  {
    boost::asio::write(m_socket, boost::asio::buffer(m_request.substr(0, aSize)));
    m_request.erase(0, aSize);
  }

  tcp::socket m_socket;
  std::string m_request =
    "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 40000\r\n\r\n" + std::string(40'000, 'b');
  bool m_isKept = false;
  std::size_t m_sentAhead = 0;
  std::string m_received;
};

void AnswerAfterABlockedTurn(unsigned aSeed)
{
  std::mt19937 random(aSeed);
  auto const pick = [&](int aFrom, int aTo) {
    return std::uniform_int_distribution<int>(aFrom, aTo)(random);
  };
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  base::HttpServerLimits limits;
  limits.m_idleTimeout = std::chrono::milliseconds(pick(60, 200));
  limits.m_headerTimeout = std::chrono::milliseconds(pick(60, 200));
  limits.m_bodyTimeout = std::chrono::milliseconds(pick(60, 200));
  std::size_t served = 0;
  base::HttpServer server(
    loop, limits,
    [&](HttpExchange& aExchange) -> awaitable<void> {
      ++served;
      co_await loop.Sleep(5ms);
      base::HttpResponse response;
      co_await aExchange.Respond(std::move(response));
    },
    [](base::HttpRequestError const& aError) { return base::JsonResponse(aError.m_status, "{}"); });
  BOOST_REQUIRE(server.Listen({ "127.0.0.1", 0 }));
  std::list<Caller> callers;
  std::size_t ended = 0;
  auto receive = [&](Caller& aCaller) -> awaitable<void> {
    std::array<char, 4096> part{};
    auto const [error, size] =
      co_await aCaller.m_socket.async_read_some(boost::asio::buffer(part), kAwait);
    aCaller.m_received.assign(part.data(), size);
    ++ended;
  };
  auto run = [&]() -> awaitable<void> {
    for (int number = 0; number < 40; ++number) {
      auto& caller = callers.emplace_back(loop);
      bool const isNew = pick(0, 2) == 0;
      caller.m_isKept = !isNew && pick(0, 1) == 0;
      bool const isAhead = !isNew && pick(0, 1) == 0;
      caller.m_sentAhead = isAhead ? static_cast<std::size_t>(pick(0, 40'000)) : 0;
      if (!isNew) {
        caller.Connect(server.Port());
      }
      if (caller.m_isKept) {
        auto const request = caller.m_request;
        caller.Send(request.size());
        caller.m_request = request;
      }
    }
    co_await loop.Sleep(20ms);
    for (auto& caller : callers) {
      if (caller.m_isKept) {
        co_await receive(caller);
        BOOST_TEST(caller.m_received.starts_with("HTTP/1.1 200"));
      }
      caller.Send(caller.m_sentAhead);
    }
    co_await loop.Sleep(std::chrono::milliseconds(pick(0, 30)));
    ended = 0;
    served = 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(pick(0, 300)));
    for (auto& caller : callers) {
      if (!caller.m_socket.is_open()) {
        caller.Connect(server.Port());
      }
      caller.Send(caller.m_request.size());
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(pick(100, 1200)));
    for (auto& caller : callers) {
      loop.Start(receive(caller));
    }
    for (int turn = 0; turn < 200 && ended < callers.size(); ++turn) {
      co_await loop.Sleep(10ms);
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  std::size_t number = 0;
  for (auto const& caller : callers) {
    BOOST_TEST(caller.m_received.starts_with("HTTP/1.1 200"),
               "seed " << aSeed << ", caller " << number << (caller.m_isKept ? " kept" : "")
                       << ", sent ahead " << caller.m_sentAhead << ", received "
                       << caller.m_received.substr(0, 20));
    ++number;
  }
  BOOST_TEST(served == callers.size());
}

} // namespace

// The loop stands still while requests arrive, and all of its time limits expire in the
// next turn.
BOOST_AUTO_TEST_CASE(EveryRequestThatArrivedInABlockedTurnIsAnswered)
{
  for (unsigned seed = 0; seed < 12; ++seed) {
    AnswerAfterABlockedTurn(seed);
  }
}

// All time limits of the client expire in the turn in which its input has arrived.
BOOST_AUTO_TEST_CASE(AResponseThatArrivedInABlockedTurnIsNotLate)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tcp::acceptor acceptor(loop.Context(), { boost::asio::ip::make_address("127.0.0.1"), 0 });
  base::Endpoint const endpoint{ "127.0.0.1", acceptor.local_endpoint().port() };
  base::HttpClientLimits limits;
  limits.m_connectTimeout = 100ms;
  base::HttpClient client(loop, limits);
  constexpr std::size_t kRequests = 40;
  std::size_t ended = 0;
  std::size_t answered = 0;
  auto fetch = [&]() -> awaitable<void> {
    base::HttpRequest request;
    auto target = endpoint;
    auto response = co_await client.Send(std::move(target), std::move(request), 300ms);
    if (response) {
      auto const body = co_await response->Read(50ms);
      answered += body && *body == "ok" ? 1 : 0;
    }
    ++ended;
  };
  auto run = [&]() -> awaitable<void> {
    for (std::size_t number = 0; number < kRequests; ++number) {
      loop.Start(fetch());
    }
    std::vector<tcp::socket> sockets;
    while (sockets.size() < kRequests) {
      sockets.push_back(co_await acceptor.async_accept(boost::asio::use_awaitable));
    }
    // Time to send the requests.
    co_await loop.Sleep(20ms);
    std::string const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (auto& socket : sockets) {
      boost::asio::write(socket, boost::asio::buffer(response));
    }
    std::this_thread::sleep_for(500ms);
    while (ended < kRequests) {
      co_await loop.Sleep(10ms);
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_TEST(answered == kRequests);
}

BOOST_AUTO_TEST_CASE(AConnectionThatWasSetUpInABlockedTurnIsUsed)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  base::HttpServer server(
    loop, {},
    [](HttpExchange& aExchange) -> awaitable<void> {
      base::HttpResponse response;
      co_await aExchange.Respond(std::move(response));
    },
    [](base::HttpRequestError const& aError) { return base::JsonResponse(aError.m_status, "{}"); });
  BOOST_REQUIRE(server.Listen({ "127.0.0.1", 0 }));
  base::HttpClientLimits limits;
  limits.m_connectTimeout = 100ms;
  base::HttpClient client(loop, limits);
  constexpr std::size_t kRequests = 40;
  std::size_t ended = 0;
  std::size_t answered = 0;
  auto fetch = [&]() -> awaitable<void> {
    base::HttpRequest request;
    base::Endpoint target{ "127.0.0.1", server.Port() };
    auto const response = co_await client.Fetch(std::move(target), std::move(request), 2s);
    answered += response ? 1 : 0;
    ++ended;
  };
  auto run = [&]() -> awaitable<void> {
    for (std::size_t number = 0; number < kRequests; ++number) {
      loop.Start(fetch());
    }
    boost::asio::post(loop.Context(), [] { std::this_thread::sleep_for(300ms); });
    while (ended < kRequests) {
      co_await loop.Sleep(10ms);
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_TEST(answered == kRequests);
}
