#define BOOST_TEST_MODULE MalformedField
#include "Base/Http/HttpClient.h"
#include "Programs/SystemClock.h"
#include "StandIns/Site/ScriptedServer.h"
#include "Tests/Support/PortClaim.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>

// A field whose name is none may be the one that says where the body ends. A response with one
// must not be taken for an answer, neither with that line nor without it.

using namespace sardinefold;
using standins::ScriptedResponse;
using standins::ScriptedServer;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

std::string const kStatusLine = "HTTP/1.1 200 OK\r\n";
std::string const kLengthAndBody = "Content-Length: 4\r\n\r\nbody";
std::string const kChunkedFields = "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n";

/// Names of fields, in which '?' stands for any byte.
std::vector<std::string> const kNames = {
  "?Foo",        "Fo?o", "Foo?", "?", "Transfer?-Encoding", "Transfer-Encoding?", "?Content-Length",
  "Server-Seal?"
};

std::vector<std::string> const kFoldedResponses = {
  kStatusLine + "A: b\r\n Content-Length: 4\r\n\r\nbodymore",
  kStatusLine + "A: b\r\n\tTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
  kStatusLine + "A: b\r\n c\r\n" + kLengthAndBody,
  kStatusLine + "A:\r\n B: c\r\n" + kLengthAndBody,
  kStatusLine + "A: b\r\n \r\n" + kLengthAndBody,
  kStatusLine + "Content-Length:\r\n 4\r\n\r\nbodymore",
  kStatusLine + " A: b\r\n" + kLengthAndBody,
  "HTTP/1.1 103 Early Hints\r\nA: b\r\n B: c\r\n\r\n" + kStatusLine + kLengthAndBody,
};

/// Where in a response a field stands.
struct Place
{
  char const* m_name;
  std::string m_before;
  std::string m_after;
};

std::vector<Place> const kPlaces = {
  { "first", kStatusLine, kLengthAndBody },
  { "later", kStatusLine + "A: b\r\n", kLengthAndBody },
  { "interim", "HTTP/1.1 103 Early Hints\r\nA: b\r\n", "\r\n" + kStatusLine + kLengthAndBody },
  { "trailer", kStatusLine + kChunkedFields, "\r\n" },
};

ScriptedResponse ResponseWith(Place const& aPlace, std::string aName, char aCharacter,
                              char const* aRest)
{
  aName[aName.find('?')] = aCharacter;
  std::string text = aPlace.m_before;
  text.append(aName).append(aRest).append(aPlace.m_after);
  return { std::move(text), ScriptedResponse::End::Close };
}

/// Heads that are none, without their first and last line.
std::vector<std::string> const kMalformedHeads = { "000 No\r\n", "200 OK\r\nA b: c\r\n",
                                                   "200 OK\r\nA\x01: c\r\n",
                                                   "200 OK\r\nA: b\r\n c: d\r\n" };

bool IsTokenCharacter(char aCharacter)
{
  return std::string_view("!#$%&'*+-.^_`|~0123456789"
                          "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
           .find(aCharacter) != std::string_view::npos;
}

/// Fetches the texts one after the other and returns the responses.
std::vector<tl::expected<base::HttpResponse, base::HttpFailure>> FetchEach(
  std::vector<ScriptedResponse> const& aScript)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::PortClaim const port({ "127.0.0.1" });
  base::Endpoint const endpoint{ "127.0.0.1", port.Port() };
  ScriptedServer server(loop, aScript);
  BOOST_REQUIRE(server.Listen(endpoint).has_value());
  base::HttpClient client(loop, {});
  base::HttpHeaders::Field const echo{ "Request-Id", "r1" };
  std::vector<tl::expected<base::HttpResponse, base::HttpFailure>> responses;
  auto run = [&]() -> awaitable<void> {
    for (std::size_t number = 0; number < aScript.size(); ++number) {
      base::HttpRequest request;
      request.m_headers.Add(echo.m_name, echo.m_value);
      base::HttpSendOptions options{ 1s, nullptr, std::nullopt, echo, nullptr };
      responses.push_back(co_await client.Fetch(endpoint, std::move(request), std::move(options)));
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  return responses;
}

void CheckMalformed(tl::expected<base::HttpResponse, base::HttpFailure> const& aResponse)
{
  BOOST_TEST(!aResponse);
  if (!aResponse) {
    BOOST_TEST((aResponse.error().m_kind == base::HttpFailure::Kind::MalformedResponse));
    BOOST_TEST(aResponse.error().m_mayHaveBeenSent);
  }
}

} // namespace

BOOST_DATA_TEST_CASE(AClientTakesNoResponseWithAMalformedFieldName,
                     boost::unit_test::data::make(kNames), aName)
{
  for (auto const& place : kPlaces) {
    std::vector<ScriptedResponse> script;
    std::string bytes;
    for (int byte = 0; byte <= std::numeric_limits<unsigned char>::max(); ++byte) {
      auto const character = static_cast<char>(byte);
      // A colon ends the name.
      if (!IsTokenCharacter(character) && character != ':') {
        bytes += character;
        script.push_back(ResponseWith(place, aName, character, ": chunked\r\n"));
      }
    }
    auto const responses = FetchEach(script);
    for (std::size_t number = 0; number < responses.size(); ++number) {
      BOOST_TEST_CONTEXT(place.m_name << " field, byte " << static_cast<int>(bytes[number]))
      {
        CheckMalformed(responses[number]);
      }
    }
  }
}

// The parser unfolds such a line, which hides the field in it.
BOOST_DATA_TEST_CASE(AClientTakesNoResponseWithAFoldedLine,
                     boost::unit_test::data::make(kFoldedResponses), aText)
{
  CheckMalformed(FetchEach({ { aText, ScriptedResponse::End::Close } }).front());
}

// The client reads a head in pieces, of which the first has 512 bytes.
BOOST_AUTO_TEST_CASE(AClientTakesNoResponseWithALineFoldedWhereAPieceEnds)
{
  constexpr std::size_t kFirst = 440;
  constexpr std::size_t kLast = 520;
  std::vector<ScriptedResponse> script;
  for (auto size = kFirst; size < kLast; ++size) {
    std::string text = kStatusLine;
    text.append("P: ").append(size, 'x').append("\r\nA: b\r\n B: c\r\n").append(kLengthAndBody);
    script.push_back({ std::move(text), ScriptedResponse::End::Close });
  }
  for (auto const& response : FetchEach(script)) {
    CheckMalformed(response);
  }
}

BOOST_AUTO_TEST_CASE(AClientTakesEveryNameThatIsOne)
{
  std::vector<ScriptedResponse> script;
  for (int byte = 0; byte <= std::numeric_limits<unsigned char>::max(); ++byte) {
    auto const character = static_cast<char>(byte);
    if (IsTokenCharacter(character)) {
      script.push_back(ResponseWith(kPlaces.front(), "Foo?", character, ": \t b \r\n"));
    }
  }
  for (auto const& response : FetchEach(script)) {
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_headers.Fields().front().m_value == "b");
    BOOST_TEST(response->m_body == "body");
  }
}

BOOST_DATA_TEST_CASE(AMalformedHeadEndsTheSearchForTheResponse,
                     boost::unit_test::data::make(kMalformedHeads), aHead)
{
  std::string const sound = kStatusLine + "Request-Id: {id}\r\n" + kLengthAndBody;
  std::string const other = kStatusLine + "Request-Id: other\r\n" + kLengthAndBody;
  std::string const malformed = "HTTP/1.1 " + aHead;
  auto const responses = FetchEach({
    { other + malformed + "Request-Id: {id}\r\n" + kLengthAndBody, ScriptedResponse::End::Close },
    { other + malformed + "Request-Id: other\r\n" + kLengthAndBody + sound,
      ScriptedResponse::End::Close },
    { malformed + "Request-Id: other\r\n" + kLengthAndBody + sound, ScriptedResponse::End::Close },
    { other + sound, ScriptedResponse::End::Close },
  });
  for (std::size_t number = 0; number + 1 < responses.size(); ++number) {
    CheckMalformed(responses[number]);
  }
  BOOST_TEST(responses.back().has_value());
}

// A probe whose response is malformed has failed, so that the request gets a new connection.
BOOST_DATA_TEST_CASE(AMalformedResponseToAProbeReplacesTheConnection,
                     boost::unit_test::data::make(kMalformedHeads), aHead)
{
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  tests::PortClaim const port({ "127.0.0.1" });
  base::Endpoint const endpoint{ "127.0.0.1", port.Port() };
  ScriptedServer server(loop, { { kStatusLine + kLengthAndBody },
                                { "HTTP/1.1 " + aHead + kLengthAndBody },
                                { kStatusLine + kLengthAndBody } });
  BOOST_REQUIRE(server.Listen(endpoint).has_value());
  base::HttpClientLimits limits;
  limits.m_probe = base::HttpProbe{ "/probe", base::Duration::zero() };
  base::HttpClient client(loop, limits);
  auto run = [&]() -> awaitable<void> {
    for (int number = 0; number < 2; ++number) {
      base::HttpRequest request;
      auto const response = co_await client.Fetch(endpoint, std::move(request), 1s);
      BOOST_TEST(response.has_value());
    }
    loop.Stop();
  };
  loop.Start(run());
  loop.Run();
  BOOST_TEST(server.Requests() == 3U);
  BOOST_TEST(server.Connections() == 2U);
}
