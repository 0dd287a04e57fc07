#define BOOST_TEST_MODULE SharedAllowance
#include "Entry/Allowance/SharedAllowance.h"

#include "Entry/Allowance/GrantLedger.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <deque>
#include <random>
#include <vector>

using namespace sardinefold;
using namespace sardinefold::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr base::Instant kStart{ seconds(1000) };
auto const kWorkspace = base::WorkspaceId::FromValidated("marshals");
constexpr AllowanceLimit kLimit{ base::TokensPerSecond(10'000), base::Tokens(10'000) };

/// Returns an allowance whose limit was in force long enough to refill fully.
SharedAllowance MakeFilledAllowance()
{
  SharedAllowance allowance({});
  allowance.SetLimits({ { kWorkspace, kLimit } }, kStart - seconds(60));
  allowance.OnPeerGrants("alone", { 1, 1 }, {}, kStart - seconds(60));
  return allowance;
}

/// Simulates gateways that exchange their grants through a planner, which sums
/// them up with a delay as FleetPlanning does.
class Fleet
{
public:
  explicit Fleet(std::size_t aGateways)
    : m_gateways(aGateways, MakeFilledAllowance())
    , m_isDisconnected(aGateways, false)
  {
  }

  void SetDisconnected(std::size_t aGateway, bool aIsDisconnected)
  {
    m_isDisconnected[aGateway] = aIsDisconnected;
  }

  /// Starts a new epoch: the next planner's sums are not comparable to earlier ones.
  void ChangePlanner() { m_epoch += "'"; }

  /// Restarts all gateways, which the planner treats as a new epoch.
  void RestartAll(base::Instant aNow)
  {
    for (auto& gateway : m_gateways) {
      gateway = SharedAllowance({});
      gateway.SetLimits({ { kWorkspace, kLimit } }, aNow);
    }
    m_epoch += "'";
  }

  void Exchange(base::Instant aNow)
  {
    base::Tokens total;
    for (auto const& gateway : m_gateways) {
      total += GrantedBy(gateway);
    }
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
      if (!m_isDisconnected[index]) {
        auto const others = total - GrantedBy(m_gateways[index]);
        auto const all = static_cast<unsigned>(m_gateways.size());
        m_gateways[index].OnPeerGrants(m_epoch, { all, all }, { { kWorkspace, others } }, aNow);
      }
    }
  }

  bool Request(std::size_t aGateway, base::Tokens aTokens, base::Instant aNow)
  {
    bool const isGranted = !m_gateways[aGateway].Take(kWorkspace, aTokens, aNow);
    if (isGranted) {
      m_grants.emplace_back(aNow, aTokens.Value());
    }
    return isGranted;
  }

  /// Returns the maximum tokens granted within any window of the given length.
  std::int64_t MaximumInWindow(base::Duration aLength) const
  {
    std::int64_t maximum = 0;
    std::int64_t sum = 0;
    std::deque<std::pair<base::Instant, std::int64_t>> window;
    for (auto const& grant : m_grants) {
      window.push_back(grant);
      sum += grant.second;
      while (window.front().first + aLength <= grant.first) {
        sum -= window.front().second;
        window.pop_front();
      }
      maximum = std::max(maximum, sum);
    }
    return maximum;
  }

private:
  static base::Tokens GrantedBy(SharedAllowance const& aGateway)
  {
    auto const found = aGateway.Granted().find(kWorkspace);
    return found == aGateway.Granted().end() ? base::Tokens() : found->second;
  }

  std::vector<SharedAllowance> m_gateways;
  std::vector<bool> m_isDisconnected;
  std::string m_epoch = "epoch";
  std::vector<std::pair<base::Instant, std::int64_t>> m_grants;
};

/// Sends requests at ten times the rate for 40 s and returns the maximum tokens
/// granted within 8 s.
std::int64_t RunOverload(std::uint64_t aSeed, bool aWithDisconnections)
{
  constexpr std::size_t kGateways = 4;
  std::mt19937_64 random(aSeed);
  Fleet fleet(kGateways);
  for (int step = 0; step < 4'000; ++step) {
    auto const now = kStart + step * milliseconds(10);
    if (step % 20 == 0) {
      fleet.Exchange(now);
    }
    if (aWithDisconnections && step % 300 == 0) {
      fleet.SetDisconnected(random() % kGateways, random() % 2 == 0);
    }
    fleet.Request(random() % kGateways,
                  base::Tokens(static_cast<std::int64_t>(500 + random() % 1'000)), now);
  }
  return fleet.MaximumInWindow(seconds(8));
}

} // namespace

BOOST_AUTO_TEST_CASE(NoWindowExceedsTheAllowanceUnderOverload)
{
  // The site allows in 8 s the rate and the burst, a tenth more, and 11,000 tokens.
  constexpr std::int64_t kBound = (10'000 * 8 + 10'000) * 11 / 10 + 11'000;
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BOOST_TEST(RunOverload(seed, false) <= kBound, "seed " << seed);
    BOOST_TEST(RunOverload(seed, true) <= kBound, "seed " << seed << " with disconnections");
  }
}

BOOST_AUTO_TEST_CASE(RequestsWithinTheRateAreGrantedAtAnyGateway)
{
  Fleet fleet(4);
  int refused = 0;
  for (int step = 0; step < 300; ++step) {
    auto const now = kStart + step * milliseconds(100);
    fleet.Exchange(now);
    // One gateway receives all requests, at nine tenths of the rate.
    refused += fleet.Request(2, base::Tokens(900), now) ? 0 : 1;
  }
  BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_CASE(StaysWithinItsShareWithoutUpdatesOnOthers)
{
  auto allowance = MakeFilledAllowance();
  allowance.OnPeerGrants("epoch", { 4, 4 }, {}, kStart);
  std::int64_t granted = 0;
  for (int step = 0; step < 1'000; ++step) {
    auto const now = kStart + seconds(10) + step * milliseconds(10);
    granted += allowance.Take(kWorkspace, base::Tokens(100), now) ? 0 : 100;
  }
  BOOST_TEST(granted <= (10'000 * 10 + 10'000) / 4);
}

BOOST_AUTO_TEST_CASE(GroupsWithPlannersOfTheirOwnStayWithinTheRateTogether)
{
  // Two gateways follow one planner and two another, so neither group receives
  // the other's grants.
  std::array<SharedAllowance, 4> gateways = { MakeFilledAllowance(), MakeFilledAllowance(),
                                              MakeFilledAllowance(), MakeFilledAllowance() };
  auto const grantedBy = [&](std::size_t aGateway) {
    auto const& granted = gateways[aGateway].Granted();
    auto const found = granted.find(kWorkspace);
    return found == granted.end() ? base::Tokens() : found->second;
  };
  std::int64_t total = 0;
  for (int step = 0; step < 1'000; ++step) {
    auto const now = kStart + step * milliseconds(10);
    for (std::size_t index = 0; index < gateways.size(); ++index) {
      if (step % 10 == 0) {
        gateways[index].OnPeerGrants(index < 2 ? "one" : "two", { 4, 2 },
                                     { { kWorkspace, grantedBy(index ^ 1) } }, now);
      }
      total += gateways[index].Take(kWorkspace, base::Tokens(200), now) ? 0 : 200;
    }
  }
  BOOST_TEST(total <= (10'000 * 10 + 10'000) * 11 / 10);
}

BOOST_AUTO_TEST_CASE(SumsOfAnotherEpochOnlySetABaseline)
{
  auto allowance = MakeFilledAllowance();
  allowance.OnPeerGrants("first", { 2, 2 }, { { kWorkspace, base::Tokens(1'000'000) } }, kStart);
  BOOST_TEST(!allowance.Take(kWorkspace, base::Tokens(1'000), kStart).has_value());
  // The other process is assumed to have granted the same amount meanwhile.
  allowance.OnPeerGrants("second", { 2, 2 }, { { kWorkspace, base::Tokens(5'000'000) } }, kStart);
  BOOST_TEST(allowance.GrantStatusOf(kWorkspace, kStart).m_level == base::Tokens(8'000));
  allowance.OnPeerGrants("second", { 2, 2 }, { { kWorkspace, base::Tokens(5'050'000) } }, kStart);
  BOOST_TEST(allowance.Take(kWorkspace, base::Tokens(1'000), kStart).has_value());
}

BOOST_AUTO_TEST_CASE(ReplacedPlannerGrantsNoFurtherBursts)
{
  // The site allows in 8 s the rate and the burst, a tenth more, and 11,000 tokens.
  constexpr std::int64_t kBound = (10'000 * 8 + 10'000) * 11 / 10 + 11'000;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    Fleet fleet(4);
    for (int step = 0; step < 3'000; ++step) {
      auto const now = kStart + step * milliseconds(10);
      // Every five seconds the planner is unavailable for half a second, and its
      // successor restarts its sums.
      bool const isPlannerUnavailable = step % 500 >= 450;
      if (step % 500 == 499) {
        fleet.ChangePlanner();
      }
      if (step % 10 == 0 && !isPlannerUnavailable) {
        fleet.Exchange(now);
      }
      fleet.Request(random() % 4, base::Tokens(700), now);
    }
    BOOST_TEST(fleet.MaximumInWindow(seconds(8)) <= kBound, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(RefusalReturnsTheTimeUntilTheRequestWouldPass)
{
  auto allowance = MakeFilledAllowance();
  allowance.OnPeerGrants("epoch", { 1, 1 }, {}, kStart);
  BOOST_TEST(!allowance.Take(kWorkspace, base::Tokens(10'000), kStart).has_value());
  auto const wait = allowance.Take(kWorkspace, base::Tokens(5'000), kStart);
  BOOST_REQUIRE(wait.has_value());
  allowance.OnPeerGrants("epoch", { 1, 1 }, {}, kStart + seconds(1));
  BOOST_TEST(
    !allowance.Take(kWorkspace, base::Tokens(5'000), kStart + *wait * 11 / 10).has_value());
}

BOOST_AUTO_TEST_CASE(RefundReducesTheGrantedTotal)
{
  auto allowance = MakeFilledAllowance();
  BOOST_TEST(!allowance.Take(kWorkspace, base::Tokens(500), kStart).has_value());
  allowance.Refund(kWorkspace, base::Tokens(500));
  BOOST_TEST(allowance.Granted().at(kWorkspace) == base::Tokens(0));
}

BOOST_AUTO_TEST_CASE(RestartOfAllGatewaysGrantsNoFurtherBursts)
{
  // The site allows in 8 s the rate and the burst, a tenth more, and 11,000 tokens.
  constexpr std::int64_t kBound = (10'000 * 8 + 10'000) * 11 / 10 + 11'000;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    auto const gateways = seed % 2 == 0 ? 4U : 26U;
    Fleet fleet(gateways);
    for (int step = 0; step < 3'000; ++step) {
      auto const now = kStart + step * milliseconds(10);
      if (step == 1'500) {
        fleet.RestartAll(now);
      }
      // The gateways exchange nothing for a second after the restart.
      bool const isIsolated = step >= 1'500 && step < 1'600;
      if (step % 20 == 0 && !isIsolated) {
        fleet.Exchange(now);
      }
      fleet.Request(random() % gateways, base::Tokens(300), now);
    }
    BOOST_TEST(fleet.MaximumInWindow(seconds(8)) <= kBound, "seed " << seed);
  }
}

BOOST_AUTO_TEST_CASE(AWorkspaceWithoutLimitIsNeverRefused)
{
  SharedAllowance allowance({});
  allowance.SetLimits({ { kWorkspace, AllowanceLimit{} } }, kStart);
  for (int request = 0; request < 100; ++request) {
    BOOST_TEST(!allowance.Take(kWorkspace, base::Tokens(1'000'000), kStart).has_value());
  }
}

BOOST_AUTO_TEST_CASE(TheLedgerKeepsGrantsOfProcessesThatRestartOrBecomeUnresponsive)
{
  auto const one = base::HostId::FromValidated("one");
  auto const two = base::HostId::FromValidated("two");
  auto const first = base::IncarnationId::FromValidated("first");
  auto const second = base::IncarnationId::FromValidated("second");
  GrantLedger ledger;
  auto const othersOf = [&](base::HostId const& aHost) {
    return ledger.GrantedByOthers(aHost)[kWorkspace].Value();
  };
  // The first report of a process only sets its baseline.
  ledger.OnReport(one, first, { { kWorkspace, base::Tokens(5'000) } }, true);
  ledger.OnReport(two, first, {}, true);
  BOOST_TEST(othersOf(two) == 0);
  ledger.OnReport(one, first, { { kWorkspace, base::Tokens(5'300) } }, false);
  ledger.OnReport(one, first, { { kWorkspace, base::Tokens(5'300) } }, false);
  BOOST_TEST(othersOf(two) == 300);
  BOOST_TEST(othersOf(one) == 0);
  // A restarted process counts from zero; its earlier grants remain counted.
  ledger.OnReport(one, second, { { kWorkspace, base::Tokens(200) } }, true);
  BOOST_TEST(othersOf(two) == 500);
  ledger.OnReport(two, first, { { kWorkspace, base::Tokens(70) } }, false);
  BOOST_TEST(othersOf(one) == 70);
  BOOST_TEST(othersOf(two) == 500);
  ledger.Remove(one);
  BOOST_TEST(othersOf(two) == 500);
}

/// A ledger that began with an incomplete report would later take the grants that the
/// report lacked for new ones, and refuse others' requests for them.
BOOST_AUTO_TEST_CASE(AnIncompleteReportDoesNotBeginALedger)
{
  auto const one = base::HostId::FromValidated("one");
  auto const incarnation = base::IncarnationId::FromValidated("first");
  auto const other = base::WorkspaceId::FromValidated("other");
  GrantLedger ledger;
  ledger.OnReport(one, incarnation, { { other, base::Tokens(10) } }, false);
  ledger.OnReport(one, incarnation,
                  { { kWorkspace, base::Tokens(5'000) }, { other, base::Tokens(10) } }, true);
  auto const none = ledger.GrantedByOthers(base::HostId::FromValidated("two"));
  BOOST_TEST((!none.contains(kWorkspace) || none.at(kWorkspace) == base::Tokens()));
  ledger.OnReport(one, incarnation, { { other, base::Tokens(25) } }, false);
  ledger.OnReport(one, incarnation, { { kWorkspace, base::Tokens(5'300) } }, false);
  auto const granted = ledger.GrantedByOthers(base::HostId::FromValidated("two"));
  BOOST_TEST(granted.at(kWorkspace).Value() == 300);
  BOOST_TEST(granted.at(other).Value() == 15);
}
