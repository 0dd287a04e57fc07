#define BOOST_TEST_MODULE HttpServerClose
#include "Base/Http/HttpServer.h"
#include "Base/Json.h"
#include "Programs/SystemClock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <stdexcept>
#include <thread>

using namespace sardinefold;
using namespace std::chrono_literals;
using base::HttpExchange;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

base::HttpResponse RenderError(base::HttpRequestError const& aError)
{
  return base::JsonResponse(aError.m_status, "{}");
}

/// A server and its callers on one loop.
class ServerFixture
{
public:
  base::EventLoop m_loop{ programs::SystemClock::Monotonic, programs::SystemClock::Wall };
  base::HttpServerLimits m_limits;
  base::HttpServer::Handler m_handler = [](HttpExchange& aExchange) -> awaitable<void> {
    base::HttpResponse response;
    response.m_body = aExchange.Request().m_target + aExchange.Request().m_body;
    co_await aExchange.Respond(std::move(response));
  };
  std::vector<base::HttpConnectionClose> m_closes;
  std::optional<base::HttpServer> m_server;
  bool m_isDrained = false;

  template<typename Body>
  void Run(Body aBody)
  {
    m_server.emplace(
      m_loop, m_limits, [this](HttpExchange& aExchange) { return m_handler(aExchange); },
      RenderError);
    m_server->OnConnectionClosed(
      [this](base::HttpConnectionClose const& aClose) { m_closes.push_back(aClose); });
    BOOST_REQUIRE(m_server->Listen({ "127.0.0.1", 0 }));
    auto run = [&]() -> awaitable<void> {
      co_await aBody();
      m_loop.Stop();
    };
    m_loop.Start(run());
    m_loop.Run();
  }

  void StartDrain() { m_loop.Start(Drain()); }
  awaitable<void> Drain()
  {
    co_await m_server->Drain(2s);
    m_isDrained = true;
  }

  void SetIdleTimeout(base::Duration aTimeout)
  {
    m_limits.m_idleTimeout = aTimeout;
    m_server->SetLimits(m_limits, m_loop.Now());
  }
};

/// A caller that writes bytes of its own choice.
class RawCaller
{
public:
  explicit RawCaller(ServerFixture& aFixture)
    : m_fixture(aFixture)
    , m_socket(aFixture.m_loop.Context())
  {
    tcp::endpoint const server(boost::asio::ip::make_address("127.0.0.1"),
                               aFixture.m_server->Port());
    m_socket.connect(server);
  }

  /// Hands the text to the kernel in this turn of the loop.
  void Send(std::string const& aText)
  {
    m_socket.non_blocking(true);
    boost::system::error_code error;
    boost::asio::write(m_socket, boost::asio::buffer(aText), error);
  }

  /// Returns whether the whole text was written.
  awaitable<bool> SendAll(std::string aText)
  {
    auto const [error, size] =
      co_await boost::asio::async_write(m_socket, boost::asio::buffer(aText), kAwait);
    co_return !error;
  }

  /// Returns what arrives until it ends with aEnd, the connection ends or the time is
  /// over.
  awaitable<std::string> Receive(std::string aEnd, base::Duration aTime = 3s)
  {
    std::string text;
    bool isLate = false;
    boost::asio::steady_timer timer(m_fixture.m_loop.Context());
    timer.expires_after(aTime);
    timer.async_wait([&](boost::system::error_code aError) {
      boost::system::error_code ignored;
      isLate = true;
      if (!aError) {
        m_socket.cancel(ignored);
      }
    });
    while (!m_isClosed && !isLate && (aEnd.empty() || !text.ends_with(aEnd))) {
      std::array<char, 4096> part{};
      auto const [error, size] =
        co_await m_socket.async_read_some(boost::asio::buffer(part), kAwait);
      text.append(part.data(), size);
      m_isClosed = error && error != boost::asio::error::operation_aborted;
    }
    timer.cancel();
    while (!isLate) {
      co_await m_fixture.m_loop.Sleep(1ms);
    }
    co_return text;
  }

  bool IsClosed() const { return m_isClosed; }

private:
  ServerFixture& m_fixture;
  tcp::socket m_socket;
  bool m_isClosed = false;
};

std::string Get(std::string const& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: x\r\n\r\n";
}

/// The version, fields and first bytes of the body of requests whose end cannot be told.
std::vector<std::string> const kUnclearEnds = {
  "1.1\r\nTransfer-Encoding: identity\r\n\r\n",
  "1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
  "1.1\r\nTransfer-Encoding: chunked, gzip\r\n\r\n",
  "1.1\r\nTransfer-Encoding: \"chunked\"\r\n\r\n",
  "1.1\r\nTransfer-Encoding:\r\n\r\n",
  "1.1\r\nTransfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n",
  "1.1\r\nTransfer-Encoding: identity\r\nExpect: 100-continue\r\n\r\n",
  "1.1\r\nTransfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  "1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
  "1.1\r\nContent-Length: 0\r\nContent-Length: 5\r\n\r\n",
  "1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
};

/// Keeps the loop busy, so that all that becomes due meanwhile is due in its next turn.
void Block(base::Duration aTime)
{
  std::this_thread::sleep_for(aTime);
}

} // namespace

// The read's completion queues behind the idle timer while a wait for the peer's close is pending.
BOOST_FIXTURE_TEST_CASE(ARequestInTheTurnInWhichTheIdleLimitExpiresIsServed, ServerFixture)
{
  m_limits.m_idleTimeout = 500ms;
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    caller.Send(Get("/first"));
    BOOST_TEST((co_await caller.Receive("/first")).ends_with("/first"));
    caller.Send(Get("/second"));
    Block(600ms);
    BOOST_TEST((co_await caller.Receive("/second")).ends_with("/second"));
    BOOST_TEST((co_await caller.Receive("")).empty());
    BOOST_TEST(caller.IsClosed());
    BOOST_REQUIRE(m_closes.size() == 1U);
    BOOST_TEST((m_closes[0].m_reason == base::HttpCloseReason::IdleLimit));
    BOOST_TEST(m_closes[0].m_pendingBytes == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(ARequestThatWaitsInTheKernelAsTheDrainBeginsIsServed, ServerFixture)
{
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    caller.Send(Get("/first"));
    co_await caller.Receive("/first");
    caller.Send(Get("/second"));
    StartDrain();
    auto const response = co_await caller.Receive("");
    BOOST_TEST(response.ends_with("/second"));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST(caller.IsClosed());
  });
}

// The drain's wake-up is due in the turn in which the cancelled wait ends.
BOOST_FIXTURE_TEST_CASE(ADrainDoesNotEndBetweenAWaitAndItsRequest, ServerFixture)
{
  bool wasDrained = false;
  m_handler = [&](HttpExchange& aExchange) -> awaitable<void> {
    wasDrained = m_isDrained;
    base::HttpResponse response;
    co_await aExchange.Respond(std::move(response));
  };
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    caller.Send(Get("/first"));
    co_await caller.Receive("\r\n\r\n");
    StartDrain();
    auto const sendLate = [&] {
      caller.Send(Get("/second"));
      Block(60ms);
    };
    boost::asio::post(m_loop.Context(), [&] { boost::asio::post(m_loop.Context(), sendLate); });
    auto const response = co_await caller.Receive("");
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    BOOST_TEST(!wasDrained);
  });
}

BOOST_FIXTURE_TEST_CASE(AStreamThatEndsDuringTheDrainMayBeFollowedByARequest, ServerFixture)
{
  m_handler = [&](HttpExchange& aExchange) -> awaitable<void> {
    if (aExchange.Request().m_target == "/second") {
      base::HttpResponse response;
      co_await aExchange.Respond(std::move(response));
      co_return;
    }
    base::HttpHeaders headers;
    co_await aExchange.StartStream(200, std::move(headers));
    co_await m_loop.Sleep(200ms);
    co_await aExchange.Finish();
  };
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    caller.Send(Get("/first"));
    co_await m_loop.Sleep(100ms);
    StartDrain();
    co_await caller.Receive("0\r\n\r\n");
    co_await m_loop.Sleep(20ms);
    caller.Send(Get("/second"));
    auto const response = co_await caller.Receive("");
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
  });
}

BOOST_FIXTURE_TEST_CASE(ARequestOnAConnectionThatIsNotAcceptedAsTheDrainBeginsIsServed,
                        ServerFixture)
{
  Run([&]() -> awaitable<void> {
    RawCaller first(*this);
    RawCaller second(*this);
    first.Send(Get("/first"));
    second.Send(Get("/second"));
    StartDrain();
    BOOST_TEST((co_await first.Receive("")).ends_with("/first"));
    BOOST_TEST((co_await second.Receive("")).ends_with("/second"));
  });
}

BOOST_FIXTURE_TEST_CASE(APipelinedRequestIsServedIfTheDrainBeginsAfterTheFormerResponse,
                        ServerFixture)
{
  auto const respond = m_handler;
  m_handler = [&](HttpExchange& aExchange) -> awaitable<void> {
    co_await respond(aExchange);
    if (aExchange.Request().m_target == "/first") {
      StartDrain();
    }
  };
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    caller.Send(Get("/first") + Get("/second"));
    BOOST_TEST((co_await caller.Receive("")).ends_with("/second"));
  });
}

BOOST_FIXTURE_TEST_CASE(AResponseThatBeginsAfterTheDrainAnnouncesTheClose, ServerFixture)
{
  auto const respond = m_handler;
  m_handler = [&](HttpExchange& aExchange) -> awaitable<void> {
    StartDrain();
    co_await m_loop.Sleep(30ms);
    co_await respond(aExchange);
  };
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    caller.Send(Get("/first"));
    auto const response = co_await caller.Receive("");
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
  });
}

BOOST_FIXTURE_TEST_CASE(TheDrainWaitsForARequestThatArrivesInPieces, ServerFixture)
{
  Run([&]() -> awaitable<void> {
    RawCaller head(*this);
    RawCaller body(*this);
    head.Send("POST /head HTTP/1.1\r\nContent-");
    body.Send("POST /body HTTP/1.1\r\nContent-Length: 4\r\n\r\nab");
    co_await m_loop.Sleep(30ms);
    StartDrain();
    co_await m_loop.Sleep(100ms);
    BOOST_TEST(!m_isDrained);
    head.Send("Length: 0\r\n\r\n");
    body.Send("cd");
    BOOST_TEST((co_await head.Receive("")).ends_with("/head"));
    BOOST_TEST((co_await body.Receive("")).ends_with("/bodyabcd"));
    co_await m_loop.Sleep(100ms);
    BOOST_TEST(m_isDrained);
  });
}

BOOST_FIXTURE_TEST_CASE(ARaisedIdleLimitHoldsForConnectionsThatWait, ServerFixture)
{
  m_limits.m_idleTimeout = 500ms;
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    caller.Send(Get("/first"));
    co_await caller.Receive("/first");
    SetIdleTimeout(5s);
    co_await m_loop.Sleep(700ms);
    caller.Send(Get("/second"));
    BOOST_TEST((co_await caller.Receive("/second")).ends_with("/second"));
  });
}

BOOST_FIXTURE_TEST_CASE(CallersMayGoByTheFormerIdleLimitForItsLength, ServerFixture)
{
  m_limits.m_idleTimeout = 1s;
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    auto const changedAt = m_loop.Now();
    SetIdleTimeout(100ms);
    caller.Send(Get("/first"));
    co_await caller.Receive("/first");
    co_await m_loop.Sleep(400ms);
    caller.Send(Get("/second"));
    BOOST_TEST((co_await caller.Receive("/second")).ends_with("/second"));
    co_await m_loop.Sleep(changedAt + 1s - m_loop.Now());
    RawCaller later(*this);
    later.Send(Get("/third"));
    co_await later.Receive("", 700ms);
    BOOST_TEST(later.IsClosed());
  });
}

BOOST_FIXTURE_TEST_CASE(AnExceptionInAHandlerEndsItsConnectionOnly, ServerFixture)
{
  auto const respond = m_handler;
  m_handler = [&](HttpExchange& aExchange) -> awaitable<void> {
    if (aExchange.Request().m_target == "/stream") {
      base::HttpHeaders headers;
      co_await aExchange.StartStream(200, headers);
    }
    if (aExchange.Request().m_target != "/sound") {
      throw std::runtime_error("fault");
    }
    co_await respond(aExchange);
  };
  Run([&]() -> awaitable<void> {
    RawCaller sound(*this);
    sound.Send(Get("/sound"));
    co_await sound.Receive("/sound");
    RawCaller before(*this);
    before.Send(Get("/before"));
    BOOST_TEST((co_await before.Receive("")).starts_with("HTTP/1.1 500"));
    BOOST_TEST(before.IsClosed());
    RawCaller stream(*this);
    stream.Send(Get("/stream"));
    BOOST_TEST(!(co_await stream.Receive("")).ends_with("0\r\n\r\n"));
    BOOST_TEST(stream.IsClosed());
    sound.Send(Get("/sound"));
    BOOST_TEST((co_await sound.Receive("/sound")).ends_with("/sound"));
    BOOST_TEST(m_server->OpenExchanges() == 0U);
  });
}

// The caller sends all of its body before it reads, and a reset would fail its write.
BOOST_FIXTURE_TEST_CASE(ACallerThatSendsALongBodyReceivesItsRefusal, ServerFixture)
{
  m_limits.m_bodyBytes = base::Bytes(10);
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    std::string request = "POST / HTTP/1.1\r\nContent-Length: 8388608\r\n\r\n";
    request.append(8UL * 1024 * 1024, 'x');
    bool const isWritten = co_await caller.SendAll(std::move(request));
    BOOST_TEST(isWritten);
    auto const response = co_await caller.Receive("");
    BOOST_TEST(response.starts_with("HTTP/1.1 413"));
    BOOST_TEST(response.ends_with("{}"));
  });
}

// The body's deadline expires between two reads that complete at once, so that it cancels none.
BOOST_FIXTURE_TEST_CASE(ABodyWhoseDeadlineExpiresBetweenTwoReadsEndsInTime, ServerFixture)
{
  m_limits.m_bodyTimeout = 100ms;
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    caller.Send("POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n");
    co_await m_loop.Sleep(20ms);
    caller.Send(std::string(400'000, 'x'));
    Block(150ms);
    BOOST_TEST((co_await caller.Receive("")).starts_with("HTTP/1.1 408"));
  });
}

// Guards against smuggling: the server took such a request for one without a body, and what
// followed its head for the next request.
BOOST_FIXTURE_TEST_CASE(ARequestWithAnUnclearEndIsTheLastOnItsConnection, ServerFixture)
{
  Run([&]() -> awaitable<void> {
    for (auto const& end : kUnclearEnds) {
      RawCaller caller(*this);
      caller.Send("POST / HTTP/" + end + Get("/inner"));
      auto const response = co_await caller.Receive("", 500ms);
      BOOST_TEST_CONTEXT(end)
      {
        BOOST_TEST(response.starts_with("HTTP/1.1 400"));
        BOOST_TEST(response.rfind("HTTP/1.1") == 0U);
        BOOST_TEST(caller.IsClosed());
      }
    }
  });
}

// Guards against bytes after a response without a body: the peer takes them for the next response.
BOOST_FIXTURE_TEST_CASE(AResponseWithoutABodyIsFollowedByTheNextOne, ServerFixture)
{
  m_handler = [](HttpExchange& aExchange) -> awaitable<void> {
    base::HttpResponse response;
    response.m_status = aExchange.Request().m_target == "/204" ? 204 : 304;
    if (aExchange.Request().m_body.empty()) {
      co_await aExchange.StartStream(response.m_status, response.m_headers);
      co_await aExchange.Write("body");
      co_await aExchange.Finish();
      co_return;
    }
    response.m_body = "body";
    co_await aExchange.Respond(std::move(response));
  };
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    for (std::string const target : { "/204", "/304" }) {
      caller.Send(Get(target) + "POST " + target + " HTTP/1.1\r\nContent-Length: 1\r\n\r\nx");
    }
    auto const responses = co_await caller.Receive("", 500ms);
    BOOST_TEST(responses == "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"
                            "HTTP/1.1 304 Not Modified\r\n\r\nHTTP/1.1 304 Not Modified\r\n\r\n");
  });
}

// Guards against an interim response to HTTP/1.0, which its peer takes for the final one.
BOOST_FIXTURE_TEST_CASE(APeerOfAnOlderVersionGetsNoInterimResponse, ServerFixture)
{
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    caller.Send("POST / HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx");
    BOOST_TEST((co_await caller.Receive("")).starts_with("HTTP/1.1 200"));
  });
}

// Guards against a trailer field that is too long for the parser's fields, whose exception ended
// the process, and against trailer fields that pass for header fields.
BOOST_FIXTURE_TEST_CASE(TrailerFieldsAreDiscarded, ServerFixture)
{
  m_handler = [](HttpExchange& aExchange) -> awaitable<void> {
    base::HttpResponse response;
    response.m_body = std::to_string(aExchange.Request().m_headers.Count("Late"));
    co_await aExchange.Respond(std::move(response));
  };
  Run([&]() -> awaitable<void> {
    for (std::size_t const bytes : { 10UL, 65'535UL, 65'536UL, 200'000UL }) {
      RawCaller caller(*this);
      bool const isSent = co_await caller.SendAll(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nLate: " +
        std::string(bytes, 'x') + "\r\n\r\n" + Get("/next"));
      BOOST_TEST(isSent);
      auto const responses = co_await caller.Receive("", 300ms);
      BOOST_TEST(responses.starts_with("HTTP/1.1 200"));
      BOOST_TEST(responses.ends_with("0"));
    }
  });
}

// Guards against a header field that is within the limit of heads and too long for the parser.
BOOST_FIXTURE_TEST_CASE(AFieldThatTheParserCannotHoldIsRefused, ServerFixture)
{
  m_limits.m_headerBytes = base::Bytes(200 * 1024);
  Run([&]() -> awaitable<void> {
    for (std::size_t const bytes : { 65'533UL, 65'534UL, 65'535UL, 100'000UL }) {
      RawCaller caller(*this);
      bool const isSent =
        co_await caller.SendAll("GET / HTTP/1.1\r\nLong: " + std::string(bytes, 'x') + "\r\n\r\n");
      BOOST_TEST(isSent);
      auto const response = co_await caller.Receive("", 300ms);
      BOOST_TEST(response.starts_with(bytes == 65'533 ? "HTTP/1.1 200" : "HTTP/1.1 431"));
    }
  });
}
