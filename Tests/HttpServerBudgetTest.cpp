#define BOOST_TEST_MODULE HttpServerBudget
#include "Base/Http/HttpServer.h"
#include "Base/Json.h"
#include "Programs/SystemClock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <list>
#include <string>
#include <vector>

// A server whose process runs out of room must answer what it refuses, serve others
// meanwhile, and cut nobody while there is room.

using namespace sardinefold;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::size_t kBodyBytes = 200UL * 1024;

class BudgetFixture
{
public:
  base::EventLoop m_loop{ programs::SystemClock::Monotonic, programs::SystemClock::Wall };
  std::shared_ptr<base::HttpBudget> m_budget = std::make_shared<base::HttpBudget>(
    base::HttpBudgetLimits{ base::Bytes(1024LL * 1024), 12, 5s });
  base::HttpServer m_server{ m_loop,
                             {},
                             [this](base::HttpExchange& aExchange) -> awaitable<void> {
                               co_await m_loop.Sleep(m_workTime);
                               base::HttpResponse response;
                               response.m_body = std::to_string(aExchange.Request().m_body.size());
                               co_await aExchange.Respond(std::move(response));
                             },
                             [](base::HttpRequestError const& aError) {
                               auto response = base::JsonResponse(aError.m_status, "{}");
                               if (aError.m_retryAfter) {
                                 response.m_headers.Add("Retry-After", "1");
                               }
                               return response;
                             } };
  base::Duration m_workTime{};

  template<typename Body>
  void Run(Body aBody)
  {
    m_server.UseBudget(m_budget);
    BOOST_REQUIRE(m_server.Listen({ "127.0.0.1", 0 }));
    auto run = [&]() -> awaitable<void> {
      co_await aBody();
      m_loop.Stop();
    };
    m_loop.Start(run());
    m_loop.Run();
  }

  awaitable<tcp::socket> Connect(std::string aText)
  {
    tcp::socket socket(m_loop.Context());
    tcp::endpoint const endpoint(boost::asio::ip::make_address("127.0.0.1"), m_server.Port());
    [[maybe_unused]] auto const [connectError] = co_await socket.async_connect(endpoint, kAwait);
    [[maybe_unused]] auto const [writeError, size] =
      co_await boost::asio::async_write(socket, boost::asio::buffer(aText), kAwait);
    co_await m_loop.Sleep(20ms);
    co_return socket;
  }

  static awaitable<std::string> ReadHead(tcp::socket& aSocket)
  {
    std::string text;
    [[maybe_unused]] auto const [error, size] = co_await boost::asio::async_read_until(
      aSocket, boost::asio::dynamic_buffer(text), "\r\n\r\n", kAwait);
    co_return text;
  }

  static std::string Head(std::size_t aLength)
  {
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(aLength) + "\r\n\r\n";
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ABodyThatIsCutGetsARefusalAndAnotherRequestIsServed, BudgetFixture)
{
  Run([&]() -> awaitable<void> {
    std::list<tcp::socket> stuck;
    for (unsigned number = 0; number < 5; ++number) {
      auto const text = Head(kBodyBytes) + std::string(kBodyBytes - 1, 'x');
      stuck.push_back(co_await Connect(text));
    }
    auto const refused = co_await ReadHead(stuck.front());
    BOOST_TEST(refused.starts_with("HTTP/1.1 503"));
    BOOST_TEST(refused.find("Retry-After: 1") != std::string::npos);
    auto caller = co_await Connect(Head(1000) + std::string(1000, 'x'));
    auto const served = co_await ReadHead(caller);
    BOOST_TEST(served.starts_with("HTTP/1.1 200"));
    BOOST_TEST(m_budget->Held() <= m_budget->Limits().m_memory);
  });
}

BOOST_FIXTURE_TEST_CASE(AChunkedBodyOfTheLargestSizeIsServedWhole, BudgetFixture)
{
  Run([&]() -> awaitable<void> {
    std::string text = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (unsigned number = 0; number < 3000; ++number) {
      text += "5;note=x\r\nabcde\r\n";
    }
    auto caller = co_await Connect(text + "0\r\nTrailer: x\r\n\r\n" + Head(0));
    std::string received;
    while (received.find("15000") == std::string::npos ||
           received.find("\r\n\r\n0") == std::string::npos) {
      std::string part(4096, '\0');
      auto const [error, size] = co_await caller.async_read_some(boost::asio::buffer(part), kAwait);
      BOOST_REQUIRE(!error);
      received.append(part, 0, size);
    }
  });
}

BOOST_FIXTURE_TEST_CASE(NewCallersAreServedBesideSilentConnections, BudgetFixture)
{
  Run([&]() -> awaitable<void> {
    std::list<tcp::socket> silent;
    for (unsigned number = 0; number < 30; ++number) {
      silent.push_back(co_await Connect(""));
    }
    auto caller = co_await Connect(Head(0));
    auto const served = co_await ReadHead(caller);
    BOOST_TEST(served.starts_with("HTTP/1.1 200"));
    BOOST_TEST(m_budget->Descriptors() <= 12U);
    BOOST_TEST(m_server.OpenConnections() <= 12U);
  });
}

BOOST_FIXTURE_TEST_CASE(ACallerThatSendsAheadYieldsWhileOthersAreRefused, BudgetFixture)
{
  m_workTime = 100ms;
  Run([&]() -> awaitable<void> {
    std::list<tcp::socket> ahead;
    for (unsigned number = 0; number < 6; ++number) {
      ahead.push_back(co_await Connect(Head(0) + Head(0) + Head(0)));
    }
    auto refused = co_await Connect(Head(0));
    auto const nothing = co_await ReadHead(refused);
    BOOST_TEST(nothing.empty());
    co_await m_loop.Sleep(300ms);
    auto caller = co_await Connect(Head(0));
    auto const served = co_await ReadHead(caller);
    BOOST_TEST(served.starts_with("HTTP/1.1 200"));
  });
}

BOOST_FIXTURE_TEST_CASE(AnIdleConnectionStaysInCalm, BudgetFixture)
{
  Run([&]() -> awaitable<void> {
    auto kept = co_await Connect(Head(0));
    auto const first = co_await ReadHead(kept);
    BOOST_TEST(first.starts_with("HTTP/1.1 200"));
    for (unsigned number = 0; number < 30; ++number) {
      auto caller = co_await Connect(Head(0));
      co_await ReadHead(caller);
    }
    auto const text = Head(0);
    [[maybe_unused]] auto const [error, size] =
      co_await boost::asio::async_write(kept, boost::asio::buffer(text), kAwait);
    auto const again = co_await ReadHead(kept);
    BOOST_TEST(again.find("200 OK") != std::string::npos);
  });
}

// Guards against heads of short fields, which take many times their text: a crowd of them took a
// gateway over its memory.
BOOST_FIXTURE_TEST_CASE(FieldsOfAHeadCountWithWhatTheyTake, BudgetFixture)
{
  constexpr std::size_t kFields = 2'000;
  m_workTime = 300ms;
  Run([&]() -> awaitable<void> {
    std::string text = "GET / HTTP/1.1\r\n";
    for (std::size_t number = 0; number < kFields; ++number) {
      text += "a:\r\n";
    }
    auto caller = co_await Connect(text + "\r\n");
    base::Bytes const fields(kFields * sizeof(base::HttpHeaders::Field));
    BOOST_TEST((m_budget->Held() >= fields));
    auto const served = co_await ReadHead(caller);
    BOOST_TEST(served.starts_with("HTTP/1.1 200"));
    BOOST_TEST((m_budget->Held() < fields));
  });
}
