#define BOOST_TEST_MODULE BrokenUpstream
#include "StandIns/Site/ScriptedServer.h"
#include "Tests/Support/AgentFixture.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// An upstream behind an agent whose answers are none.

using namespace sardinefold;
using standins::ScriptedResponse;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

/// More than the system buffers of a connection hold, within the limit of the agent.
constexpr std::size_t kLongUpload = 7UL * 1024 * 1024;

/// Returns what an entry gets through an agent.
awaitable<std::string> ReadOutcome(agent::ForwardOutcome aOutcome)
{
  if (std::holds_alternative<base::NotRun>(aOutcome)) {
    co_return "not run";
  }
  auto* const reply = std::get_if<agent::AgentReply>(&aOutcome);
  if (!reply) {
    co_return "unknown";
  }
  while (!reply->IsComplete()) {
    auto const chunk = co_await reply->Read();
    if (!chunk) {
      co_return "part";
    }
  }
  co_return "whole";
}

} // namespace

// Guards against an upstream that answers a long upload at once and resets the connection in the
// middle of a body without a length.
BOOST_DATA_TEST_CASE_F(tests::AgentFixture, AnAgentRelaysNoPartOfAnEarlyAnswerAsTheWhole,
                       boost::unit_test::data::make({ "", "0a1b2c" }) *
                         boost::unit_test::data::make({ 0, 100 }),
                       aClaim, aPauseMs)
{
  standins::ScriptedServer upstream(m_loop, { { "HTTP/1.1 200 OK\r\n\r\npart",
                                                ScriptedResponse::End::Reset,
                                                true,
                                                {},
                                                std::chrono::milliseconds(aPauseMs) } });
  BOOST_REQUIRE(upstream.Listen(UpstreamAddress()).has_value());
  StartAgent(1);
  Run([&]() -> awaitable<void> {
    // A claimed request is answered once it is complete, others as their response arrives.
    auto const claim = base::ClaimId::FromValidated(aClaim);
    std::string const expected = claim.IsEmpty() ? "part" : "unknown";
    base::Cancellation cancellation;
    auto outcome = co_await Forward(claim, std::string(kLongUpload, 'x'), cancellation);
    auto const received = co_await ReadOutcome(std::move(outcome));
    BOOST_TEST(received == expected);
    if (!claim.IsEmpty()) {
      // The request may have run, so that it neither runs again nor gets the part.
      auto again = co_await Forward(claim, std::string(kLongUpload, 'x'), cancellation);
      auto const receivedAgain = co_await ReadOutcome(std::move(again));
      BOOST_TEST(receivedAgain == "unknown");
    }
    BOOST_TEST(upstream.Requests() == 1U);
  });
}

// Guards against an answer with a status that is none, or with a malformed head.
BOOST_DATA_TEST_CASE_F(
  tests::AgentFixture, AnAgentRelaysNoAnswerWithAMalformedHead,
  boost::unit_test::data::make({ "", "0a1b2c" }) *
    boost::unit_test::data::make({ "000 No\r\n", "200 OK\r\nA b: c\r\n", "200 OK\r\nA\x01: c\r\n",
                                   "200 OK\r\nA: b\r\n Content-Length: 4\r\n" }),
  aClaim, aHead)
{
  standins::ScriptedServer upstream(m_loop, { { "HTTP/1.1 " + std::string(aHead) + "\r\nbodymore",
                                                ScriptedResponse::End::Close } });
  BOOST_REQUIRE(upstream.Listen(UpstreamAddress()).has_value());
  StartAgent(1);
  Run([&]() -> awaitable<void> {
    base::Cancellation cancellation;
    auto outcome = co_await Forward(base::ClaimId::FromValidated(aClaim), {}, cancellation);
    auto const received = co_await ReadOutcome(std::move(outcome));
    BOOST_TEST(received == "unknown");
    BOOST_TEST(upstream.Requests() == 1U);
  });
}
