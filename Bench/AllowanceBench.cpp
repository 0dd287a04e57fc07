#include "Bench/Workload/AllowanceFleet.h"
#include "Bench/Workload/StaticShares.h"
#include "Bench/Workload/WithdrawalRun.h"

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace {

using namespace sardinefold;
using namespace sardinefold::bench;

/// Limit on all control traffic of a node, in bytes per second.
constexpr double kNodeByteBudget = 29'000;
/// Writes that the platform accepts, in calls per second.
constexpr double kPlatformCallBudget = 300;
constexpr double kWithdrawLimit = 2;
/// Sum of the freshness limit and the grace period of the default policy.
constexpr double kIsolatedLimit = 4.5;

struct Options
{
  std::string m_only;
  std::uint64_t m_seed = 1;
};

enum class BoundKind
{
  AtMost,
  AtLeast
};

/// Prints the selected figures and records whether all are within their bounds.
class Report
{
public:
  explicit Report(std::string aOnly)
    : m_only(std::move(aOnly))
  {
  }

  void Add(std::string_view aBench, std::string const& aMetric, double aValue, double aBound,
           BoundKind aKind)
  {
    if (!IsWanted(aBench)) {
      return;
    }
    bool const isOk = aKind == BoundKind::AtMost ? aValue <= aBound : aValue >= aBound;
    m_isOk = m_isOk && isOk;
    Begin(aBench, aMetric, aValue);
    std::cout << ",\"bound\":" << aBound << ",\"ok\":" << (isOk ? "true" : "false") << "}"
              << std::endl;
  }

  void AddBaseline(std::string_view aBench, std::string const& aMetric, double aValue)
  {
    if (!IsWanted(aBench)) {
      return;
    }
    Begin(aBench, aMetric, aValue);
    std::cout << ",\"baseline\":true}" << std::endl;
  }

  bool IsOk() const { return m_isOk; }

private:
  static void Begin(std::string_view aBench, std::string const& aMetric, double aValue)
  {
    std::cout << "{\"bench\":\"" << aBench << "\",\"metric\":\"" << aMetric
              << "\",\"value\":" << aValue;
  }

  bool IsWanted(std::string_view aBench) const { return m_only.empty() || m_only == aBench; }

  std::string m_only;
  bool m_isOk = true;
};

/// Returns a workspace whose callers use, on average, the fraction aPart of its
/// rate.
WorkspaceLoad Load(std::string const& aName, double aRate, double aPart,
                   std::int64_t aMaximumTokens, bool aIsBursty = false)
{
  constexpr double kBurstSeconds = 10;
  constexpr std::int64_t kMinimumTokens = 100;
  constexpr double kMeanUse = 0.65;
  WorkspaceLoad load;
  load.m_id = base::WorkspaceId::FromValidated(aName);
  load.m_allowance = { base::TokensPerSecond(aRate),
                       base::Tokens(static_cast<std::int64_t>(aRate * kBurstSeconds)) };
  load.m_minimumTokens = kMinimumTokens;
  load.m_maximumTokens = aMaximumTokens;
  load.m_isBursty = aIsBursty;
  load.m_isOverRate = aPart > 1;
  double const meanTokens = static_cast<double>(kMinimumTokens + aMaximumTokens) / 2 * kMeanUse;
  load.m_requestsPerSecond = aRate * aPart / meanTokens;
  return load;
}

/// Returns the five workspaces of a deployment, some of them large and one that
/// sends five times its rate, with all rates multiplied by aScale.
std::vector<WorkspaceLoad> Workspaces(double aScale)
{
  return { Load("transit", 20'000 * aScale, 0.5, 3000, true),
           Load("reports", 10'000 * aScale, 0.7, 3000), Load("depot", 4'000 * aScale, 0.6, 1000),
           Load("insistent", 5'000 * aScale, 5, 2000), Load("rare", 1'000 * aScale, 0.3, 1000) };
}

AllowanceScenario Almaty(std::uint64_t aSeed)
{
  AllowanceScenario scenario;
  scenario.m_name = "almaty";
  scenario.m_seed = aSeed;
  scenario.m_entries = 8;
  scenario.m_failureDomains = 4;
  scenario.m_oneWayDelay = 500us;
  scenario.m_length = 300s;
  scenario.m_workspaces = Workspaces(1);
  return scenario;
}

AllowanceScenario Bavaria(std::uint64_t aSeed)
{
  AllowanceScenario scenario = Almaty(aSeed);
  scenario.m_name = "bavaria";
  scenario.m_entries = 6;
  scenario.m_failureDomains = 3;
  scenario.m_layout.m_shares = 3;
  scenario.m_oneWayDelay = 1500us;
  return scenario;
}

AllowanceScenario Fleet(std::size_t aEntries, std::uint64_t aSeed)
{
  AllowanceScenario scenario = Almaty(aSeed);
  scenario.m_name = std::to_string(aEntries) + "_entries";
  scenario.m_entries = aEntries;
  bool const isLarge = aEntries > 1000;
  scenario.m_failureDomains = isLarge ? 13 : 4;
  scenario.m_layout = { isLarge ? 13U : 4U, 16 };
  scenario.m_length = isLarge ? 60s : 90s;
  scenario.m_workspaces = Workspaces(isLarge ? 30 : 12);
  return scenario;
}

AllowanceScenario WithFault(AllowanceScenario aScenario, std::string const& aFault)
{
  aScenario.m_name += "." + aFault;
  if (aFault == "skewed") {
    aScenario.m_isSkewed = true;
  }
  if (aFault == "deaths") {
    aScenario.m_crashInterval = 60s;
  }
  if (aFault == "outage") {
    aScenario.m_platformOutage = FaultWindow{ 30s, 3630s };
    aScenario.m_length = 3660s;
  }
  if (aFault == "network") {
    aScenario.m_minimumUsedFraction = 1;
    aScenario.m_lostPerMille = 10;
    aScenario.m_repeatedPerMille = 10;
    aScenario.m_latePerMille = 10;
  }
  if (aFault == "partition") {
    aScenario.m_partition = FaultWindow{ 60s, 240s };
  }
  if (aFault == "pauses") {
    aScenario.m_minimumUsedFraction = 1;
    aScenario.m_pauseInterval = 10s;
  }
  if (aFault == "everything") {
    aScenario.m_minimumUsedFraction = 0.9;
    aScenario.m_isSkewed = true;
    aScenario.m_crashInterval = 20s;
    aScenario.m_pauseInterval = 5s;
    aScenario.m_lostPerMille = 30;
    aScenario.m_repeatedPerMille = 30;
    aScenario.m_latePerMille = 30;
    aScenario.m_partition = FaultWindow{ 60s, 120s };
    aScenario.m_platformOutage = FaultWindow{ 100s, 200s };
    entry::Allowance const cut{ base::TokensPerSecond(4'000), base::Tokens(40'000) };
    aScenario.m_changes = { { 80s, 0, cut }, { 160s, 0, aScenario.m_workspaces[0].m_allowance } };
  }
  return aScenario;
}

double WrongRefusalRatio(AllowanceResult const& aResult)
{
  return aResult.m_oracleAdmitted == 0 ? 0
                                       : static_cast<double>(aResult.m_wrongRefusals) /
                                           static_cast<double>(aResult.m_oracleAdmitted);
}

/// The guarantee that must hold in a scenario with a fault.
enum class Guarantee
{
  /// No window exceeds the allowance.
  Limit,
  /// No window exceeds the allowance, and requests within the rate are served.
  Service
};

/// Benchmark names under which a scenario's figures are printed.
struct FigureNames
{
  std::string_view m_limit = "limit";
  std::string_view m_fairness = "fairness";
};

void CheckBounds(Report& aReport, AllowanceScenario const& aScenario, Guarantee aGuarantee,
                 FigureNames aNames = {})
{
  AllowanceResult const result = AllowanceFleet(aScenario).Run();
  std::string const& name = aScenario.m_name;
  std::string_view const limit = aNames.m_limit;
  std::string_view const fairness = aNames.m_fairness;
  aReport.Add(limit, "max_over_allowance." + name, result.m_maxOverAllowance, 1.0,
              BoundKind::AtMost);
  if (aGuarantee == Guarantee::Limit) {
    aReport.AddBaseline(limit, "served_under_faults." + name, static_cast<double>(result.m_served));
    return;
  }
  aReport.Add(limit, "wrong_refusals." + name, WrongRefusalRatio(result), 0.001, BoundKind::AtMost);
  aReport.Add(fairness, "worst_workspace." + name, result.m_worstWorkspace, 0.95,
              BoundKind::AtLeast);
  aReport.Add(limit, "node_bytes_per_second." + name, result.m_bytesPerSecond, kNodeByteBudget,
              BoundKind::AtMost);
  aReport.Add(limit, "platform_calls_per_second." + name, result.m_platformCallsPerSecond,
              kPlatformCallBudget, BoundKind::AtMost);
  AllowanceScenario oneOwner = aScenario;
  oneOwner.m_layout.m_shares = 1;
  AllowanceResult const single = AllowanceFleet(oneOwner).Run();
  AllowanceResult const fixed = RunStaticShares(aScenario);
  aReport.AddBaseline(limit, "wrong_refusals_one_owner." + name, WrongRefusalRatio(single));
  aReport.AddBaseline(fairness, "worst_workspace_one_owner." + name, single.m_worstWorkspace);
  aReport.AddBaseline(limit, "wrong_refusals_static_shares." + name, WrongRefusalRatio(fixed));
  aReport.AddBaseline(fairness, "worst_workspace_static_shares." + name, fixed.m_worstWorkspace);
}

void CheckDeployments(Report& aReport, std::uint64_t aSeed)
{
  for (AllowanceScenario const& deployment : { Almaty(aSeed), Bavaria(aSeed) }) {
    for (auto const* fault : { "calm", "skewed", "deaths", "outage" }) {
      CheckBounds(aReport, WithFault(deployment, fault), Guarantee::Service);
    }
    for (auto const* fault : { "network", "partition", "pauses", "everything" }) {
      CheckBounds(aReport, WithFault(deployment, fault), Guarantee::Limit);
    }
  }
}

void CheckWithdrawal(Report& aReport, std::uint64_t aSeed)
{
  for (std::size_t const entries : { 8U, 100U, 1400U }) {
    WithdrawalResult const result = RunWithdrawal(entries, aSeed);
    std::string const name = std::to_string(entries) + "_entries";
    aReport.Add("keys", "withdraw_s." + name, result.m_connected, kWithdrawLimit,
                BoundKind::AtMost);
    aReport.Add("keys", "cut_off_s." + name, result.m_isolated, kIsolatedLimit, BoundKind::AtMost);
  }
}

bool ParseOptions(int aCount, char** aArguments, Options& aOptions)
{
  std::vector<std::string> const arguments(aArguments + 1, aArguments + aCount);
  for (std::size_t index = 0; index + 1 < arguments.size(); index += 2) {
    if (arguments[index] == "--only") {
      aOptions.m_only = arguments[index + 1];
    } else if (arguments[index] == "--seed") {
      aOptions.m_seed = std::stoull(arguments[index + 1]);
    } else {
      return false;
    }
  }
  return arguments.size() % 2 == 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  Options options;
  if (!ParseOptions(aCount, aArguments, options)) {
    std::cerr << "usage: AllowanceBench [--only limit|fairness|keys|scale] [--seed N]\n"
                 "scale, the fleet of 1,400 entries, takes minutes and runs only by name\n";
    return 2;
  }
  std::string const& only = options.m_only;
  Report report(only);
  if (only.empty() || only == "limit" || only == "fairness") {
    CheckDeployments(report, options.m_seed);
    CheckBounds(report, WithFault(Fleet(100, options.m_seed), "deaths"), Guarantee::Service);
  }
  if (only == "scale") {
    CheckBounds(report, Fleet(1400, options.m_seed), Guarantee::Service, { "scale", "scale" });
  }
  if (only.empty() || only == "keys") {
    CheckWithdrawal(report, options.m_seed);
  }
  return report.IsOk() ? 0 : 1;
}
