#define BOOST_TEST_MODULE WarmUp
#include "Engine/UpstreamDirectory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace sardinefold;
using namespace sardinefold::engine;
using namespace std::chrono_literals;

// Upstreams that have just started crash if all gateways send them their usual requests.
// The gateways cannot ask each other before each request, and learn of a start at
// different times or not at all.

namespace {

constexpr base::Instant kStart{ 1000s };
/// More than 3 s after the first report, so that gateways rely on their number.
constexpr base::Instant kSettled = kStart + 5s;
auto const kDeployment = base::DeploymentId::FromValidated("assistant");
auto const kOther = base::DeploymentId::FromValidated("desk");
auto const kModel = base::ModelId::FromValidated("rare");
/// 21.5 requests in any second.
WarmUpTerms const kTerms{ 3s, 11, 11 * 1.5 + 5 };

UpstreamEntry Entry(unsigned aNumber, std::int64_t aStartedAt, base::Duration aWarmUpLeft)
{
  UpstreamEntry entry;
  entry.m_instance = InstanceId::FromValidated("upstream-" + std::to_string(aNumber));
  entry.m_deployment = kDeployment;
  entry.m_endpoint = { "10.0.0.1", static_cast<std::uint16_t>(aNumber + 1) };
  entry.m_failureDomain = base::FailureDomainId::FromValidated("a");
  entry.m_startedAt = aStartedAt;
  entry.m_warmUpLeft = aWarmUpLeft;
  entry.m_models = { { kModel, {} } };
  return entry;
}

UpstreamDirectory MakeGateway(std::uint64_t aSeed, unsigned aGatewaysReported)
{
  UpstreamDirectory directory({}, base::FailureDomainId::FromValidated("a"), aSeed);
  directory.WarmUps().SetTerms({ { kDeployment, kTerms } });
  directory.WarmUps().OnProcessCount(aGatewaysReported, kStart);
  return directory;
}

/// Returns whether the gateway sends a request now.
bool Send(UpstreamDirectory& aGateway, base::Instant aNow, std::string* aUpstream = nullptr)
{
  auto const found = aGateway.Find({ kDeployment, kModel, std::nullopt, {} }, aNow);
  auto const* const choice = std::get_if<UpstreamChoice>(&found);
  if (!choice) {
    return false;
  }
  aGateway.OnSent(choice->m_instance);
  bool const isSent = aGateway.WarmUps().Use(choice->m_instance, std::nullopt, aNow).has_value();
  if (!isSent) {
    aGateway.WarmUps().Return(choice->m_instance);
  }
  aGateway.OnDone(choice->m_instance, false);
  if (aUpstream) {
    *aUpstream = choice->m_instance.Text();
  }
  return isSent;
}

/// The requests that arrived at each upstream.
class Arrivals
{
public:
  void Add(std::string const& aUpstream, base::Instant aAt) { m_times[aUpstream].push_back(aAt); }
  /// Returns the most requests of any upstream in any second between the times.
  std::size_t MostInASecond(base::Instant aFrom, base::Instant aTo) const
  {
    std::size_t most = 0;
    for (auto const& [upstream, times] : m_times) {
      auto sorted = times;
      std::ranges::sort(sorted);
      std::size_t first = 0;
      for (std::size_t last = 0; last < sorted.size(); ++last) {
        first = sorted[last] < aFrom || sorted[last] >= aTo ? last + 1 : first;
        while (first < last && sorted[last] - sorted[first] > 1s) {
          ++first;
        }
        most = std::max(most, last + 1 - std::min(first, last + 1));
      }
    }
    return most;
  }
  std::size_t Count(base::Instant aFrom, base::Instant aTo) const
  {
    std::size_t count = 0;
    for (auto const& [upstream, times] : m_times) {
      count += static_cast<std::size_t>(std::ranges::count_if(
        times, [&](auto const& aTime) { return aTime >= aFrom && aTime < aTo; }));
    }
    return count;
  }

private:
  std::map<std::string, std::vector<base::Instant>> m_times;
};

/// Gateways that each have far more requests than the upstreams bear.
struct Fleet
{
  explicit Fleet(unsigned aGateways, std::optional<unsigned> aReported = std::nullopt)
  {
    for (unsigned number = 0; number < aGateways; ++number) {
      m_gateways.push_back(MakeGateway(number + 1, aReported.value_or(aGateways)));
    }
  }

  /// All gateways try all the time until then; each try may send several requests.
  void RunUntil(base::Instant aEnd)
  {
    for (; m_now < aEnd; m_now += 10ms) {
      for (auto& gateway : m_gateways) {
        std::string upstream;
        unsigned tries = 0;
        while (tries < 5 && Send(gateway, m_now, &upstream)) {
          m_arrivals.Add(upstream, m_now);
          ++tries;
        }
      }
    }
  }

  void List(unsigned aGateway, UpstreamEntry const& aEntry,
            EntrySource aSource = EntrySource::Change)
  {
    m_gateways[aGateway].OnListed(aEntry, m_now, aSource);
  }

  std::vector<UpstreamDirectory> m_gateways;
  base::Instant m_now = kSettled;
  Arrivals m_arrivals;
};

constexpr std::size_t kBound = 21;

} // namespace

/// Every gateway sends as much as it may; what each learns comes up to 300 ms late.
BOOST_AUTO_TEST_CASE(FleetsOfAnySizeKeepTheBoundAndUseAPartOfIt)
{
  for (unsigned const gateways : { 1U, 2U, 4U, 5U, 7U, 11U, 20U, 21U, 22U, 26U, 43U, 103U, 400U }) {
    Fleet fleet(gateways);
    constexpr unsigned kUpstreams = 12;
    std::mt19937_64 random(gateways);
    for (unsigned gateway = 0; gateway < gateways; ++gateway) {
      auto const delay = std::chrono::milliseconds(random() % 300);
      fleet.m_now = kSettled + delay;
      for (unsigned upstream = 0; upstream < kUpstreams; ++upstream) {
        fleet.List(gateway, Entry(upstream, 7, 3s));
      }
    }
    fleet.m_now = kSettled;
    fleet.RunUntil(kSettled + 3s);
    BOOST_TEST_CONTEXT("gateways " << gateways)
    {
      BOOST_TEST(fleet.m_arrivals.MostInASecond(kSettled, kSettled + 3s) <= kBound);
      // A fifth of what the upstreams bear, in each second.
      auto const least = static_cast<std::size_t>(kUpstreams * 11 * 3 / 5);
      BOOST_TEST(fleet.m_arrivals.Count(kSettled, kSettled + 3s) >= least);
    }
    fleet.RunUntil(kSettled + 4s);
    BOOST_TEST(fleet.m_arrivals.Count(kSettled + 3500ms, kSettled + 4s) >= 200U);
  }
}

/// The share is sound for many starts, not just for those of one test.
BOOST_AUTO_TEST_CASE(PermitsOfAllProcessesStayUnderTheBoundForEachStart)
{
  std::mt19937_64 random(3);
  for (unsigned const processes : { 2U, 4U, 12U, 26U, 103U }) {
    WarmUpShare const share(kTerms, processes);
    for (unsigned start = 0; start < 20'000; ++start) {
      unsigned permits = 0;
      for (unsigned process = 0; process < processes; ++process) {
        permits += share.PermitsFor(std::uniform_real_distribution<>(0, 1)(random));
      }
      BOOST_REQUIRE_LE(permits, kBound);
    }
  }
}

/// The requests of the second before a gateway learns of the warm-up count as well.
BOOST_AUTO_TEST_CASE(RequestsBeforeTheNewsCountAgainstTheShare)
{
  Fleet fleet(4);
  for (unsigned gateway = 0; gateway < 4; ++gateway) {
    fleet.List(gateway, Entry(0, 7, 0s), EntrySource::FirstList);
    for (unsigned request = 0; request < 4; ++request) {
      BOOST_TEST(Send(fleet.m_gateways[gateway], fleet.m_now));
    }
    fleet.List(gateway, Entry(0, 7, 3s));
    BOOST_TEST(!Send(fleet.m_gateways[gateway], fleet.m_now + 900ms));
    BOOST_TEST(Send(fleet.m_gateways[gateway], fleet.m_now + 1300ms));
  }
}

/// Each of two gateways is told that it is the only one.
BOOST_AUTO_TEST_CASE(TwoGatewaysThatBelieveTheyAreAloneKeepTheBound)
{
  Fleet fleet(2, 1);
  for (unsigned gateway = 0; gateway < 2; ++gateway) {
    fleet.List(gateway, Entry(0, 7, 3s));
  }
  fleet.RunUntil(kSettled + 3s);
  BOOST_TEST(fleet.m_arrivals.MostInASecond(kSettled, kSettled + 3s) <= kBound);
  BOOST_TEST(fleet.m_arrivals.Count(kSettled, kSettled + 3s) > 0U);
}

/// The links between two halves of the fleet break, and each half counts only itself.
BOOST_AUTO_TEST_CASE(AFleetThatFallsApartKeepsTheShareOfTheWhole)
{
  Fleet fleet(26);
  for (unsigned gateway = 0; gateway < 26; ++gateway) {
    fleet.m_gateways[gateway].WarmUps().OnProcessCount(13, kSettled);
    fleet.List(gateway, Entry(0, 7, 3s));
  }
  fleet.RunUntil(kSettled + 3s);
  BOOST_TEST(fleet.m_arrivals.MostInASecond(kSettled, kSettled + 3s) <= kBound);
}

/// A gateway that has just started may not know the others yet.
BOOST_AUTO_TEST_CASE(AGatewayWaitsUntilItKnowsTheFleet)
{
  UpstreamDirectory unknowing({}, base::FailureDomainId::FromValidated("a"), 1);
  unknowing.WarmUps().SetTerms({ { kDeployment, kTerms } });
  unknowing.OnListed(Entry(0, 7, 3s), kSettled, EntrySource::FirstList);
  BOOST_TEST(!Send(unknowing, kSettled));
  auto const young = [](base::Instant aAt) {
    auto gateway = MakeGateway(1, 4);
    gateway.OnListed(Entry(0, 7, 10s), kStart + 1s, EntrySource::FirstList);
    return Send(gateway, aAt);
  };
  BOOST_TEST(!young(kStart + 1s));
  BOOST_TEST(!young(kStart + 2900ms));
  BOOST_TEST(young(kStart + 3s));
}

/// An upstream starts again in the middle of its warm-up, first for some gateways.
BOOST_AUTO_TEST_CASE(ARestartInTheMiddleBeginsAnotherWarmUp)
{
  Fleet fleet(26);
  for (unsigned gateway = 0; gateway < 26; ++gateway) {
    fleet.List(gateway, Entry(0, 7, 3s));
  }
  fleet.RunUntil(kSettled + 2s);
  for (unsigned gateway = 0; gateway < 26; gateway += 2) {
    fleet.List(gateway, Entry(0, 9, 3s));
  }
  fleet.RunUntil(kSettled + 2400ms);
  for (unsigned gateway = 1; gateway < 26; gateway += 2) {
    fleet.List(gateway, Entry(0, 9, 2600ms));
  }
  fleet.RunUntil(kSettled + 5s);
  BOOST_TEST(fleet.m_arrivals.MostInASecond(kSettled, kSettled + 5s) <= kBound);
}

/// The upstream does not say how long it warms up, or another writer's entry leaves it out.
BOOST_AUTO_TEST_CASE(AStartThatBecomesKnownLaterWarmsUpForTheWholeTime)
{
  auto gateway = MakeGateway(1, 4);
  auto& warmUps = gateway.WarmUps();
  auto const isWarmingUp = [&](unsigned aNumber, base::Instant aNow) {
    return warmUps.IsWarmingUp(Entry(aNumber, 0, 0s).m_instance, aNow);
  };
  gateway.OnListed(Entry(0, 7, 0s), kSettled, EntrySource::FirstList);
  BOOST_TEST(!isWarmingUp(0, kSettled));
  gateway.OnListed(Entry(1, 7, 0s), kSettled);
  BOOST_TEST(isWarmingUp(1, kSettled + 2900ms));
  BOOST_TEST(!isWarmingUp(1, kSettled + 3s));
  // Its entry changes as it loads a model.
  gateway.OnListed(Entry(1, 7, 0s), kSettled + 4s);
  BOOST_TEST(!isWarmingUp(1, kSettled + 4s));
  gateway.OnListed(Entry(0, 9, 0s), kSettled);
  BOOST_TEST(isWarmingUp(0, kSettled + 2900ms));
  // It started again after its host's clock was set back.
  gateway.OnListed(Entry(0, 5, 0s), kSettled + 10s);
  BOOST_TEST(isWarmingUp(0, kSettled + 12900ms));
}

BOOST_AUTO_TEST_CASE(AnUpstreamMayWarmUpAgainAndNoEntryShortensIt)
{
  auto gateway = MakeGateway(1, 4);
  auto& warmUps = gateway.WarmUps();
  auto const instance = Entry(0, 7, 0s).m_instance;
  gateway.OnListed(Entry(0, 7, 0s), kSettled, EntrySource::FirstList);
  gateway.OnListed(Entry(0, 7, 4s), kSettled + 10s);
  gateway.OnListed(Entry(0, 7, 0s), kSettled + 11s);
  BOOST_TEST(warmUps.IsWarmingUp(instance, kSettled + 13900ms));
  BOOST_TEST(!warmUps.IsWarmingUp(instance, kSettled + 14200ms));
}

/// Entries lapse while the store is down, and return; nothing started meanwhile.
BOOST_AUTO_TEST_CASE(AnEntryThatReturnsWithTheSameStartDoesNotWarmUp)
{
  auto gateway = MakeGateway(1, 4);
  auto const entry = Entry(0, 7, 0s);
  gateway.OnListed(entry, kSettled, EntrySource::FirstList);
  gateway.OnRemoved(entry.m_instance, std::nullopt, kSettled + 1s);
  gateway.Expire(kSettled + 1s, kSettled + 1s);
  BOOST_TEST(gateway.Size() == 0U);
  gateway.OnListed(entry, kSettled + 20s);
  BOOST_TEST(!gateway.WarmUps().IsWarmingUp(entry.m_instance, kSettled + 20s));
}

/// A loader sees its engine's restart before the list tells it.
BOOST_AUTO_TEST_CASE(ARestartThatALoaderReportsBeginsAWarmUp)
{
  auto gateway = MakeGateway(1, 4);
  auto& warmUps = gateway.WarmUps();
  auto const instance = Entry(0, 7, 0s).m_instance;
  gateway.OnListed(Entry(0, 7, 0s), kSettled, EntrySource::FirstList);
  LoaderStatus status;
  status.m_engine = Entry(0, 7, 0s).m_endpoint;
  status.m_engineStart = 7;
  gateway.OnLoaderStatus(status, kSettled);
  BOOST_TEST(!warmUps.IsWarmingUp(instance, kSettled));
  status.m_engineStart = 9;
  gateway.OnLoaderStatus(status, kSettled);
  BOOST_TEST(warmUps.IsWarmingUp(instance, kSettled + 2900ms));
  // The list repeats the earlier start, and then tells the later one.
  gateway.OnListed(Entry(0, 7, 0s), kSettled + 1s);
  gateway.OnListed(Entry(0, 9, 1s), kSettled + 2s);
  BOOST_TEST(warmUps.IsWarmingUp(instance, kSettled + 3050ms));
  BOOST_TEST(!warmUps.IsWarmingUp(instance, kSettled + 3200ms));
}

/// Connections are set up while requests are on their way; what counts is when they are
/// written.
BOOST_AUTO_TEST_CASE(PermitsAreReservedUntilTheRequestIsWritten)
{
  auto gateway = MakeGateway(1, 4);
  auto& warmUps = gateway.WarmUps();
  auto const instance = Entry(0, 7, 0s).m_instance;
  gateway.OnListed(Entry(0, 7, 10s), kSettled);
  unsigned permits = 0;
  while (permits < kBound && warmUps.IsOpen(instance, kSettled)) {
    warmUps.Reserve(instance);
    ++permits;
  }
  BOOST_TEST(permits >= 3U);
  BOOST_TEST(permits <= 4U);
  BOOST_TEST((warmUps.OpensAt(instance, kSettled) > kSettled));
  // Reserved, but only written after the window.
  auto const later = kSettled + 2s;
  BOOST_TEST(!warmUps.IsOpen(instance, later));
  auto const usedAt = warmUps.Use(instance, std::nullopt, later);
  BOOST_TEST(usedAt.has_value());
  // The connection was closed before the request was written, and another one opened.
  BOOST_TEST(warmUps.Use(instance, usedAt, later + 100ms).has_value());
  BOOST_TEST(!warmUps.IsOpen(instance, later + 100ms));
  // An attempt that is not written gives its permit back.
  warmUps.Return(instance);
  BOOST_TEST(warmUps.IsOpen(instance, later + 100ms));
}

/// Connections are being set up as the news of a warm-up comes.
BOOST_AUTO_TEST_CASE(RequestsThatWereChosenBeforeTheNewsAreWithdrawn)
{
  auto gateway = MakeGateway(1, 4);
  auto& warmUps = gateway.WarmUps();
  auto const instance = Entry(0, 7, 0s).m_instance;
  gateway.OnListed(Entry(0, 7, 0s), kSettled, EntrySource::FirstList);
  constexpr unsigned kRequests = 20;
  for (unsigned request = 0; request < kRequests; ++request) {
    warmUps.Reserve(instance);
  }
  gateway.OnListed(Entry(0, 7, 3s), kSettled);
  unsigned written = 0;
  for (unsigned request = 0; request < kRequests; ++request) {
    written += warmUps.Use(instance, std::nullopt, kSettled) ? 1 : 0;
  }
  BOOST_TEST(written >= 3U);
  BOOST_TEST(written <= 4U);
}

BOOST_AUTO_TEST_CASE(RequestsGoToWarmUpstreamsAndElseAreToldWhenToCome)
{
  auto gateway = MakeGateway(1, 4);
  gateway.OnListed(Entry(0, 7, 3s), kSettled);
  gateway.OnListed(Entry(1, 7, 0s), kSettled, EntrySource::FirstList);
  UpstreamQuery query{ kDeployment, kModel, std::nullopt, {} };
  auto const warm = Entry(1, 7, 0s).m_instance;
  BOOST_TEST((std::get<UpstreamChoice>(gateway.Find(query, kSettled)).m_instance == warm));
  query.m_excluded.insert(warm);
  auto const warming = Entry(0, 7, 0s).m_instance;
  for (unsigned request = 0; request < kBound; ++request) {
    gateway.WarmUps().Use(warming, std::nullopt, kSettled);
  }
  BOOST_TEST(
    (std::get<UpstreamAbsence>(gateway.Find(query, kSettled)) == UpstreamAbsence::WarmingUp));
  auto const opensAt = gateway.WarmUpOpensAt(query, kSettled);
  BOOST_REQUIRE(opensAt.has_value());
  BOOST_TEST((*opensAt == kSettled + WarmUpShare::kWindow));
  BOOST_TEST(std::holds_alternative<UpstreamChoice>(gateway.Find(query, *opensAt)));
}

/// Deployments without terms are served as before, whatever their entries say.
BOOST_AUTO_TEST_CASE(DeploymentsWithoutTermsAreNotLimited)
{
  UpstreamDirectory gateway({}, base::FailureDomainId::FromValidated("a"), 1);
  gateway.WarmUps().SetTerms({ { kOther, kTerms } });
  gateway.OnListed(Entry(0, 7, 3s), kSettled);
  for (unsigned request = 0; request < 100; ++request) {
    BOOST_TEST(Send(gateway, kSettled));
  }
  BOOST_TEST(gateway.WarmUps().TakeChanges(kSettled).empty());
}

BOOST_AUTO_TEST_CASE(BeginningAndEndOfAWarmUpAreReportedOnce)
{
  auto gateway = MakeGateway(1, 4);
  gateway.OnListed(Entry(0, 7, 3s), kSettled);
  auto const begun = gateway.WarmUps().TakeChanges(kSettled);
  BOOST_REQUIRE_EQUAL(begun.size(), 1U);
  BOOST_TEST(begun.front().m_hasBegun);
  gateway.OnListed(Entry(0, 7, 2s), kSettled + 1s);
  BOOST_TEST(gateway.WarmUps().TakeChanges(kSettled + 1s).empty());
  auto const ended = gateway.WarmUps().TakeChanges(kSettled + 4s);
  BOOST_REQUIRE_EQUAL(ended.size(), 1U);
  BOOST_TEST(!ended.front().m_hasBegun);
  BOOST_TEST(gateway.WarmUps().TakeChanges(kSettled + 5s).empty());
}
