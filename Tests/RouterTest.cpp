#define BOOST_TEST_MODULE Router
#include "Agent/Routing/Router.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace sardinefold;
using namespace std::chrono_literals;
using engine::ReplicaState;

namespace {

base::Instant const kNow{ 1h };
base::ModelId const kModel = base::ModelId::FromValidated("m");

base::UpstreamId Upstream(int aNumber)
{
  return base::UpstreamId::FromValidated("u" + std::to_string(aNumber));
}

agent::Router MakeRouter(int aUpstreams, std::uint64_t aSeed = 1)
{
  agent::Router router(aSeed);
  agent::Placement placement{ kModel, static_cast<unsigned>(aUpstreams), {} };
  for (int number = 0; number < aUpstreams; ++number) {
    router.SetUpstream({ Upstream(number), {}, 1ms, 4 });
    placement.m_holders.push_back({ Upstream(number) });
  }
  router.SetPlacement(placement);
  return router;
}

agent::RouteQuery Query()
{
  agent::RouteQuery query;
  query.m_replica.m_model = kModel;
  query.m_promptTokens = base::Tokens(1000);
  return query;
}

} // namespace

BOOST_AUTO_TEST_CASE(PrefersLoadedThenMemoryThenDiskThenRemote)
{
  auto router = MakeRouter(4);
  router.SetReplica(Upstream(1), { kModel, {} },
                    { ReplicaState::Absent, engine::WeightTier::Disk });
  router.SetReplica(Upstream(2), { kModel, {} },
                    { ReplicaState::Absent, engine::WeightTier::HostMemory });
  router.SetReplica(Upstream(3), { kModel, {} }, { ReplicaState::Loaded });
  std::vector<std::string> order;
  for (int number = 0; number < 4; ++number) {
    auto const decision = router.Choose(Query(), kNow);
    BOOST_REQUIRE(decision);
    order.push_back(decision->m_upstream.Text());
    router.SetAvailable(decision->m_upstream, false);
  }
  BOOST_TEST((order == std::vector<std::string>{ "u3", "u2", "u1", "u0" }));
  BOOST_TEST((router.Choose(Query(), kNow).error() == agent::RouteError::NoUpstream));
}

BOOST_AUTO_TEST_CASE(LongQueueOutweighsALoad)
{
  auto router = MakeRouter(2);
  router.SetReplica(Upstream(0), { kModel, {} }, { ReplicaState::Loaded });
  router.OnLoadReport(Upstream(0), { 4, { 0, 8, 0 }, {} }, kNow);
  BOOST_TEST(router.Choose(Query(), kNow)->m_upstream == Upstream(0));
  router.OnLoadReport(Upstream(0), { 4, { 0, 80, 0 }, {} }, kNow);
  BOOST_TEST(router.Choose(Query(), kNow)->m_upstream == Upstream(1));
}

BOOST_AUTO_TEST_CASE(BatchQueueDoesNotDelayInteractiveRequests)
{
  auto router = MakeRouter(2);
  router.SetReplica(Upstream(0), { kModel, {} }, { ReplicaState::Loaded });
  router.OnLoadReport(Upstream(0), { 3, { 0, 0, 80 }, {} }, kNow);
  auto query = Query();
  query.m_class = operators::RequestClass::Interactive;
  BOOST_TEST(router.Choose(query, kNow)->m_upstream == Upstream(0));
}

BOOST_AUTO_TEST_CASE(OwnRequestsSinceTheReportAreCounted)
{
  auto router = MakeRouter(2);
  for (int number : { 0, 1 }) {
    router.SetReplica(Upstream(number), { kModel, {} }, { ReplicaState::Loaded });
    router.OnLoadReport(Upstream(number), {}, kNow - 1s);
  }
  std::map<std::string, int> sent;
  std::vector<agent::RouteTicket> tickets;
  for (int number = 0; number < 40; ++number) {
    auto const decision = router.Choose(Query(), kNow);
    ++sent[decision->m_upstream.Text()];
    tickets.push_back(decision->m_ticket);
  }
  BOOST_TEST(sent["u0"] >= 16);
  BOOST_TEST(sent["u1"] >= 16);
  for (auto const ticket : tickets) {
    router.OnDone(ticket);
    router.OnDone(ticket);
  }
  BOOST_TEST(router.Choose(Query(), kNow)->m_firstToken < 150ms);
}

BOOST_AUTO_TEST_CASE(RequestsCoveredByAReportAreNotCountedTwice)
{
  agent::UpstreamLoad load;
  load.OnSent(agent::RouteTicket(1), operators::RequestClass::Standard, kNow);
  load.OnSent(agent::RouteTicket(2), operators::RequestClass::Standard, kNow + 2s);
  load.OnReport({ 1, {}, {} }, kNow + 1s);
  auto const wait = [&load] { return load.ExpectedWait(operators::RequestClass::Standard, 1, 1s); };
  BOOST_TEST((wait() == 2s));
  load.OnDone(agent::RouteTicket(1));
  BOOST_TEST((wait() == 1s));
  load.OnReport({ 9, {}, {} }, kNow);
  BOOST_TEST((wait() == 1s));
  load.OnDone(agent::RouteTicket(2));
  BOOST_TEST((wait() == 0s));
}

BOOST_AUTO_TEST_CASE(RoutersAgreeOnOneUpstreamForAColdModel)
{
  std::set<std::string> chosen;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto router = MakeRouter(4, seed);
    for (int number = 0; number < 4; ++number) {
      chosen.insert(router.Choose(Query(), kNow)->m_upstream.Text());
    }
  }
  BOOST_TEST(chosen.size() == 1);
}

BOOST_AUTO_TEST_CASE(SessionStaysOnItsUpstreamUntilTheQueueThereGrows)
{
  auto router = MakeRouter(6);
  for (int number = 0; number < 6; ++number) {
    router.SetReplica(Upstream(number), { kModel, {} }, { ReplicaState::Loaded });
  }
  auto query = Query();
  query.m_session = base::SessionId::FromValidated("s");
  auto const first = router.Choose(query, kNow);
  router.OnDone(first->m_ticket);
  for (int turn = 1; turn < 5; ++turn) {
    auto const next = router.Choose(query, kNow + turn * 1s);
    BOOST_TEST(next->m_upstream == first->m_upstream);
    router.OnDone(next->m_ticket);
  }
  router.OnLoadReport(first->m_upstream, { 4, { 0, 40, 0 }, {} }, kNow + 6s);
  BOOST_TEST(router.Choose(query, kNow + 6s)->m_upstream != first->m_upstream);
}

BOOST_AUTO_TEST_CASE(CacheEventsLoseWeightWithAgeAndGaps)
{
  agent::PrefixCacheEstimate estimate;
  agent::PrefixHash const prefix(7);
  estimate.OnStored(Upstream(0), prefix, agent::CacheEventNumber(1), kNow);
  BOOST_TEST(estimate.Likelihood(Upstream(0), prefix, kNow) == 1.0);
  BOOST_TEST(estimate.Likelihood(Upstream(0), prefix, kNow + 5min) < 0.4);
  estimate.OnStored(Upstream(0), agent::PrefixHash(8), agent::CacheEventNumber(5), kNow);
  BOOST_TEST(estimate.Likelihood(Upstream(0), prefix, kNow) < 0.8);
  estimate.OnEvicted(Upstream(0), prefix, agent::CacheEventNumber(6));
  BOOST_TEST(estimate.Likelihood(Upstream(0), prefix, kNow) == 0.0);
}

BOOST_AUTO_TEST_CASE(ExcludedUpstreamsAreNotChosenInALargeFleet)
{
  auto router = MakeRouter(1000);
  for (int number = 0; number < 995; ++number) {
    router.SetAvailable(Upstream(number), false);
  }
  auto query = Query();
  query.m_excluded = { Upstream(995), Upstream(996) };
  for (int number = 0; number < 200; ++number) {
    auto const decision = router.Choose(query, kNow);
    BOOST_REQUIRE(decision);
    BOOST_TEST(std::stoi(decision->m_upstream.Text().substr(1)) >= 997);
  }
}

BOOST_AUTO_TEST_CASE(ColdModelGoesToAnUpstreamWithFreeMemory)
{
  auto router = MakeRouter(2);
  agent::RouteCosts costs;
  costs.m_memory = base::Bytes(30);
  router.SetCosts(kModel, costs);
  auto const preferred = router.Choose(Query(), kNow)->m_upstream;
  auto const other = preferred == Upstream(0) ? Upstream(1) : Upstream(0);
  router.OnLoadReport(preferred, { 0, {}, base::Bytes(29) }, kNow + 1s);
  router.OnLoadReport(other, { 0, {}, base::Bytes(60) }, kNow + 1s);
  BOOST_TEST(router.Choose(Query(), kNow + 1s)->m_upstream == other);
}

BOOST_AUTO_TEST_CASE(RequestsFollowTheFirstOneOfAColdModel)
{
  auto router = MakeRouter(2);
  agent::RouteCosts costs;
  costs.m_memory = base::Bytes(30);
  router.SetCosts(kModel, costs);
  auto const preferred = router.Find(Query(), kNow)->m_upstream;
  auto const other = preferred == Upstream(0) ? Upstream(1) : Upstream(0);
  router.OnLoadReport(preferred, { 0, {}, base::Bytes(0) }, kNow);
  BOOST_TEST(router.Choose(Query(), kNow)->m_upstream == other);
  router.OnLoadReport(preferred, { 0, {}, base::Bytes(60) }, kNow + 1s);
  BOOST_TEST(router.Choose(Query(), kNow + 1s)->m_upstream == other);
}

BOOST_AUTO_TEST_CASE(ColdRequestsSinceTheReportReserveMemory)
{
  agent::UpstreamLoad load;
  load.OnReport({ 0, {}, base::Bytes(50) }, kNow);
  engine::ReplicaKey const first{ kModel, {} };
  engine::ReplicaKey const second{ base::ModelId::FromValidated("n"), {} };
  load.OnColdSent(first, base::Bytes(30), kNow + 1ms);
  load.OnReport({ 0, {}, base::Bytes(50) }, kNow);
  BOOST_TEST(load.HasRoomFor(first, base::Bytes(30)));
  BOOST_TEST(!load.HasRoomFor(second, base::Bytes(30)));
  load.OnReport({ 0, {}, base::Bytes(50) }, kNow + 1s);
  BOOST_TEST(load.HasRoomFor(second, base::Bytes(30)));
}

BOOST_AUTO_TEST_CASE(UnknownModelIsAnError)
{
  auto router = MakeRouter(1);
  auto query = Query();
  query.m_replica.m_model = base::ModelId::FromValidated("nothing");
  BOOST_TEST((router.Choose(query, kNow).error() == agent::RouteError::UnknownModel));
}
