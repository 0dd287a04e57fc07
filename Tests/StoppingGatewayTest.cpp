#define BOOST_TEST_MODULE StoppingGateway
#include "Tests/Support/SiteFixture.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <list>
#include <optional>

// A stopping process took requests that it could not finish, and ended with the
// connections of their callers open.

using namespace sardinefold;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;
using boost::asio::ip::tcp;

namespace {

constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr base::Duration kGrace = 4s;
/// Streams are not broken off earlier in the grace.
constexpr base::Duration kLate = 3300ms;

struct Outcome
{
  std::string m_id;
  std::string m_target;
  /// 0 while there is none, 1 if the connection ended without a complete response.
  unsigned m_status = 0;
  bool m_isTaken = true;
  std::optional<base::Duration> m_sentAt;
  std::string m_retryAfter;
  base::Duration m_at{};
};

/// A site whose gateway stops while requests of every kind arrive.
class StoppingFixture : public SiteFixture
{
public:
  /// Sends one request on a connection that is kept since before the stop, or a new one.
  awaitable<void> SendAt(std::string aTarget, std::string aModel, base::Duration aAt, bool aIsKept)
  {
    base::HttpClient client(m_loop, {});
    auto& outcome = AddOutcome(aTarget);
    if (aIsKept) {
      auto first = Request("GET", "/look/first", "warm-" + outcome.m_id);
      auto endpoint = Callers();
      co_await client.Fetch(std::move(endpoint), std::move(first), 2s);
    }
    co_await m_loop.Sleep(m_stopAt + aAt - m_loop.Now());
    outcome.m_sentAt = m_loop.Now() - m_stopAt;
    auto request = aModel.empty() ? Request("POST", aTarget, outcome.m_id)
                                  : ModelRequest(aTarget, outcome.m_id, aModel);
    auto endpoint = Callers();
    auto const response = co_await client.Fetch(std::move(endpoint), std::move(request), 6s);
    outcome.m_at = m_loop.Now() - m_stopAt;
    outcome.m_status = response ? response->m_status : 1;
    outcome.m_isTaken = response || response.error().m_mayHaveBeenSent;
    outcome.m_retryAfter =
      response ? std::string(response->m_headers.Find("Retry-After").value_or("")) : "";
  }

  /// Sends a request whose body ends at the given time, or never.
  awaitable<void> SendInPieces(std::string aTarget, std::optional<base::Duration> aEndsAt)
  {
    auto& outcome = AddOutcome(aTarget);
    tcp::socket socket(m_loop.Context());
    socket.connect({ boost::asio::ip::make_address(Callers().m_address), Callers().m_port });
    co_await m_loop.Sleep(m_stopAt + 2s - m_loop.Now());
    outcome.m_sentAt = 2s;
    auto const head = "POST " + aTarget +
                      " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + outcome.m_id +
                      "\r\nDeadline-Ms: 5000\r\nAuthorization: Bearer key-1\r\n"
                      "Content-Length: 4\r\n\r\nab";
    co_await boost::asio::async_write(socket, boost::asio::buffer(head), kAwait);
    if (aEndsAt) {
      co_await m_loop.Sleep(m_stopAt + *aEndsAt - m_loop.Now());
      co_await boost::asio::async_write(socket, boost::asio::buffer("cd", 2), kAwait);
    }
    std::array<char, 1024> part{};
    auto const [error, size] = co_await socket.async_read_some(boost::asio::buffer(part), kAwait);
    std::string const text(part.data(), size);
    outcome.m_at = m_loop.Now() - m_stopAt;
    outcome.m_status =
      text.starts_with("HTTP/1.1 ") ? static_cast<unsigned>(std::stoul(text.substr(9, 3))) : 1;
  }

  /// Starts requests of every kind throughout the grace, and stops the gateway.
  awaitable<void> Stop()
  {
    m_stopAt = m_loop.Now() + 1s;
    m_gateway->State().m_profile.m_bounds.m_stopGrace = kGrace;
    for (base::Duration at = -400ms; at < 3600ms; at += 150ms) {
      for (bool const isKept : { false, true }) {
        m_loop.Start(SendAt("/order/x", "", at, isKept));
        m_loop.Start(SendAt("/look/x", "", at, isKept));
      }
      m_loop.Start(SendAt("/chat/x", "common", at, true));
      m_loop.Start(SendAt("/once/x", "common", at, false));
      m_loop.Start(SendAt("/chat/x", "unheard-of", at, true));
    }
    for (base::Duration at = 2200ms; at < 3600ms; at += 150ms) {
      m_loop.Start(SendInPieces("/order/x", at));
      m_loop.Start(SendInPieces("/look/x", at));
    }
    m_loop.Start(SendInPieces("/order/x", std::nullopt));
    co_await m_loop.Sleep(m_stopAt - m_loop.Now());
    m_onStop();
    m_loop.Start(StopAgain());
    co_await m_gateway->Shutdown();
    m_stoppedAt = m_loop.Now() - m_stopAt;
  }

  awaitable<void> StopAgain()
  {
    co_await m_loop.Sleep(1s);
    co_await m_gateway->Shutdown();
  }

  void CheckOutcomes()
  {
    BOOST_TEST((m_stoppedAt < kGrace));
    BOOST_TEST(m_gateway->CutOffByStop() == 0U);
    for (auto const& outcome : m_outcomes) {
      BOOST_TEST_CONTEXT(outcome.m_id << " " << outcome.m_target << " at "
                                      << base::ToMilliseconds(outcome.m_at) << " ms, status "
                                      << outcome.m_status)
      {
        // Those of the last moment may find the loop of the test stopped.
        bool const isSent = outcome.m_sentAt && *outcome.m_sentAt < m_stoppedAt - 20ms;
        BOOST_TEST((!isSent || outcome.m_status != 0U));
        bool const isStream =
          outcome.m_target.starts_with("/chat") || outcome.m_target.starts_with("/once");
        if (outcome.m_isTaken && outcome.m_status == 1) {
          BOOST_TEST(isStream);
          BOOST_TEST((outcome.m_at >= kLate));
        }
        if (outcome.m_status == 503) {
          BOOST_TEST(RunsOf(outcome.m_id) == 0U);
        }
        if (outcome.m_target == "/order/x") {
          BOOST_TEST(RunsOf(outcome.m_id) <= 1U);
        }
      }
    }
  }

  std::size_t Count(std::string const& aTarget, unsigned aStatus) const
  {
    return static_cast<std::size_t>(
      std::count_if(m_outcomes.begin(), m_outcomes.end(), [&](Outcome const& aOutcome) {
        return aOutcome.m_target == aTarget && aOutcome.m_status == aStatus;
      }));
  }

  std::function<void()> m_onStop = [] {};
  std::list<Outcome> m_outcomes;
  base::Instant m_stopAt{};
  base::Duration m_stoppedAt{};

private:
  Outcome& AddOutcome(std::string const& aTarget)
  {
    auto& outcome = m_outcomes.emplace_back();
    outcome.m_id = "r" + std::to_string(m_outcomes.size());
    outcome.m_target = aTarget;
    return outcome;
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(EveryRequestIsAnsweredBeforeTheEndOfAStop, StoppingFixture)
{
  for (auto const& engine : m_engines) {
    SetFault(*engine, "event_ms", 100);
  }
  SetFault(*m_service, "delay_ms", 100);
  Run([&]() -> awaitable<void> { co_await Stop(); });
  CheckOutcomes();
  // Those that come before the load balancer has reacted are served as usual.
  BOOST_TEST(Count("/order/x", 200) >= 20U);
  BOOST_TEST(Count("/look/x", 200) >= 30U);
  BOOST_TEST(Count("/chat/x", 200) >= 15U);
  BOOST_TEST(Count("/once/x", 200) >= 15U);
}

BOOST_FIXTURE_TEST_CASE(EveryRequestIsAnsweredBeforeTheEndOfAStopBesideSilentUpstreams,
                        StoppingFixture)
{
  m_onStop = [&] {
    for (auto const& engine : m_engines) {
      SetFault(*engine, "event_ms", 800);
    }
    SetFault(*m_service, "delay_ms", 6'000);
  };
  Run([&]() -> awaitable<void> { co_await Stop(); });
  CheckOutcomes();
}

BOOST_FIXTURE_TEST_CASE(AStoppingGatewayWithoutConfigurationSendsItsCallersElsewhere, SiteFixture)
{
  Run([&]() -> awaitable<void> {
    m_gateway->State().m_catalog.reset();
    m_gateway->State().m_profile.m_bounds.m_stopGrace = 1s;
    m_loop.Start(m_gateway->Shutdown());
    auto request = Request("POST", "/order/x", "r1");
    auto const response = co_await Send(std::move(request));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->m_status == 503U);
    BOOST_TEST(response->m_headers.Find("Retry-After").value_or("") == "0.100");
  });
}

BOOST_AUTO_TEST_CASE(OnlyWhatSurelyEndsIsBegunOnceTheWaitsHaveEnded)
{
  base::Instant const start{ 100s };
  auto const times = caller::StopTimes::Plan(start, 8s);
  BOOST_TEST((times.m_end == start + 7s));
  BOOST_TEST((times.m_exit == start + 7500ms));
  caller::StopPolicy const policy(times.m_waitEnd, times.m_end);
  operators::RouteRule route;
  auto const mayBegin = [&](operators::Repeatability aKind, base::Duration aAt,
                            base::Duration aEnd) {
    route.m_repeatability = aKind;
    return policy.MayBegin(route, start + aEnd, start + aAt);
  };
  using Kind = operators::Repeatability;
  for (auto const kind : { Kind::Idempotent, Kind::AtMostOnce, Kind::Stream }) {
    BOOST_TEST(mayBegin(kind, 5s, 6850ms));
    BOOST_TEST(!mayBegin(kind, 5s, 6851ms));
    BOOST_TEST(mayBegin(kind, 1s, 15s) == (kind != Kind::AtMostOnce));
    BOOST_TEST(!mayBegin(kind, 2300ms, 15s));
  }
  BOOST_TEST((policy.LimitOf(start + 15s) == start + 6850ms));
  BOOST_TEST((policy.LimitOf(start + 3s) == start + 3s));
  BOOST_TEST(caller::StopPolicy(std::nullopt, std::nullopt).MayBegin(route, start + 15s, start));
}
