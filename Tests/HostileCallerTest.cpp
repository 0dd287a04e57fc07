#define BOOST_TEST_MODULE HostileCaller
#include "Tests/Support/ProcessMemory.h"
#include "Tests/Support/SiteFixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

/// A caller that can write arbitrary bytes.
class RawCaller
{
public:
  explicit RawCaller(SiteFixture& aSite)
    : m_site(aSite)
    , m_socket(aSite.m_loop.Context())
  {
  }

  awaitable<void> Connect()
  {
    auto const& callers = m_site.Callers();
    tcp::endpoint const endpoint(boost::asio::ip::make_address(callers.m_address), callers.m_port);
    auto const [error] = co_await m_socket.async_connect(endpoint, kAwait);
    BOOST_REQUIRE(!error);
  }

  /// Returns whether the whole text was written.
  awaitable<bool> Write(std::string aText)
  {
    auto const [error, size] =
      co_await boost::asio::async_write(m_socket, boost::asio::buffer(aText), kAwait);
    co_return !error;
  }

  /// Returns everything received until the gateway closes the connection.
  awaitable<std::string> ReadToEnd()
  {
    std::string text;
    [[maybe_unused]] auto const [error, size] =
      co_await boost::asio::async_read(m_socket, boost::asio::dynamic_buffer(text), kAwait);
    co_return text;
  }

  /// Waits for at least one byte and returns what has been received so far.
  awaitable<std::string> ReadSome()
  {
    std::string text(4096, '\0');
    [[maybe_unused]] auto const [error, size] =
      co_await m_socket.async_read_some(boost::asio::buffer(text), kAwait);
    text.resize(size);
    co_return text;
  }

  void Close()
  {
    boost::system::error_code ignored;
    m_socket.close(ignored);
  }

private:
  SiteFixture& m_site;
  tcp::socket m_socket;
};

std::string Head(std::string const& aId, std::string const& aMore)
{
  return "POST /order/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + aId +
         "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n" + aMore + "\r\n";
}

} // namespace

BOOST_FIXTURE_TEST_CASE(AnEndlessHeadHoldsOneConnectionUntilItsTimeout, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    co_await caller.Connect();
    co_await caller.Write("POST /order/x HTTP/1.1\r\nHost: site.exa");
    auto const response = co_await caller.ReadToEnd();
    BOOST_TEST(response.starts_with("HTTP/1.1 408"));
    // Other callers are still served.
    auto request = Request("POST", "/order/x", "r1");
    auto const served = co_await Send(std::move(request));
    BOOST_TEST(served->m_status == 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(ARequestInterruptedInItsBodyReachesNoUpstream, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    co_await caller.Connect();
    co_await caller.Write(Head("torn", "Content-Length: 100\r\n") + "only this");
    co_await m_loop.Sleep(50ms);
    caller.Close();
    co_await m_loop.Sleep(200ms);
    BOOST_TEST(RunsOf("torn") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(AChunkExtensionOrTrailerWithoutEndIsRefused, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    for (std::string const chunk : { "1;extension=", "1\r\nx\r\n0\r\nTrailer: " }) {
      RawCaller caller(*this);
      co_await caller.Connect();
      co_await caller.Write(Head("endless", "Transfer-Encoding: chunked\r\n") + chunk);
      // The loop ends once the gateway closes the connection.
      std::size_t written = 0;
      constexpr std::size_t kChunkBytes = 64UL * 1024;
      constexpr std::size_t kMaximumBytes = 64UL * 1024 * 1024;
      while (written < kMaximumBytes && co_await caller.Write(std::string(kChunkBytes, 'x'))) {
        written += kChunkBytes;
      }
      BOOST_TEST(written < kMaximumBytes);
      BOOST_TEST(RunsOf("endless") == 0U);
    }
  });
}

BOOST_FIXTURE_TEST_CASE(ASmuggledRequestIsNotRead, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    for (auto const* const framing :
         { "Content-Length: 5\r\nContent-Length: 60\r\n",
           "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
           "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: xchunked\r\n" }) {
      // Without the last chunk, the body begins with what may be taken for a request.
      for (std::string const lastChunk : { "0\r\n\r\n", "" }) {
        RawCaller caller(*this);
        co_await caller.Connect();
        co_await caller.Write(Head("outer", framing) + lastChunk + Head("inner", ""));
        auto const response = co_await caller.ReadToEnd();
        BOOST_TEST(response.starts_with("HTTP/1.1 400"), framing);
      }
    }
    BOOST_TEST(RunsOf("outer") + RunsOf("inner") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(ADisconnectedCallerStopsItsEngineWithinHalfASecond, SiteFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "event_ms", 400);
  }
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    co_await caller.Connect();
    co_await caller.Write("POST /chat/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r1\r\n"
                          "Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nModel: common\r\n"
                          "Token-Count: 100,10\r\nContent-Length: 0\r\n\r\n");
    auto const begun = co_await caller.ReadSome();
    BOOST_TEST(begun.starts_with("HTTP/1.1 200"));
    BOOST_TEST(m_engines[0]->Running() + m_engines[1]->Running() == 1U);
    caller.Close();
    co_await m_loop.Sleep(500ms);
    BOOST_TEST(m_engines[0]->Running() + m_engines[1]->Running() == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(ACallerThatDisconnectsWhileItsModelLoadsIsNotSentToAnEngine, SiteFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "load_ms", 600);
  }
  Run([&]() -> awaitable<void> {
    RawCaller caller(*this);
    co_await caller.Connect();
    co_await caller.Write("POST /once/x HTTP/1.1\r\nHost: site.example\r\nRequest-Id: r1\r\n"
                          "Deadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\nModel: rare\r\n"
                          "Token-Count: 100,10\r\nContent-Length: 0\r\n\r\n");
    co_await m_loop.Sleep(150ms);
    caller.Close();
    co_await m_loop.Sleep(1200ms);
    BOOST_TEST(RunsOf("r1") == 0U);
  });
}

// Guards against names that callers make up: what the gateway kept of each stayed for good.
BOOST_FIXTURE_TEST_CASE(NamesOfModelsThatDoNotExistTakeNoMemory, SiteFixture)
{
  constexpr int kNames = 8'000;
  constexpr long kKilobytes = 4 * 1024;
  Run([&]() -> awaitable<void> {
    long before = 0;
    for (int number = 0; number < kNames; ++number) {
      // What is kept once, such as buffers and connections, is there after some requests.
      before = number == kNames / 8 ? tests::ResidentKilobytes() : before;
      auto const id = std::to_string(number);
      auto request = ModelRequest("/chat/x", "r" + id, "unknown-" + id);
      auto const response = co_await Send(std::move(request));
      BOOST_TEST_REQUIRE((response ? response->m_status : 0) == 503U);
    }
    BOOST_TEST(tests::ResidentKilobytes() - before < kKilobytes);
    auto request = ModelRequest("/chat/x", "known", "common");
    auto const response = co_await Send(std::move(request));
    BOOST_TEST((response ? response->m_status : 0) == 200U);
  });
}
