#define BOOST_TEST_MODULE DrainingUpstream
#include "Tests/Support/SiteFixture.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using tests::SiteFixture;
using namespace std::chrono_literals;
using boost::asio::awaitable;

namespace {

/// Time after which a watch that was open when the outage began has ended.
constexpr auto kWatchTimeout = 1'600ms;
/// Further outage, longer than any interval without contact that a gateway
/// takes for normal.
constexpr auto kOutageDuration = 3'400ms;

class DrainingFixture : public SiteFixture
{
public:
  /// Makes the store refuse the gateway. Engines can still write to the store.
  void SetOutage(bool aIsOut)
  {
    Json::Value faults;
    faults["outage"] = aIsOut;
    BOOST_REQUIRE(m_store.Faults().Apply(faults).has_value());
  }

  awaitable<unsigned> StatusOfOrder(std::string aId)
  {
    auto request = Request("POST", "/order/x", std::move(aId));
    auto const response = co_await Send(std::move(request));
    co_return response ? response->m_status : 0U;
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(TheMaximumDelayOfADrainNoticeIsWithinItsBound)
{
  // Time for a response within a site, or for the delivery of a message.
  base::Duration const call = 100ms;
  auto const circuit =
    programs::StoreAccess<platform::Wire::StoreClient>::Circuit().m_backoff.m_maximum;
  auto const retry = programs::StoreFollowerTiming::Catalog().m_backoff.m_maximum;
  auto const connect = programs::GatewayState::EngineClientLimits().m_connectTimeout;
  // Hosts have to meet the bounds once the store has been available this long.
  base::Duration const healthyTime = 3s;
  for (base::Duration const drain : { 2s, 3s, 4s }) {
    base::SiteBounds bounds;
    bounds.m_maximumDrainDelay = drain;
    auto const outages = programs::StoreFollowerTiming::OutageTrackerLimits(bounds);
    auto const batch = programs::StoreFollowerTiming::BatchTime(bounds);
    auto const parts = programs::StoreFollowerTiming::kPartInterval *
                       (programs::StoreFollowerTiming::kMaximumParts - 1);
    BOOST_TEST((batch + call + parts + connect + call <= drain));
    // A process that lacks an update reads the store itself.
    auto const gap = programs::StoreFollowerTiming::kUpdateInterval +
                     programs::StoreFollowerTiming::Upstreams(bounds).m_gapTime;
    BOOST_TEST((batch + call + parts + gap + call + connect <= drain));
    BOOST_TEST((circuit + retry + call <= 1s));
    BOOST_TEST((circuit + retry + call + outages.m_reregistrationTime <= healthyTime));
    // The period in which removals are reported ends before re-registration does.
    BOOST_TEST((outages.m_removalTime <= outages.m_reregistrationTime));
  }
}

BOOST_AUTO_TEST_CASE(AFollowerWhoseWatchersLoseTheStoreLearnsOfALeavingInTime)
{
  constexpr base::Instant kContact{ 1000s };
  base::Duration const call = 100ms;
  auto const connect = programs::GatewayState::EngineClientLimits().m_connectTimeout;
  std::map<base::HostId, base::Endpoint> neighbours;
  for (auto const* const name : { "a", "b", "c" }) {
    neighbours.emplace(base::HostId::FromValidated(name), base::Endpoint{ name, 1 });
  }
  for (base::Duration const drain : { 2s, 3s, 4s }) {
    base::SiteBounds bounds;
    bounds.m_maximumDrainDelay = drain;
    entry::WatchRole follower(programs::StoreFollowerTiming::RoleLimits(bounds),
                              base::HostId::FromValidated("c"));
    // The upstream leaves right after the store responded to the watchers the last time.
    base::Duration age{};
    auto const isSuspended = [&] {
      auto const now = kContact + age;
      follower.OnNeighbours(neighbours, {}, now);
      follower.OnUpdate(base::HostId::FromValidated("a"), base::StoreEra(), age, age, now);
      return follower.MaySuspendListWatch(now);
    };
    while (isSuspended()) {
      age += 100ms;
    }
    BOOST_TEST((age + call + connect + call <= drain));
    // Updates that arrive as usual are relied on.
    auto const usual = programs::StoreFollowerTiming::BatchTime(bounds) + call +
                       programs::StoreFollowerTiming::kUpdateInterval;
    BOOST_TEST((usual < age));
  }
}

BOOST_FIXTURE_TEST_CASE(AGatewayReconnectedToTheStoreSendsNothingToARemovedUpstream,
                        DrainingFixture)
{
  Run([&]() -> awaitable<void> {
    SetOutage(true);
    co_await m_loop.Sleep(kWatchTimeout + kOutageDuration);
    SetFault(*m_service, "unlisted", true);
    m_store.Remove("servers", "i-desk");
    SetOutage(false);
    co_await m_loop.Sleep(2s);
    auto const status = co_await StatusOfOrder("r1");
    BOOST_TEST(status == 503U);
    BOOST_TEST(RunsOf("r1") == 0U);
  });
}

BOOST_FIXTURE_TEST_CASE(TheListIsReadWithinASecondOfTheStoresRecovery, DrainingFixture)
{
  Run([&]() -> awaitable<void> {
    // Repeated, as it is random which call the circuit breaker lets through first.
    for (auto const* const id : { "r1", "r2", "r3" }) {
      SetOutage(true);
      co_await m_loop.Sleep(kWatchTimeout + kOutageDuration);
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

BOOST_FIXTURE_TEST_CASE(EntriesThatLapsedInASharedOutageStayInUse, DrainingFixture)
{
  Run([&]() -> awaitable<void> {
    SetOutage(true);
    co_await m_loop.Sleep(kWatchTimeout);
    for (auto const& engine : m_engines) {
      SetFault(*engine, "unlisted", true);
    }
    SetFault(*m_service, "unlisted", true);
    co_await m_loop.Sleep(kOutageDuration);
    SetOutage(false);
    co_await m_loop.Sleep(1s);
    auto const status = co_await StatusOfOrder("r1");
    BOOST_TEST(status == 200U);
    // The time for the entries to register again is over.
    co_await m_loop.Sleep(2s);
    auto const later = co_await StatusOfOrder("r2");
    BOOST_TEST(later == 503U);
  });
}

BOOST_FIXTURE_TEST_CASE(AnEntryThatCannotBeReadNamesNoUpstream, DrainingFixture)
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
