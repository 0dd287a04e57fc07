#define BOOST_TEST_MODULE LeavingUpstream
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

/// In which a watch that waits as an outage begins has ended.
constexpr auto kWatchTime = 1'600ms;
/// After that, longer than any silence that a gateway takes for ordinary.
constexpr auto kOutage = 3'400ms;

class LeavingFixture : public SiteFixture
{
public:
  /// Turns the gateway away from the store. Engines still write to it.
  void SetOutage(bool aIsOut)
  {
    Json::Value faults;
    faults["outage"] = aIsOut;
    BOOST_REQUIRE(m_store.Faults().Apply(faults).has_value());
  }

  awaitable<unsigned> StatusOfOrder(std::string aId)
  {
    auto request = Request("POST", "/order/x", std::move(aId));
    auto const answer = co_await Send(std::move(request));
    co_return answer ? answer->m_status : 0U;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(TheLongestWayOfALeavingToAGatewayIsWithinItsBound)
{
  // Of an answer within a site, and of a message on its way.
  base::Duration const call = 100ms;
  auto const circuit =
    programs::StoreAccess<platform::Wire::StoreClient>::Circuit().m_backoff.m_maximum;
  auto const retry = programs::StoreFollowerTiming::Catalog().m_backoff.m_maximum;
  auto const connect = programs::GatewayState::EngineClientLimits().m_connectTimeout;
  // Machines are held to the bounds once the store was calm for so long.
  base::Duration const calm = 3s;
  for (base::Duration const drain : { 2s, 3s }) {
    base::SiteBounds bounds;
    bounds.m_maximumDrainDelay = drain;
    auto const outages = programs::StoreFollowerTiming::OutageTrackerLimits(bounds);
    BOOST_TEST((programs::StoreFollowerTiming::BatchTime(bounds) + call + connect + call <= drain));
    BOOST_TEST((circuit + retry + call <= 1s));
    BOOST_TEST((circuit + retry + call + outages.m_reregistrationTime <= calm));
    // What a lapse is told by is over before.
    BOOST_TEST((outages.m_removalTime <= outages.m_reregistrationTime));
  }
}

BOOST_FIXTURE_TEST_CASE(AGatewayThatTheStoreTurnedAwaySendsNothingToAnUpstreamThatLeft,
                        LeavingFixture)
{
  Run([&]() -> awaitable<void> {
    SetOutage(true);
    co_await m_loop.Sleep(kWatchTime + kOutage);
    SetFault(*m_service, "unlisted", true);
    m_store.Remove("servers", "i-desk");
    SetOutage(false);
    co_await m_loop.Sleep(2s);
    auto const status = co_await StatusOfOrder("r1");
    BOOST_TEST(status == 503U);
    BOOST_TEST(RunsOf("r1") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(TheListIsReadWithinASecondOfTheStoresReturn, LeavingFixture)
{
  Run([&]() -> awaitable<void> {
    // Which call the circuit lets through first is chance.
    for (auto const* const id : { "r1", "r2", "r3" }) {
      SetOutage(true);
      co_await m_loop.Sleep(kWatchTime + kOutage);
      SetFault(*m_service, "leaving", true);
      co_await m_loop.Sleep(400ms);
      SetOutage(false);
      co_await m_loop.Sleep(1s);
      auto const status = co_await StatusOfOrder(id);
      BOOST_TEST(status == 503U);
      SetFault(*m_service, "leaving", false);
      co_await m_loop.Sleep(1'500ms);
    }
  });
}

BOOST_FIXTURE_TEST_CASE(EntriesThatLapsedInAnOutageForAllStayInUse, LeavingFixture)
{
  Run([&]() -> awaitable<void> {
    SetOutage(true);
    co_await m_loop.Sleep(kWatchTime);
    for (auto const& engine : m_engines) {
      SetFault(*engine, "unlisted", true);
    }
    SetFault(*m_service, "unlisted", true);
    co_await m_loop.Sleep(kOutage);
    SetOutage(false);
    co_await m_loop.Sleep(1s);
    auto const status = co_await StatusOfOrder("r1");
    BOOST_TEST(status == 200U);
    // The time in which they would have come back is over.
    co_await m_loop.Sleep(2s);
    auto const later = co_await StatusOfOrder("r2");
    BOOST_TEST(later == 503U);
  });
}

BOOST_FIXTURE_TEST_CASE(AnEntryThatCannotBeReadNamesNoUpstream, LeavingFixture)
{
  Run([&]() -> awaitable<void> {
    SetFault(*m_service, "torn_entry", true);
    co_await m_loop.Sleep(1'500ms);
    auto const status = co_await StatusOfOrder("r1");
    BOOST_TEST(status == 503U);
    SetFault(*m_service, "torn_entry", false);
    co_await m_loop.Sleep(1'500ms);
    auto const later = co_await StatusOfOrder("r2");
    BOOST_TEST(later == 200U);
  });
}
