#define BOOST_TEST_MODULE NamedLimit
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

class LimitFixture : public SiteFixture
{
public:
  struct Answers
  {
    unsigned m_served = 0;
    unsigned m_refused = 0;
    /// Refusals that did not say when there is room.
    unsigned m_untimed = 0;
  };

  awaitable<void> Order(base::Endpoint aGateway, std::string aId, Answers& aAnswers)
  {
    auto request = Request("POST", "/order/x", std::move(aId));
    auto const response = co_await m_client.Fetch(std::move(aGateway), std::move(request), 5s);
    bool const isServed = response && response->m_status == 200;
    bool const isRefused = response && response->m_status == 503;
    aAnswers.m_served += isServed ? 1 : 0;
    aAnswers.m_refused += isRefused ? 1 : 0;
    aAnswers.m_untimed += isRefused && !response->m_headers.Find("Retry-After") ? 1 : 0;
  }

  awaitable<void> Ask(std::string aModel, std::string aId)
  {
    auto request = ModelRequest("/chat/x", std::move(aId), std::move(aModel));
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 200U);
  }

  /// Returns the most requests that arrived at the engine within four seconds, from
  /// aFrom on.
  static std::size_t MostInFourSeconds(standins::SiteEngine const& aEngine, base::Instant aFrom)
  {
    auto const& arrivals = aEngine.Arrivals();
    std::size_t most = 0;
    for (auto const& first : arrivals) {
      auto const isWithin = [&](base::Instant aAt) { return aAt >= first && aAt - first <= 4s; };
      most = std::max(
        most,
        first < aFrom ? 0 : static_cast<std::size_t>(std::ranges::count_if(arrivals, isWithin)));
    }
    return most;
  }
};

constexpr double kLimit = 1;
/// One and a half times what the limit allows in four seconds, and five.
constexpr std::size_t kBound = 11;

} // namespace

BOOST_FIXTURE_TEST_CASE(TwoGatewaysDoNotSendMoreThanTheLimitThatAnUpstreamNames, LimitFixture)
{
  Answers answers;
  std::unique_ptr<Gateway> second;
  Run([&]() -> awaitable<void> {
    second = std::make_unique<Gateway>(m_loop, SecondGateway());
    BOOST_REQUIRE(second->Start().has_value());
    co_await m_loop.Sleep(4s);
    SetFault(*m_service, "request_limit_header", std::to_string(kLimit));
    auto const namedAt = m_loop.Now();
    for (int number = 0; number < 60; ++number) {
      for (auto const& gateway : { Callers(), SecondGateway().m_callers.value() }) {
        auto const id = gateway.m_address + "-" + std::to_string(number);
        m_loop.Start(Order(gateway, id, answers));
      }
      co_await m_loop.Sleep(150ms);
    }
    co_await m_loop.Sleep(2s);
    BOOST_TEST(MostInFourSeconds(*m_service, namedAt + 500ms) <= kBound);
    // Each request got an answer, and some were served under the limit.
    BOOST_TEST(answers.m_served + answers.m_refused == 120U);
    BOOST_TEST(answers.m_untimed == 0U);
    BOOST_TEST(std::ranges::count_if(m_service->Arrivals(),
                                     [&](auto const& aAt) { return aAt > namedAt + 3s; }) > 0);
  });
}

BOOST_FIXTURE_TEST_CASE(RequestsGoToAnotherEngineWhileOneIsAtItsLimit, LimitFixture)
{
  Run([&]() -> awaitable<void> {
    SetFault(*m_engines[0], "request_limit_header", "0");
    SetFault(*m_engines[1], "event_ms", 1);
    for (int number = 0; number < 20; ++number) {
      co_await Ask("common", "r" + std::to_string(number));
    }
    BOOST_TEST(m_engines[0]->Arrivals().size() <= 2U);
    BOOST_TEST(m_engines[1]->Arrivals().size() >= 18U);
  });
}

BOOST_FIXTURE_TEST_CASE(AnUpstreamThatNamesNoLimitAnyMoreGetsAllRequests, LimitFixture)
{
  Answers answers;
  Run([&]() -> awaitable<void> {
    co_await m_loop.Sleep(3s);
    SetFault(*m_service, "request_limit_header", "4");
    co_await Order(Callers(), "first", answers);
    SetFault(*m_service, "request_limit_header", "");
    auto const before = answers.m_served;
    for (int attempt = 0; attempt < 20 && answers.m_served == before; ++attempt) {
      co_await Order(Callers(), "probe" + std::to_string(attempt), answers);
    }
    auto const refused = answers.m_refused;
    for (int number = 0; number < 20; ++number) {
      co_await Order(Callers(), "r" + std::to_string(number), answers);
    }
    BOOST_TEST(answers.m_refused == refused);
    co_await m_loop.Sleep(200ms);
    auto const metrics = m_gateway->Metrics().Render();
    BOOST_TEST(metrics.find("sardinefold_gateway_request_limits 0") != std::string::npos);
  });
}
