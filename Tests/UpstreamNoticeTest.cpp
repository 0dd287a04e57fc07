#define BOOST_TEST_MODULE UpstreamNotice
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using platform::Wire;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

base::HttpHeaders Headers(char const* aName, char const* aValue)
{
  base::HttpHeaders headers;
  headers.Add(aName, aValue);
  return headers;
}

/// Longer than the bound on requests to an upstream that leaves.
constexpr auto kPastDrainDelay = 2'100ms;

class NoticeFixture : public SiteFixture
{
public:
  awaitable<base::HttpResponse> Order(std::string aId)
  {
    auto request = Request("POST", "/order/x", std::move(aId));
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    co_return *response;
  }

  awaitable<void> Ask(std::string aModel, std::string aId)
  {
    auto request = ModelRequest("/chat/x", std::move(aId), std::move(aModel));
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 200U);
  }

  static unsigned RunsAt(standins::SiteEngine const& aEngine)
  {
    return static_cast<unsigned>(aEngine.Runs().size());
  }

  bool HasMetric(std::string const& aLine) const
  {
    return m_gateway->Metrics().Render().find(aLine) != std::string::npos;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(LeavingIsReadFromAnyResponseAndMalformedValuesCountAsAbsent)
{
  for (auto const status : { 200U, 421U, 429U, 500U, 503U }) {
    auto const notice = Wire::DecodeNotice(status, Headers("Server-Leaving", "1"));
    BOOST_TEST(notice.m_isLeaving);
    BOOST_TEST(!notice.m_isMalformed);
  }
  for (auto const* const text : { "", "0", "2", "true", "1, 1", "-1" }) {
    auto const notice = Wire::DecodeNotice(200, Headers("Server-Leaving", text));
    BOOST_TEST(!notice.m_isLeaving, text);
    BOOST_TEST(notice.m_isMalformed, text);
  }
  BOOST_TEST(!Wire::DecodeNotice(200, {}).m_isMalformed);
}

BOOST_FIXTURE_TEST_CASE(AnUpstreamThatAnnouncedLeavingGetsNoRequestAfterTheDrainDelay,
                        NoticeFixture)
{
  Run([&]() -> awaitable<void> {
    SetFault(*m_service, "leaving_header", "1");
    auto const first = co_await Order("r1");
    BOOST_TEST(first.m_status == 200U);
    BOOST_TEST(first.m_headers.Find("Server-Leaving").value_or("") == "1");
    // No other upstream serves, so it is used until the bound.
    auto const second = co_await Order("r2");
    BOOST_TEST(second.m_status == 200U);
    Json::Value outage;
    outage["outage"] = true;
    BOOST_REQUIRE(m_store.Faults().Apply(outage).has_value());
    co_await m_loop.Sleep(kPastDrainDelay);
    auto const third = co_await Order("r3");
    BOOST_TEST(third.m_status == 503U);
    BOOST_TEST(third.m_body.find("upstreams are leaving") != std::string::npos, third.m_body);
    BOOST_TEST(RunsOf("r3") == 0U);
    BOOST_TEST(HasMetric(R"(sardinefold_gateway_upstreams_leaving_total{source="response"} 1)"));
  });
}

BOOST_FIXTURE_TEST_CASE(ARefusalThatAnnouncesLeavingEndsNewRequestsToo, NoticeFixture)
{
  Run([&]() -> awaitable<void> {
    SetFault(*m_service, "leaving_header", "1");
    SetFault(*m_service, "reject_requests", 1);
    auto const first = co_await Order("r1");
    BOOST_TEST(first.m_status == 503U);
    SetFault(*m_service, "leaving_header", "");
    co_await m_loop.Sleep(kPastDrainDelay);
    auto const second = co_await Order("r2");
    BOOST_TEST(second.m_status == 503U);
    BOOST_TEST(RunsOf("r2") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(ARestartedUpstreamServesAgainAfterItAnnouncedLeaving, NoticeFixture)
{
  Run([&]() -> awaitable<void> {
    SetFault(*m_service, "leaving_header", "1");
    co_await Order("r1");
    co_await m_loop.Sleep(kPastDrainDelay);
    auto const refused = co_await Order("r2");
    BOOST_TEST(refused.m_status == 503U);
    SetFault(*m_service, "restart", true);
    co_await m_loop.Sleep(700ms);
    auto const served = co_await Order("r3");
    BOOST_TEST(served.m_status == 200U);
  });
}

BOOST_FIXTURE_TEST_CASE(AMalformedAnnouncementIsCountedAndTheResponseServed, NoticeFixture)
{
  Run([&]() -> awaitable<void> {
    SetFault(*m_service, "leaving_header", "soon");
    auto const first = co_await Order("r1");
    BOOST_TEST(first.m_status == 200U);
    BOOST_TEST(first.m_body == "done /order/x");
    co_await m_loop.Sleep(kPastDrainDelay);
    auto const second = co_await Order("r2");
    BOOST_TEST(second.m_status == 200U);
    BOOST_TEST(HasMetric("sardinefold_gateway_malformed_notices_total 2"));
  });
}

BOOST_FIXTURE_TEST_CASE(ALoaderReportsThatItsEngineLeavesBeforeAnyRequestReadsIt, NoticeFixture)
{
  Run([&]() -> awaitable<void> {
    // The demand keeps the planner from unloading the model at the other engine.
    for (int number = 0; number < 8; ++number) {
      co_await Ask("common", "before" + std::to_string(number));
    }
    SetFault(*m_engines[0], "leaving_header", "1");
    co_await m_loop.Sleep(400ms);
    BOOST_TEST(HasMetric(R"(sardinefold_gateway_upstreams_leaving_total{source="loader"} 1)"));
    auto const runs = RunsAt(*m_engines[0]);
    for (int number = 0; number < 8; ++number) {
      co_await Ask("common", "r" + std::to_string(number));
    }
    BOOST_TEST(RunsAt(*m_engines[0]) == runs);
  });
}

BOOST_FIXTURE_TEST_CASE(AnOpenStreamOfALeavingEngineGoesOn, NoticeFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "leaving_header", "1");
    SetFault(*engine, "event_ms", 350);
  }
  Run([&]() -> awaitable<void> {
    auto request = ModelRequest("/chat/x", "r1", "common");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_body.find("r1.8") != std::string::npos);
    BOOST_TEST(RunsOf("r1") == 1U);
  });
}
