#define BOOST_TEST_MODULE EndlessUpstream
#include "Programs/Agent/ReplicaLoader.h"
#include "StandIns/Site/EndlessServer.h"
#include "StandIns/Site/ScriptedServer.h"
#include "Tests/Support/AgentFixture.h"
#include "Tests/Support/CostlyJson.h"
#include "Tests/Support/ProcessMemory.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

// An upstream behind an agent that never ends its response.

using namespace sardinefold;
using standins::EndlessPart;
using standins::EndlessResponse;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

constexpr base::Duration kTolerance = 500ms;

/// An agent before an upstream that never ends its response.
class EndlessUpstreamFixture : public tests::AgentFixture
{
public:
  void Start(EndlessResponse aResponse, std::size_t aConcurrency)
  {
    m_upstream = std::make_unique<standins::EndlessServer>(m_loop, std::move(aResponse));
    BOOST_REQUIRE(m_upstream->Listen(UpstreamAddress()).has_value());
    StartAgent(aConcurrency);
  }

  /// Sends a request and reads its response to its end.
  awaitable<void> Send(base::ClaimId aClaim, base::Cancellation& aCancellation)
  {
    auto outcome = co_await Forward(std::move(aClaim), {}, aCancellation);
    auto* const reply = std::get_if<agent::AgentReply>(&outcome);
    while (reply && !reply->IsComplete()) {
      auto const chunk = co_await reply->Read();
      if (!chunk) {
        break;
      }
    }
    ++m_completed;
  }

  template<typename Predicate>
  awaitable<bool> WaitFor(Predicate aPredicate, base::Duration aLimit)
  {
    auto const end = m_loop.Now() + aLimit;
    while (!aPredicate() && m_loop.Now() < end) {
      co_await m_loop.Sleep(10ms);
    }
    co_return aPredicate();
  }

  std::unique_ptr<standins::EndlessServer> m_upstream;
  int m_completed = 0;
};

struct Case
{
  char const* m_name;
  EndlessResponse m_response;
  base::ClaimId m_claim;
};

std::ostream& operator<<(std::ostream& aStream, Case const& aCase)
{
  return aStream << aCase.m_name;
}

base::ClaimId const kNoClaim;
base::ClaimId const kClaim = base::ClaimId::FromValidated("0a1b2c");

std::vector<Case> const kCases = {
  { "a body", { EndlessPart::ChunkedBody, 200, "" }, kNoClaim },
  { "a body that drips", { EndlessPart::ChunkedBody, 200, "", 50ms, 1 }, kNoClaim },
  { "a short body that drips",
    { EndlessPart::UnframedBody, 200, "Content-Length: 60000\r\n", 50ms, 1 },
    kNoClaim },
  { "a claimed body that drips", { EndlessPart::ChunkedBody, 200, "", 50ms, 1 }, kClaim },
};

} // namespace

BOOST_DATA_TEST_CASE_F(EndlessUpstreamFixture,
                       AResponseWithoutEndFreesTheAgentsSlotAfterItsCallerHasGone,
                       boost::unit_test::data::make(kCases), aCase)
{
  Start(aCase.m_response, 1);
  Run([&]() -> awaitable<void> {
    base::Cancellation first;
    m_loop.Start(Send(aCase.m_claim, first));
    auto const isOpen = co_await WaitFor([&] { return m_upstream->Open() == 1; }, 1s);
    BOOST_TEST(isOpen);
    co_await m_loop.Sleep(200ms);
    first.Cancel();
    auto const isClosed =
      co_await WaitFor([&] { return m_upstream->Open() == 0; }, kResponseTimeout + kTolerance);
    BOOST_TEST(isClosed);
    // The only slot is free for the next request.
    base::Cancellation second;
    m_loop.Start(Send(kNoClaim, second));
    auto const isNextSent = co_await WaitFor([&] { return m_upstream->Requests() == 2; }, 1s);
    BOOST_TEST(isNextSent);
    second.Cancel();
    co_await m_loop.Sleep(100ms);
  });
}

BOOST_FIXTURE_TEST_CASE(ManyClaimedResponsesWithoutEndStayWithinTheAgentsMemory,
                        EndlessUpstreamFixture)
{
  constexpr int kRequests = 16;
  EndlessResponse response{ EndlessPart::ChunkedBody, 200, "", 2s };
  response.m_fragmentBytes = 7UL * 1024 * 1024;
  Start(response, kRequests);
  Run([&]() -> awaitable<void> {
    auto const before = tests::ResidentKilobytes();
    tests::ResetPeakMemory();
    std::list<base::Cancellation> cancellations;
    for (int number = 0; number < kRequests; ++number) {
      auto claim = base::ClaimId::FromValidated("claim" + std::to_string(number));
      m_loop.Start(Send(std::move(claim), cancellations.emplace_back()));
    }
    co_await WaitFor([&] { return m_completed == kRequests; }, 4s);
    BOOST_TEST(m_completed == kRequests);
    BOOST_TEST(m_upstream->Requests() == static_cast<std::size_t>(kRequests));
    BOOST_TEST(tests::PeakKilobytes() - before < kMemoryKilobytes);
  });
}

BOOST_FIXTURE_TEST_CASE(ALargeReportThatIsNoneStaysWithinTheAgentsMemory, EndlessUpstreamFixture)
{
  standins::ScriptedServer engine(m_loop, { { tests::CostlyReport() } });
  auto const address = UpstreamAddress();
  BOOST_REQUIRE(engine.Listen(address).has_value());
  Run([&]() -> awaitable<void> {
    auto const before = tests::ResidentKilobytes();
    tests::ResetPeakMemory();
    programs::ReplicaLoader loader(m_loop, m_http, address);
    bool const hasReport = co_await loader.Refresh();
    BOOST_TEST(!hasReport);
    BOOST_TEST(engine.Requests() > 0U);
    BOOST_TEST(tests::PeakKilobytes() - before < kMemoryKilobytes);
  });
}
