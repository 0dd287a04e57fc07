#define BOOST_TEST_MODULE ResumedStream
#include "StandIns/Site/ScriptedServer.h"
#include "Tests/Support/SiteFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// A stream has begun and broken off, and the next upstream answers with something
// else than its continuation. Nothing of that may get into the caller's stream, and a
// stream that is not whole must not look complete.

using namespace sardinefold;
using standins::ScriptedResponse;
using standins::ScriptedServer;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

using End = ScriptedResponse::End;

std::string const kId = "Request-Id: {id}\r\nServer-Seal: 1.2.3\r\n";
std::string const kStream = kId + "Content-Type: text/event-stream\r\n";
std::string const kChunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string Head(std::string const& aStatus, std::string const& aFields)
{
  return "HTTP/1.1 " + aStatus + " X\r\n" + aFields;
}

std::string Event(int aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: x\n\n";
}

std::string Chunk(std::string const& aData)
{
  std::ostringstream size;
  size << std::hex << aData.size();
  return size.str() + "\r\n" + aData + "\r\n";
}

std::string Length(std::string const& aBody)
{
  return "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Ends inside its third event.
ScriptedResponse BrokenStream()
{
  return { Head("200", kStream + kChunked) + Chunk(Event(1) + Event(2) + "id: 3\nda"), End::Close };
}

std::string const kWhole = Event(1) + Event(2) + Event(3) + Event(4);
std::string const kRest = Event(3) + Event(4);

struct Case
{
  char const* m_name;
  ScriptedResponse m_second;
  /// Whether the caller gets the whole stream; otherwise it is broken off.
  bool m_isWhole = false;
};

std::ostream& operator<<(std::ostream& aStream, Case const& aCase)
{
  return aStream << aCase.m_name;
}

std::vector<Case> const kCases = {
  { "an error with a length", { Head("500", kId) + Length("error") } },
  { "an error in chunks", { Head("500", kId + kChunked) + Chunk("error") + "0\r\n\r\n" } },
  { "an error without a length", { Head("500", kId) + "\r\nerror", End::Close } },
  { "a client error", { Head("404", kId) + Length("error") } },
  { "a refusal", { Head("503", kId + "Not-Executed: 1\r\n") + Length("error") } },
  { "an interim response, then an error",
    { Head("103", "\r\n") + Head("100", "\r\n") + Head("500", kId) + Length("error") } },
  { "an interim response, then the rest",
    { Head("103", "\r\n") + Head("200", kStream) + Length(kRest) },
    true },
  { "no content", { Head("204", kId) + "\r\n" } },
  { "another content type",
    { Head("200", kId + "Content-Type: application/json\r\n") + Length("{}\n\n") } },
  { "a part that is no stream", { Head("206", kStream) + Length(kRest) } },
  { "a gap", { Head("200", kStream) + Length(Event(4)) } },
  { "a repeat", { Head("200", kStream) + Length(Event(2) + kRest) } },
  { "the start", { Head("200", kStream) + Length(kWhole) } },
  { "no numbers", { Head("200", kStream) + Length("data: x\n\n") } },
  { "numbers that fall", { Head("200", kStream) + Length(Event(3) + Event(2)) } },
  { "no last chunk", { Head("200", kStream + kChunked) + Chunk(kRest), End::Close } },
  { "a reset", { Head("200", kStream + kChunked) + Chunk(kRest), End::Reset } },
  { "less than its length",
    { Head("200", kStream + "Content-Length: 900\r\n\r\n") + kRest, End::Close } },
  { "an end inside an event", { Head("200", kStream) + Length(Event(3) + "id: 4\nda") } },
  { "an end inside an event without a length",
    { Head("200", kStream + "\r\n") + Event(3) + "id: 4\nda", End::Close } },
  { "nothing without a length", { Head("200", kStream + "\r\n"), End::Close } },
  { "no bytes at all", { "", End::Close } },
  { "bytes that are no response", { "garbage\r\n\r\n", End::Close } },
  { "no ID", { Head("200", "Content-Type: text/event-stream\r\n") + Length(kRest) } },
  { "the rest with a length", { Head("200", kStream) + Length(kRest) }, true },
  { "the rest without a length", { Head("200", kStream + "\r\n") + kRest, End::Close }, true },
  { "the rest in chunks",
    { Head("200", kStream + kChunked) + Chunk(kRest.substr(0, 5)) + Chunk(kRest.substr(5)) +
      "0\r\n\r\n" },
    true },
};

class ResumedFixture : public SiteFixture
{
public:
  /// Lists two upstreams of a service of their own that answer from one script.
  void Start(std::vector<ScriptedResponse> aScript)
  {
    for (int number = 0; number < 2; ++number) {
      m_servers.push_back(std::make_unique<ScriptedServer>(m_loop, aScript));
      base::Endpoint const address{ "127.0.3." + std::to_string(3 + number), Callers().m_port };
      BOOST_REQUIRE(m_servers.back()->Listen(address).has_value());
      Json::Value entry;
      entry["service"] = "extra";
      entry["address"] = address.Text();
      entry["zone"] = "a";
      entry["slots"] = 8;
      entry["state"] = "ready";
      entry["born"] = 1;
      m_store.Put("servers", "i-scripted" + std::to_string(number), entry);
      aScript.erase(aScript.begin());
      if (aScript.empty()) {
        break;
      }
    }
    auto configuration = standins::SiteConfiguration(2);
    configuration["services"][2]["name"] = "extra";
    configuration["routes"][0]["service"] = "extra";
    m_store.Put("config", "main", configuration);
  }

  /// Sends a request and returns the bytes of its body and whether it was complete.
  awaitable<std::pair<std::string, bool>> ReadStream(unsigned& aStatus)
  {
    auto endpoint = Callers();
    auto request = Request("POST", "/chat/x", "r1");
    auto reply = co_await m_client.Send(std::move(endpoint), std::move(request), 5s);
    BOOST_REQUIRE(reply.has_value());
    aStatus = reply->Status();
    std::string body;
    while (!reply->IsComplete()) {
      auto const chunk = co_await reply->Read(5s);
      if (!chunk) {
        co_return std::pair(body, false);
      }
      body += *chunk;
    }
    co_return std::pair(body, true);
  }

  std::vector<std::unique_ptr<ScriptedServer>> m_servers;
};

} // namespace

BOOST_DATA_TEST_CASE_F(ResumedFixture, NothingButTheRestOfAStreamContinuesIt,
                       boost::unit_test::data::make(kCases), aCase)
{
  // Whichever upstream comes first breaks the stream off; a caller's resumption after
  // the second event has the same expectations as the gateway's own.
  Start({ aCase.m_second });
  Run([&]() -> awaitable<void> {
    auto endpoint = Callers();
    auto request = Request("POST", "/chat/x", "r1");
    request.m_headers.Add("Last-Event-Id", "2");
    auto const response = co_await Send(std::move(request));
    bool const isSuccess = response && response->m_status == 200;
    BOOST_TEST(isSuccess == aCase.m_isWhole);
    if (isSuccess) {
      BOOST_TEST(response->m_body == kRest);
    }
  });
}

BOOST_DATA_TEST_CASE_F(ResumedFixture, ABrokenStreamEndsWholeOrBrokenOff,
                       boost::unit_test::data::make(kCases), aCase)
{
  Start({ BrokenStream(), aCase.m_second });
  Run([&]() -> awaitable<void> {
    // Until a request starts at the upstream that breaks its stream off.
    unsigned status = 0;
    for (int attempt = 0; attempt < 8 && m_servers[0]->Requests() == 0; ++attempt) {
      auto const [body, isComplete] = co_await ReadStream(status);
      // A body from the third event on was begun by the other upstream.
      if (m_servers[0]->Requests() == 0 || status != 200 || body.starts_with(Event(3))) {
        continue;
      }
      BOOST_TEST(isComplete == aCase.m_isWhole);
      BOOST_TEST(kWhole.starts_with(body), body);
      BOOST_TEST((!isComplete || body == kWhole), body);
    }
  });
}
