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

base::HostId HostOf(std::size_t aIndex)
{
  return base::HostId::FromValidated("gateway-" + std::to_string(aIndex));
}

base::IncarnationId RunOf(unsigned aRun)
{
  return base::IncarnationId::FromValidated("run-" + std::to_string(aRun));
}

/// Returns an allowance of a fleet of aProcesses whose limit was in force long enough to
/// refill fully.
SharedAllowance MakeFilledAllowance(unsigned aProcesses = 1, std::uint64_t aSeed = 0)
{
  SharedAllowance allowance({}, aSeed);
  allowance.SetLimits({ { kWorkspace, kLimit } }, kStart - seconds(120));
  allowance.OnProcessCount(aProcesses);
  for (int second = 120; second > 0; --second) {
    allowance.Tick(kStart - seconds(second));
  }
  return allowance;
}

/// Simulates gateways that exchange their grants through a planner, without delay.
class Fleet
{
public:
  explicit Fleet(std::size_t aGateways)
    : m_isDisconnected(aGateways, false)
    , m_isNew(aGateways, true)
  {
    for (std::size_t index = 0; index < aGateways; ++index) {
      m_gateways.push_back(MakeFilledAllowance(static_cast<unsigned>(aGateways), index));
    }
    Exchange(kStart - milliseconds(100));
    Exchange(kStart - milliseconds(50));
  }

  void SetDisconnected(std::size_t aGateway, bool aIsDisconnected)
  {
    m_isDisconnected[aGateway] = aIsDisconnected;
  }

  /// The next planner knows nothing of the levels of the one before.
  void ChangePlanner()
  {
    m_ledger = GrantLedger("epoch-" + std::to_string(++m_epochs));
    m_isNew.assign(m_gateways.size(), true);
  }

  /// Restarts all gateways and the planner.
  void RestartAll(base::Instant aNow)
  {
    ++m_run;
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
      m_gateways[index] = SharedAllowance({}, index);
      m_gateways[index].SetLimits({ { kWorkspace, kLimit } }, aNow);
    }
    ChangePlanner();
  }

  void Exchange(base::Instant aNow)
  {
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
      m_gateways[index].Tick(aNow);
      if (!m_isDisconnected[index]) {
        m_ledger.OnReport(HostOf(index), RunOf(m_run),
                          m_gateways[index].MakeReport(m_isNew[index], aNow), aNow);
        m_isNew[index] = false;
      }
    }
    m_ledger.Advance(aNow);
    for (std::size_t index = 0; index < m_gateways.size(); ++index) {
      if (!m_isDisconnected[index]) {
        m_gateways[index].OnSummary(m_ledger.SummaryFor(HostOf(index)), RunOf(m_run), aNow);
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
  std::vector<SharedAllowance> m_gateways;
  std::vector<bool> m_isDisconnected;
  std::vector<bool> m_isNew;
  GrantLedger m_ledger{ "epoch-0" };
  unsigned m_run = 0;
  unsigned m_epochs = 0;
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
  auto allowance = MakeFilledAllowance(4);
  std::int64_t granted = 0;
  for (int step = 0; step < 1'000; ++step) {
    auto const now = kStart + seconds(10) + step * milliseconds(10);
    granted += allowance.Take(kWorkspace, base::Tokens(100), now) ? 0 : 100;
  }
  BOOST_TEST(granted <= (10'000 * 10 + 10'000) / 4);
}

BOOST_AUTO_TEST_CASE(StaysWithinItsShareOnceUpdatesOnOthersHaveEnded)
{
  Fleet fleet(4);
  std::int64_t granted = 0;
  for (int step = 0; step < 1'000; ++step) {
    auto const now = kStart + seconds(10) + step * milliseconds(10);
    granted += fleet.Request(0, base::Tokens(100), now) ? 100 : 0;
  }
  BOOST_TEST(granted > 0);
  BOOST_TEST(granted <= (10'000 * 10 + 10'000) / 4);
}

BOOST_AUTO_TEST_CASE(GroupsWithPlannersOfTheirOwnStayWithinTheRateTogether)
{
  // Two gateways follow one planner and two another, so neither group receives
  // the other's grants.
  std::vector<SharedAllowance> gateways;
  for (std::size_t index = 0; index < 4; ++index) {
    gateways.push_back(MakeFilledAllowance(4, index));
  }
  std::array<GrantLedger, 2> planners{ GrantLedger("one"), GrantLedger("two") };
  std::int64_t total = 0;
  for (int step = 0; step < 1'000; ++step) {
    auto const now = kStart + step * milliseconds(10);
    for (std::size_t index = 0; index < gateways.size(); ++index) {
      auto& planner = planners[index / 2];
      if (step % 10 == 0) {
        planner.OnReport(HostOf(index), RunOf(0), gateways[index].MakeReport(step == 0, now), now);
        planner.Advance(now);
        gateways[index].OnSummary(planner.SummaryFor(HostOf(index)), RunOf(0), now);
      }
      total += gateways[index].Take(kWorkspace, base::Tokens(200), now) ? 0 : 200;
    }
  }
  BOOST_TEST(total <= (10'000 * 10 + 10'000) * 11 / 10);
}

/// The level that a new planner begins with is the sum of the parts that the gateways
/// bring: with the same totals, the copies show the same levels as before.
BOOST_AUTO_TEST_CASE(AnotherPlannerChangesNoLevel)
{
  std::vector<SharedAllowance> gateways;
  gateways.push_back(MakeFilledAllowance(2, 0));
  gateways.push_back(MakeFilledAllowance(2, 1));
  GrantLedger first("first");
  GrantLedger second("second");
  auto const exchange = [&](GrantLedger& aPlanner, bool aIsNew, base::Instant aNow) {
    for (std::size_t index = 0; index < 2; ++index) {
      aPlanner.OnReport(HostOf(index), RunOf(0), gateways[index].MakeReport(aIsNew, aNow), aNow);
    }
    aPlanner.Advance(aNow);
    for (std::size_t index = 0; index < 2; ++index) {
      gateways[index].OnSummary(aPlanner.SummaryFor(HostOf(index)), RunOf(0), aNow);
    }
  };
  auto const levelOf = [&](std::size_t aGateway) {
    return gateways[aGateway].GrantStatusOf(kWorkspace, kStart).m_level.Value();
  };
  exchange(first, true, kStart);
  exchange(first, false, kStart);
  BOOST_TEST(!gateways[0].Take(kWorkspace, base::Tokens(6'000), kStart).has_value());
  exchange(first, false, kStart);
  BOOST_TEST(levelOf(0) == 4'000);
  BOOST_TEST(levelOf(1) == 4'000);
  // One of them grants what the first planner never hears of.
  BOOST_TEST(!gateways[0].Take(kWorkspace, base::Tokens(1'000), kStart).has_value());
  exchange(second, true, kStart);
  exchange(second, false, kStart);
  BOOST_TEST(levelOf(0) == 3'000);
  BOOST_TEST(levelOf(1) == 3'000);
  BOOST_TEST(gateways[1].Take(kWorkspace, base::Tokens(3'500), kStart).has_value());
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
  BOOST_TEST(!allowance.Take(kWorkspace, base::Tokens(10'000), kStart).has_value());
  auto const wait = allowance.Take(kWorkspace, base::Tokens(5'000), kStart);
  BOOST_REQUIRE(wait.has_value());
  allowance.Tick(kStart + *wait / 2);
  BOOST_TEST(
    !allowance.Take(kWorkspace, base::Tokens(5'000), kStart + *wait * 11 / 10).has_value());
}

/// A gateway that has started refuses what its small slice does not hold, and is in the
/// planner's pool a moment later: its callers should not wait for the slice to fill.
BOOST_AUTO_TEST_CASE(AProcessThatHasStartedAsksItsCallersBackSoon)
{
  SharedAllowance allowance({});
  allowance.SetLimits({ { kWorkspace, kLimit } }, kStart);
  allowance.OnProcessCount(20);
  auto const first = allowance.Take(kWorkspace, base::Tokens(1'000), kStart + milliseconds(50));
  auto const second = allowance.Take(kWorkspace, base::Tokens(1'000), kStart + milliseconds(50));
  BOOST_REQUIRE(first.has_value());
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((*first == milliseconds(200)));
  BOOST_TEST((*second == milliseconds(300)));
}

/// Callers that are told the same time meet again and are refused again.
BOOST_AUTO_TEST_CASE(CallersRefusedTogetherReturnOneAfterAnother)
{
  auto allowance = MakeFilledAllowance();
  BOOST_TEST(!allowance.Take(kWorkspace, base::Tokens(10'000), kStart).has_value());
  std::vector<base::Duration> waits;
  for (int caller = 0; caller < 4; ++caller) {
    auto const wait = allowance.Take(kWorkspace, base::Tokens(5'000), kStart);
    BOOST_REQUIRE(wait.has_value());
    waits.push_back(*wait);
  }
  for (std::size_t caller = 0; caller < waits.size(); ++caller) {
    allowance.Tick(kStart + waits[caller]);
    BOOST_TEST(
      !allowance.Take(kWorkspace, base::Tokens(5'000), kStart + waits[caller] + milliseconds(1))
         .has_value());
  }
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
  GrantLedger ledger("epoch");
  AllowanceReport report;
  auto const send = [&](std::size_t aHost, unsigned aRun, std::uint64_t aNumber, bool aIsJoining,
                        std::int64_t aGranted, std::int64_t aSlice) {
    report.m_number = AllowanceReportNumber(aNumber);
    report.m_isJoining = aIsJoining;
    report.m_grants = { { kWorkspace,
                          { kLimit, base::Tokens(aGranted), {}, base::Tokens(aSlice) } } };
    ledger.OnReport(HostOf(aHost), RunOf(aRun), report, kStart);
    ledger.Advance(kStart);
  };
  auto const levelAt = [&](std::size_t aHost) {
    return ledger.SummaryFor(HostOf(aHost)).m_pools.at(kWorkspace).m_level.Value();
  };
  // A report that does not join is ignored: its slice is not known.
  send(0, 1, 1, false, 5'000, 0);
  BOOST_TEST((ledger.SummaryFor(HostOf(0)).m_included == AllowanceReportNumber()));
  send(0, 1, 2, true, 5'000, 3'000);
  send(1, 1, 1, true, 0, 3'000);
  // Each sees its own part only, until it is known to rely on this pool.
  BOOST_TEST(levelAt(1) == 3'000);
  send(1, 1, 2, false, 0, 0);
  BOOST_TEST(levelAt(1) == 3'000);
  send(0, 1, 3, false, 5'000, 0);
  BOOST_TEST(levelAt(1) == 6'000);
  send(0, 1, 4, false, 5'300, 0);
  send(0, 1, 4, false, 5'300, 0);
  BOOST_TEST(levelAt(1) == 5'700);
  // An earlier report that arrives late changes nothing.
  send(0, 1, 2, true, 5'000, 3'000);
  BOOST_TEST(levelAt(1) == 5'700);
  // A restarted process counts from zero; its earlier grants remain counted.
  send(0, 2, 1, true, 200, 0);
  BOOST_TEST(levelAt(1) == 5'500);
  send(0, 1, 5, false, 9'000, 0);
  BOOST_TEST(levelAt(1) == 5'500);
  send(1, 1, 3, false, 70, 0);
  BOOST_TEST(levelAt(0) == 5'430);
  // One that stops grants nothing further, and leaves its part of the level.
  report.m_isLast = true;
  send(1, 1, 4, false, 100, 0);
  BOOST_TEST(levelAt(0) == 5'400);
}

/// When all gateways were killed at once and restarted, each bucket was empty for all
/// callers, also those of workspaces that nobody had used.
BOOST_AUTO_TEST_CASE(RestartedProcessesGetBackWhatTheirEarlierRunsLeft)
{
  for (bool const isQuick : { true, false }) {
    GrantLedger ledger("epoch");
    auto const send = [&](unsigned aRun, std::uint64_t aNumber, base::Duration aAge,
                          base::Duration aAt) {
      AllowanceReport report;
      report.m_number = AllowanceReportNumber(aNumber);
      report.m_isJoining = aNumber == 1;
      report.m_age = aAge;
      if (aRun == 1) {
        report.m_grants = { { kWorkspace,
                              { kLimit, {}, base::TokensPerSecond(1'000), base::Tokens(4'000) } } };
      }
      for (std::size_t host = 0; host < 2; ++host) {
        ledger.OnReport(HostOf(host), RunOf(aRun), report, kStart + aAt);
      }
      ledger.Advance(kStart + aAt);
    };
    send(1, 1, seconds(60), {});
    send(1, 2, seconds(60), {});
    base::Duration const silence = isQuick ? milliseconds(800) : seconds(5);
    ledger.Advance(kStart + milliseconds(750));
    BOOST_TEST(ledger.SummaryFor(HostOf(0)).m_sharing == 0U);
    send(2, 1, milliseconds(100), silence);
    auto const joining = ledger.SummaryFor(HostOf(0));
    BOOST_TEST((joining.m_filledFor > seconds(50)) == isQuick);
    send(2, 2, milliseconds(200), silence + milliseconds(100));
    auto const level = ledger.SummaryFor(HostOf(0)).m_pools.at(kWorkspace).m_level.Value();
    // 8,000 with the refill until they were taken for silent, less what was asked since.
    BOOST_TEST((level > 6'000) == isQuick, level);
    BOOST_TEST(level <= 10'000);
  }
}

/// Gateways that are stopped in turn would otherwise leave the others with a part of the
/// rate for a minute.
BOOST_AUTO_TEST_CASE(AProcessThatStopsLeavesItsPartOfTheRate)
{
  GrantLedger ledger("epoch");
  AllowanceReport report;
  report.m_fleet = 2;
  for (std::uint64_t number = 1; number <= 2; ++number) {
    report.m_number = AllowanceReportNumber(number);
    report.m_isJoining = number == 1;
    ledger.OnReport(HostOf(0), RunOf(1), report, kStart);
    ledger.OnReport(HostOf(1), RunOf(1), report, kStart);
  }
  ledger.Advance(kStart);
  BOOST_TEST(ledger.SummaryFor(HostOf(0)).m_fleet == 2U);
  report.m_number = AllowanceReportNumber(3);
  report.m_isLast = true;
  ledger.OnReport(HostOf(1), RunOf(1), report, kStart);
  // Those who have not heard of it still announce it.
  ledger.OnPresence(HostOf(1), RunOf(1), kStart);
  ledger.Advance(kStart);
  auto const summary = ledger.SummaryFor(HostOf(0));
  BOOST_TEST(summary.m_fleet == 1U);
  BOOST_TEST(summary.m_sharing == 1U);
  // It starts again and reports to another planner.
  ledger.OnPresence(HostOf(1), RunOf(2), kStart);
  ledger.Advance(kStart);
  BOOST_TEST(ledger.SummaryFor(HostOf(0)).m_fleet == 2U);
}

/// A ledger that began with an incomplete report would later take the grants that the
/// report lacked for new ones, and refuse others' requests for them.
BOOST_AUTO_TEST_CASE(AnIncompleteReportDoesNotBeginALedger)
{
  auto const other = base::WorkspaceId::FromValidated("other");
  GrantLedger ledger("epoch");
  AllowanceReport report;
  auto const send = [&](std::uint64_t aNumber, bool aIsJoining) {
    report.m_number = AllowanceReportNumber(aNumber);
    report.m_isJoining = aIsJoining;
    ledger.OnReport(HostOf(0), RunOf(0), report, kStart);
    ledger.Advance(kStart);
    return ledger.SummaryFor(HostOf(0));
  };
  base::Tokens const full(10'000);
  report.m_grants = { { other, { kLimit, base::Tokens(10), {}, full } } };
  auto const incomplete = send(1, false);
  BOOST_TEST((incomplete.m_included == AllowanceReportNumber()));
  BOOST_TEST(incomplete.m_pools.empty());
  report.m_grants = { { kWorkspace, { kLimit, base::Tokens(5'000), {}, full } },
                      { other, { kLimit, base::Tokens(10), {}, full } } };
  send(2, true);
  auto const joined = send(3, false);
  BOOST_TEST(joined.m_pools.at(kWorkspace).m_level.Value() == 10'000);
  BOOST_TEST(joined.m_pools.at(other).m_level.Value() == 10'000);
  report.m_grants = { { other, { kLimit, base::Tokens(25), {}, {} } } };
  send(4, false);
  report.m_grants = { { kWorkspace, { kLimit, base::Tokens(5'300), {}, {} } } };
  auto const later = send(5, false);
  BOOST_TEST(later.m_pools.at(kWorkspace).m_level.Value() == 9'700);
  BOOST_TEST(later.m_pools.at(other).m_level.Value() == 9'985);
}

/// A report with a figure that receivers do not take is dropped as a whole, with the demand
/// and the failures in it.
BOOST_AUTO_TEST_CASE(LargeFiguresOfCallersAndLimitsStayWithinWhatReportsMayHold)
{
  constexpr std::int64_t kLargest = std::int64_t(1) << 53;
  SharedAllowance allowance({});
  allowance.SetLimits(
    { { kWorkspace, { base::TokensPerSecond(kLargest), base::Tokens(kLargest) } } }, kStart);
  for (unsigned request = 0; request < 10; ++request) {
    allowance.Take(kWorkspace, base::Tokens(kLargest), kStart + milliseconds(100));
  }
  auto const report = allowance.MakeReport(true, kStart + milliseconds(200));
  auto const& grants = report.m_grants.at(kWorkspace);
  for (auto const tokens : { grants.m_limit.m_burst, grants.m_granted, grants.m_slice }) {
    BOOST_TEST(std::abs(tokens.Value()) <= kLargestReportedTokens);
  }
  for (auto const rate : { grants.m_limit.m_rate, grants.m_asked }) {
    BOOST_TEST(rate.Value() <= static_cast<double>(kLargestReportedTokens));
  }
}

/// A gateway that is silent for long may still serve callers: its part of the level and
/// of the rate is left to it.
BOOST_AUTO_TEST_CASE(ASilentProcessTakesItsPartWithIt)
{
  GrantLedger ledger("epoch");
  AllowanceReport report;
  report.m_grants = { { kWorkspace, { kLimit, {}, {}, base::Tokens(2'000) } } };
  for (std::uint64_t number = 1; number <= 20; ++number) {
    auto const now = kStart + number * milliseconds(100);
    report.m_number = AllowanceReportNumber(number);
    report.m_isJoining = number == 1;
    ledger.OnReport(HostOf(0), RunOf(1), report, now);
    if (number <= 10) {
      ledger.OnReport(HostOf(1), RunOf(1), report, now);
    }
    ledger.Advance(now);
    auto const summary = ledger.SummaryFor(HostOf(0));
    BOOST_TEST((summary.m_sharing == 2U) == (number >= 2 && number <= 17), number);
    BOOST_TEST(summary.m_fleet == 2U);
  }
  // Half of a level that was full, and half of the burst.
  BOOST_TEST(ledger.SummaryFor(HostOf(0)).m_pools.at(kWorkspace).m_level.Value() == 5'000);
}
