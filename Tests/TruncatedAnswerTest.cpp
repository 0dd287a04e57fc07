#define BOOST_TEST_MODULE TruncatedAnswer
#include "StandIns/Site/ScriptedServer.h"
#include "Tests/Support/PortClaim.h"
#include "Tests/Support/SiteFixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>

// An upstream may stop at any byte of its answer. No part of one may be taken for a
// whole answer.

using namespace sardinefold;
using standins::ScriptedResponse;
using standins::ScriptedServer;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

std::string const kHead = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: 1.2.3\r\n";
std::string const kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
std::string const kLength =
  kHead + "Content-Length: " + std::to_string(kEvents.size()) + "\r\n\r\n" + kEvents;
std::string const kInterim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kLength;
std::string const kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\nf;x=y\r\n" +
                             kEvents.substr(0, 15) + "\r\n0f\r\n" + kEvents.substr(15) +
                             "\r\n0\r\nTrailer: x\r\n\r\n";
std::string const kUndelimited = kHead + "Connection: close\r\n\r\n" + kEvents;

struct Framing
{
  char const* m_name;
  std::string const* m_text;
};

std::ostream& operator<<(std::ostream& aStream, Framing const& aFraming)
{
  return aStream << aFraming.m_name;
}

std::vector<Framing> const kFramings = { { "length", &kLength },
                                         { "length after an interim response", &kInterim },
                                         { "chunks", &kChunked },
                                         { "end of the connection", &kUndelimited } };

std::vector<std::string> const kUnsupportedCodings = {
  "Transfer-Encoding: identity\r\n",
  "Transfer-Encoding: gzip\r\nConnection: close\r\n",
  "Transfer-Encoding: chunked, gzip\r\n",
  "Transfer-Encoding: gzip, chunked\r\n",
  "Transfer-Encoding: identity\r\nContent-Length: 15\r\n",
  "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
};

struct Cut
{
  std::string const* m_text;
  /// The response ends before this text, or at its own end if it is empty.
  std::string m_before;
  ScriptedResponse::End m_end = ScriptedResponse::End::Close;
};

std::ostream& operator<<(std::ostream& aStream, Cut const& aCut)
{
  return aStream << aCut.m_before;
}

std::vector<Cut> const kCuts = {
  { &kLength, "\r\nRequest-Id" },
  { &kLength, "ngth" },
  { &kLength, "\r\n\r\nid" },
  { &kLength, "\nid: 1" },
  { &kLength, "id: 1" },
  { &kLength, "id: 2" },
  { &kInterim, "HTTP/1.1 200" },
  { &kInterim, "Server-Seal" },
  { &kChunked, "f;x" },
  { &kChunked, "\r\n0f" },
  { &kChunked, "0\r\nTrailer" },
  { &kChunked, "Trailer" },
  { &kChunked, "\r\n", ScriptedResponse::End::Reset },
  { &kUndelimited, "\r\nid" },
  { &kUndelimited, "", ScriptedResponse::End::Reset },
};

/// More than the system buffers of a connection hold, so that the upload never ends.
constexpr std::size_t kLongUpload = 12UL * 1024 * 1024;

/// A response that is sent before its request was read.
struct EarlyResponse
{
  char const* m_name;
  std::string m_text;
  ScriptedResponse::End m_end;
  bool m_isWhole;
};

std::ostream& operator<<(std::ostream& aStream, EarlyResponse const& aResponse)
{
  return aStream << aResponse.m_name;
}

std::vector<EarlyResponse> const kEarlyResponses = {
  { "no length, reset", kUndelimited, ScriptedResponse::End::Reset, false },
  { "no length, only a head, reset", kHead + "\r\n", ScriptedResponse::End::Reset, false },
  { "no length, closed with unread input", kUndelimited, ScriptedResponse::End::Close, false },
  { "part of a length, reset", kLength.substr(0, kLength.size() - 1), ScriptedResponse::End::Reset,
    false },
  { "part of the chunks, reset", kChunked.substr(0, kChunked.rfind("0\r\nTrailer")),
    ScriptedResponse::End::Reset, false },
  { "part of a head, reset", kHead, ScriptedResponse::End::Reset, false },
  { "no length, end of what is sent", kUndelimited, ScriptedResponse::End::HalfClose, true },
  { "all of a length, reset", kLength, ScriptedResponse::End::Reset, true },
  { "all chunks, reset", kChunked, ScriptedResponse::End::Reset, true },
};

awaitable<tl::expected<base::HttpResponse, base::HttpFailure>> Fetch(base::HttpClient& aClient,
                                                                     base::Endpoint aEndpoint,
                                                                     std::size_t aUpload = 0)
{
  base::HttpRequest request;
  request.m_method = aUpload > 0 ? "POST" : "GET";
  request.m_body.assign(aUpload, 'x');
  request.m_headers.Add("Request-Id", "r1");
  base::HttpSendOptions options{ 1s, nullptr, std::nullopt,
                                 base::HttpHeaders::Field{ "Request-Id", "r1" }, nullptr };
  co_return co_await aClient.Fetch(std::move(aEndpoint), std::move(request), std::move(options));
}

/// A site in which all routes lead to a scripted server.
class TruncatedFixture : public SiteFixture
{
public:
  void Start(ScriptedResponse aResponse)
  {
    m_server = std::make_unique<ScriptedServer>(m_loop, std::vector{ std::move(aResponse) });
    base::Endpoint const address{ "127.0.3.1", Callers().m_port };
    BOOST_REQUIRE(m_server->Listen(address).has_value());
    Json::Value entry;
    entry["service"] = "extra";
    entry["address"] = address.Text();
    entry["zone"] = "a";
    entry["slots"] = 8;
    entry["state"] = "ready";
    entry["born"] = 1;
    m_store.Put("servers", "i-scripted", entry);
    auto configuration = standins::SiteConfiguration(2);
    configuration["limits"]["bodyBytes"] = Json::UInt64(2 * kLongUpload);
    configuration["services"][2]["name"] = "extra";
    for (auto& route : configuration["routes"]) {
      route["service"] = "extra";
    }
    m_store.Put("config", "main", configuration);
  }

  std::unique_ptr<ScriptedServer> m_server;
};

} // namespace

BOOST_DATA_TEST_CASE(AClientTakesNoPartOfAnAnswerForTheWhole,
                     boost::unit_test::data::make(kFramings) *
                       boost::unit_test::data::make({ false, true }),
                     aFraming, aIsReset)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::PortClaim const port({ "127.0.0.1" });
  base::Endpoint const endpoint{ "127.0.0.1", port.Port() };
  std::vector<ScriptedResponse> script;
  auto const& whole = *aFraming.m_text;
  bool const isUndelimited = aFraming.m_text == &kUndelimited;
  auto const head = whole.rfind("\r\n\r\nid") + 4;
  // Without a length, a close after the head is the proper end of a body.
  auto const cuts = isUndelimited && !aIsReset ? head : whole.size();
  for (std::size_t size = 0; size < cuts; ++size) {
    script.push_back({ whole.substr(0, size),
                       aIsReset ? ScriptedResponse::End::Reset : ScriptedResponse::End::Close });
  }
  script.push_back({ whole, ScriptedResponse::End::Close });
  ScriptedServer server(loop, script);
  BOOST_REQUIRE(server.Listen(endpoint).has_value());
  base::HttpClient client(loop, {});
  auto run = [&]() -> awaitable<void> {
    for (std::size_t size = 0; size <= cuts; ++size) {
      auto const response = co_await Fetch(client, endpoint);
      BOOST_TEST_CONTEXT("after " << size << " bytes")
      {
        BOOST_TEST(response.has_value() == (size == cuts));
        if (!response) {
          BOOST_TEST(response.error().m_mayHaveBeenSent);
        }
      }
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
}

// Guards against the use of a connection that is gone: its response was complete before the write
// of its request, of which a step had just ended.
BOOST_AUTO_TEST_CASE(AClientOutlivesTheEarlyAnswersToLongUploads)
{
  constexpr int kRequests = 50;
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::PortClaim const port({ "127.0.0.1" });
  base::Endpoint const endpoint{ "127.0.0.1", port.Port() };
  ScriptedServer server(loop, { { kLength, ScriptedResponse::End::HalfClose, true } });
  BOOST_REQUIRE(server.Listen(endpoint).has_value());
  base::HttpClient client(loop, {});
  int complete = 0;
  auto run = [&]() -> awaitable<void> {
    for (int request = 0; request < kRequests; ++request) {
      auto const response = co_await Fetch(client, endpoint, kLongUpload);
      complete += response.has_value() ? 1 : 0;
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_TEST(complete == kRequests);
}

// Guards against the end of a body that is none: the write of a request takes the error of a
// connection that was reset, and the read that follows it finds only an end.
BOOST_DATA_TEST_CASE(AClientTakesNoPartOfAnEarlyAnswerForTheWhole,
                     boost::unit_test::data::make(kEarlyResponses) *
                       boost::unit_test::data::make({ 0, 100 }),
                     aEarly, aPauseMs)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::PortClaim const port({ "127.0.0.1" });
  base::Endpoint const endpoint{ "127.0.0.1", port.Port() };
  ScriptedResponse const scripted{
    aEarly.m_text, aEarly.m_end, true, {}, std::chrono::milliseconds(aPauseMs)
  };
  ScriptedServer server(loop, { scripted });
  BOOST_REQUIRE(server.Listen(endpoint).has_value());
  base::HttpClient client(loop, {});
  auto run = [&]() -> awaitable<void> {
    auto const response = co_await Fetch(client, endpoint, kLongUpload);
    BOOST_TEST(response.has_value() == aEarly.m_isWhole);
    if (!response) {
      BOOST_TEST((response.error().m_kind == base::HttpFailure::Kind::ConnectionClosed));
      BOOST_TEST(response.error().m_mayHaveBeenSent);
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
}

// Guards against the same at a connection that the system gives up, as its peer takes no more of
// the request.
BOOST_AUTO_TEST_CASE(AClientTakesNoPartOfAnAnswerFromAnUnresponsivePeerForTheWhole)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::PortClaim const port({ "127.0.0.1" });
  base::Endpoint const endpoint{ "127.0.0.1", port.Port() };
  ScriptedResponse const scripted{ kUndelimited, ScriptedResponse::End::Close, true, {}, 10s };
  ScriptedServer server(loop, { scripted });
  BOOST_REQUIRE(server.Listen(endpoint).has_value());
  base::HttpClientLimits limits;
  limits.m_acknowledgeTimeout = 300ms;
  base::HttpClient client(loop, limits);
  auto run = [&]() -> awaitable<void> {
    base::HttpRequest request;
    request.m_method = "POST";
    request.m_body.assign(kLongUpload, 'x');
    auto const response = co_await client.Fetch(endpoint, std::move(request), 5s);
    BOOST_TEST(!response.has_value());
    if (!response) {
      BOOST_TEST((response.error().m_kind == base::HttpFailure::Kind::TimedOut));
      BOOST_TEST(response.error().m_detail ==
                 make_error_code(boost::asio::error::timed_out).message());
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
}

// Guards against a body that is taken as it came, or to an end that its sender did not mean.
BOOST_DATA_TEST_CASE(AClientTakesNoBodyWhoseCodingItDoesNotDecode,
                     boost::unit_test::data::make(kUnsupportedCodings), aCoding)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::PortClaim const port({ "127.0.0.1" });
  base::Endpoint const endpoint{ "127.0.0.1", port.Port() };
  ScriptedServer server(
    loop, { { kHead + aCoding + "\r\n5\r\nevent\r\n0\r\n\r\n", ScriptedResponse::End::Close } });
  BOOST_REQUIRE(server.Listen(endpoint).has_value());
  base::HttpClient client(loop, {});
  auto run = [&]() -> awaitable<void> {
    auto const response = co_await Fetch(client, endpoint);
    BOOST_REQUIRE(!response);
    BOOST_TEST((response.error().m_kind == base::HttpFailure::Kind::MalformedResponse));
    BOOST_TEST(response.error().m_mayHaveBeenSent);
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
}

BOOST_DATA_TEST_CASE_F(TruncatedFixture, AGatewayRelaysNoPartOfAnAnswerAsTheWhole,
                       boost::unit_test::data::make(kCuts), aCut)
{
  auto const& whole = *aCut.m_text;
  auto const size = aCut.m_before.empty() ? whole.size() : whole.rfind(aCut.m_before);
  BOOST_REQUIRE(size != std::string::npos);
  Start({ whole.substr(0, size), aCut.m_end });
  Run([&]() -> awaitable<void> {
    for (auto const* const target : { "/order/x", "/once/x" }) {
      auto request = Request("POST", target, "r" + std::string(target));
      auto const response = co_await Send(std::move(request));
      BOOST_TEST((!response || response->m_status == 502 || response->m_status == 503));
      BOOST_TEST((response || target[1] == 'o'));
    }
    BOOST_TEST(m_server->Requests() >= 1U);
  });
}

BOOST_DATA_TEST_CASE_F(TruncatedFixture, AGatewayRelaysNoPartOfAnEarlyAnswerAsTheWhole,
                       boost::unit_test::data::make(kEarlyResponses), aEarly)
{
  Start({ aEarly.m_text, aEarly.m_end, true, {}, 100ms });
  Run([&]() -> awaitable<void> {
    // The routes answer whole, event by event, and after a second attempt.
    for (auto const* const target : { "/order/x", "/once/x", "/look/x" }) {
      auto request = Request("POST", target, "r" + std::string(target));
      request.m_body.assign(kLongUpload, 'x');
      auto const response = co_await Send(std::move(request));
      auto const status = response ? response->m_status : 0;
      BOOST_TEST_CONTEXT(target << " " << status)
      {
        BOOST_TEST((status == 200U) == aEarly.m_isWhole);
        BOOST_TEST((!response || status == 200U || status == 502U));
      }
    }
  });
}

// Guards against a stream to HTTP/1.0 that ends in order, and so looks whole, after its upstream
// has failed.
BOOST_FIXTURE_TEST_CASE(AGatewayResetsAStreamToAnOlderCallerThatItCannotFinish, TruncatedFixture)
{
  Start({ kLength.substr(0, kLength.size() - 1), ScriptedResponse::End::Close });
  Run([&]() -> awaitable<void> {
    boost::asio::ip::tcp::socket caller(m_loop.Context());
    caller.connect({ boost::asio::ip::make_address(Callers().m_address), Callers().m_port });
    boost::asio::write(caller, boost::asio::buffer(std::string(
                                 "POST /once/x HTTP/1.0\r\nHost: site.example\r\nRequest-Id: r1\r\n"
                                 "Authorization: Bearer key-1\r\nDeadline-Ms: 5000\r\n\r\n")));
    std::string received;
    boost::system::error_code end;
    while (!end) {
      std::array<char, 4096> part{};
      auto const [error, size] = co_await caller.async_read_some(
        boost::asio::buffer(part), boost::asio::as_tuple(boost::asio::use_awaitable));
      received.append(part.data(), size);
      end = error;
    }
    BOOST_TEST(received.ends_with("id: 1\ndata: a\n\n"));
    BOOST_TEST((end == boost::asio::error::connection_reset), end.message());
  });
}

// Guards against a status that is none: the answer was relayed, waited for until the deadline, or
// replaced by a response in its body.
BOOST_DATA_TEST_CASE_F(TruncatedFixture, AGatewayRelaysNoAnswerWithAnInvalidStatus,
                       boost::unit_test::data::make({ "000", "099", "101", "600", "999" }) *
                         boost::unit_test::data::make({ "", "id: 1\ndata: a\n\n", "{response}" }),
                       aStatus, aBody)
{
  std::string const body = aBody == std::string("{response}") ? kLength : aBody;
  Start({ "HTTP/1.1 " + std::string(aStatus) + kHead.substr(12) +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body });
  Run([&]() -> awaitable<void> {
    for (auto const* const target : { "/order/x", "/once/x" }) {
      auto request = Request("POST", target, "r" + std::string(target));
      auto const response = co_await Send(std::move(request));
      BOOST_TEST((response ? response->m_status : 0) == 502U);
      BOOST_TEST(!(response && response->m_headers.Find("Server-Seal")));
    }
  });
}

// Guards against a field whose name is none: the line was relayed as part of the field before it,
// or the body to another end than its upstream meant.
BOOST_DATA_TEST_CASE_F(TruncatedFixture, AGatewayRelaysNoAnswerWithAMalformedFieldName,
                       boost::unit_test::data::make({ "X Y: z\r\n", "X : y\r\n", "\x01X: y\r\n",
                                                      "X\x7f: y\r\n", "A: b\r\n X: y\r\n",
                                                      "A: b\r\n\tTransfer-Encoding: chunked\r\n" }),
                       aField)
{
  Start({ kHead + aField + "Content-Length: " + std::to_string(kEvents.size()) + "\r\n\r\n" +
          kEvents });
  Run([&]() -> awaitable<void> {
    for (auto const* const target : { "/order/x", "/once/x" }) {
      auto const sentAt = m_loop.Now();
      auto request = Request("POST", target, "r" + std::string(target));
      auto const response = co_await Send(std::move(request));
      BOOST_TEST((response ? response->m_status : 0) == 502U);
      BOOST_TEST(!(response && response->m_headers.Find("Server-Seal")));
      // At once, not at the deadline of the route.
      BOOST_TEST((m_loop.Now() - sentAt < 1s));
    }
    BOOST_TEST(m_server->Requests() == 2U);
  });
}
