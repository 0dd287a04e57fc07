#include "ObjectStore/Backoff.h"
#include "ObjectStore/CallBudget.h"
#include "ObjectStore/CircuitBreaker.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace sardinefold;
using namespace sardinefold::objectstore;
using namespace std::chrono_literals;

namespace {

constexpr base::Instant kStart{ 1000s };
constexpr base::Duration kTick = 10ms;
constexpr base::Duration kRunTime = 30s;
/// Processes within their budgets must not exceed the rate that the platform
/// admits.
constexpr double kMaximumOverAllowance = 1.0;
/// Claims must be written while all other calls use up their budgets.
constexpr double kMinimumClaimsServed = 0.99;
/// Calls in the busiest second after an outage, relative to the platform's rate.
constexpr double kMaximumAfterOutage = 1.0;

struct NamedFleet
{
  char const* m_name;
  FleetSize m_size;
};

constexpr NamedFleet kFleets[] = { { "almaty", { 4, 10, 4 } },
                                   { "bavaria", { 3, 20, 3 } },
                                   { "entries_100", { 100, 700, 20 } },
                                   { "entries_1400", { 1400, 10'000, 100 } } };

bool PrintLine(std::string const& aMetric, double aValue, double aBound, bool aIsOk)
{
  std::printf("{\"bench\":\"platform\",\"metric\":\"%s\",\"value\":%.4f,\"bound\":%g,\"ok\":%s}\n",
              aMetric.c_str(), aValue, aBound, aIsOk ? "true" : "false");
  std::fflush(stdout);
  return aIsOk;
}

void PrintBaseline(std::string const& aMetric, double aValue)
{
  std::printf("{\"bench\":\"platform\",\"metric\":\"%s\",\"value\":%.4f,\"baseline\":true}\n",
              aMetric.c_str(), aValue);
  std::fflush(stdout);
}

enum class ShareRule
{
  Weighted,
  EqualShares
};

CallRates RatesFor(ShareRule aShareRule, FleetSize const& aSize, ProcessRole aRole)
{
  if (aShareRule == ShareRule::Weighted) {
    return ShareOf(kPlatformRates, aSize, aRole);
  }
  auto const processes = aSize.m_entries + aSize.m_engineAgents + aSize.m_serviceAgents;
  return { CallsPerSecond(kPlatformRates.m_writes.Value() * 0.9 / processes),
           CallsPerSecond(kPlatformRates.m_reads.Value() * 0.9 / processes) };
}

struct Process
{
  CallBudget m_budget;
  ProcessRole m_role;
  base::Instant m_nextCall{};
};

std::vector<Process> MakeProcesses(ShareRule aShareRule, FleetSize const& aSize,
                                   std::uint64_t aSeed)
{
  std::vector<Process> processes;
  auto const add = [&](std::uint32_t aCount, ProcessRole aRole) {
    for (std::uint32_t i = 0; i < aCount; ++i) {
      CallBudget budget(RatesFor(aShareRule, aSize, aRole), ++aSeed * 7919, kStart);
      processes.push_back({ budget, aRole });
    }
  };
  add(aSize.m_entries, ProcessRole::Entry);
  add(aSize.m_engineAgents, ProcessRole::EngineAgent);
  add(aSize.m_serviceAgents, ProcessRole::ServiceAgent);
  return processes;
}

/// Every process writes as much as its budget allows. Returns the calls in the
/// busiest second relative to the platform's rate.
double MeasureFlood(FleetSize const& aSize, std::uint64_t aSeed)
{
  auto processes = MakeProcesses(ShareRule::Weighted, aSize, aSeed);
  std::vector<std::uint64_t> calls(static_cast<std::size_t>(kRunTime / 1s));
  // The first second is excluded below: it depends on the processes' start
  // phases.
  for (auto now = kStart; now < kStart + kRunTime; now += kTick) {
    for (auto& process : processes) {
      if (process.m_nextCall > now) {
        continue;
      }
      auto const next = process.m_budget.Admit(CallKind::Write, CallPurpose::Status, now);
      calls[static_cast<std::size_t>((now - kStart) / 1s)] += next <= now ? 1U : 0U;
      process.m_nextCall = next;
    }
  }
  auto const busiest = *std::max_element(calls.begin() + 1, calls.end());
  return static_cast<double>(busiest) / kPlatformRates.m_writes.Value();
}

/// Agents of services need claims at three quarters of their weighted share,
/// while they also write status as often as allowed. Returns the fraction of
/// the claims that are written within a second.
double MeasureClaims(ShareRule aShareRule, FleetSize const& aSize, std::uint64_t aSeed)
{
  constexpr double kLoad = 0.75;
  auto processes = MakeProcesses(aShareRule, aSize, aSeed);
  auto const share = ShareOf(kPlatformRates, aSize, ProcessRole::ServiceAgent).m_writes.Value();
  RandomSource random(aSeed);
  std::uint64_t requested = 0;
  std::uint64_t served = 0;
  for (auto& process : processes) {
    if (process.m_role != ProcessRole::ServiceAgent) {
      continue;
    }
    std::vector<base::Instant> waiting;
    for (auto now = kStart; now < kStart + kRunTime; now += kTick) {
      if (random.Fraction() < share * kLoad * base::ToSeconds(kTick)) {
        waiting.push_back(now);
        ++requested;
      }
      std::erase_if(waiting, [&](base::Instant aSince) { return now - aSince > 1s; });
      bool isAdmitted = true;
      while (!waiting.empty() && isAdmitted) {
        isAdmitted = process.m_budget.Admit(CallKind::Write, CallPurpose::Claim, now) <= now;
        if (isAdmitted) {
          waiting.erase(waiting.begin());
          ++served;
        }
      }
      if (waiting.empty()) {
        process.m_budget.Admit(CallKind::Write, CallPurpose::Status, now);
      }
    }
  }
  return requested == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(requested);
}

/// All processes retry a read from the start of a ten-minute outage until it
/// succeeds. Returns the calls that reach the platform in the busiest second
/// after the outage, relative to its rate.
double MeasureAfterOutage(FleetSize const& aSize, std::uint64_t aSeed)
{
  constexpr base::Duration kOutage = 10min;
  auto const end = kStart + kOutage;
  auto processes = MakeProcesses(ShareRule::Weighted, aSize, aSeed);
  std::vector<std::uint64_t> calls(static_cast<std::size_t>(kRunTime / 1s));
  for (auto& process : processes) {
    CircuitBreaker breaker({}, ++aSeed);
    Backoff backoff({}, ++aSeed);
    for (auto now = kStart; now < end + kRunTime;) {
      auto const admitted = process.m_budget.Admit(CallKind::Read, CallPurpose::Placement, now);
      if (admitted > now) {
        now = admitted;
        continue;
      }
      if (breaker.Allow(now) && now >= end) {
        ++calls[static_cast<std::size_t>((now - end) / 1s)];
        break;
      }
      if (breaker.State() != CircuitState::Open) {
        breaker.OnFailure(now);
        process.m_budget.OnOutage(now);
      }
      now += std::max<base::Duration>(backoff.Next(), 1ms);
    }
  }
  auto const busiest = *std::max_element(calls.begin(), calls.end());
  return static_cast<double>(busiest) / kPlatformRates.m_reads.Value();
}

/// Like MeasureAfterOutage(), for processes that retry every second.
double MeasureFixedRetry(FleetSize const& aSize)
{
  auto const processes = aSize.m_entries + aSize.m_engineAgents + aSize.m_serviceAgents;
  return static_cast<double>(processes) / kPlatformRates.m_reads.Value();
}

bool MeasureFleet(NamedFleet const& aFleet, std::uint64_t aSeed)
{
  std::string const name = aFleet.m_name;
  auto const flood = MeasureFlood(aFleet.m_size, aSeed);
  bool isOk = PrintLine("budget_over_allowance_" + name, flood, kMaximumOverAllowance,
                        flood <= kMaximumOverAllowance);
  auto const claims = MeasureClaims(ShareRule::Weighted, aFleet.m_size, aSeed);
  isOk &= PrintLine("claims_served_" + name, claims, kMinimumClaimsServed,
                    claims >= kMinimumClaimsServed);
  PrintBaseline("claims_served_equal_shares_" + name,
                MeasureClaims(ShareRule::EqualShares, aFleet.m_size, aSeed));
  auto const afterOutage = MeasureAfterOutage(aFleet.m_size, aSeed);
  isOk &= PrintLine("return_over_allowance_" + name, afterOutage, kMaximumAfterOutage,
                    afterOutage <= kMaximumAfterOutage);
  PrintBaseline("return_over_allowance_fixed_retry_" + name, MeasureFixedRetry(aFleet.m_size));
  return isOk;
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("PlatformBench", "Measures the call budget, in virtual time.");
  options.add_options()("seed", "", cxxopts::value<std::uint64_t>()->default_value("1"));
  options.add_options()("only", "", cxxopts::value<std::string>()->default_value(""));
  auto const parsed = options.parse(aCount, aArguments);
  auto const only = parsed["only"].as<std::string>();
  if (!only.empty() && only != "platform") {
    return 0;
  }
  bool isOk = true;
  for (auto const& fleet : kFleets) {
    isOk &= MeasureFleet(fleet, parsed["seed"].as<std::uint64_t>());
  }
  return isOk ? 0 : 1;
}
