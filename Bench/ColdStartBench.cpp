#include "Bench/Workload/Fleet.h"
#include "Bench/Workload/IdealSchedule.h"
#include "Programs/SystemClock.h"

#include <cxxopts.hpp>

#include <array>
#include <iostream>

using namespace sardinefold;

namespace {

using namespace std::chrono_literals;
using ProjectFleet = bench::Fleet<agent::Router, weightstore::LoadGate>;
using BaselineFleet = bench::Fleet<bench::RandomRouter, bench::FifoGate>;

constexpr double kColdTailBound = 1.25;
constexpr double kBatchBound = 1.10;
constexpr double kIdleBound = 1.30;
/// Idle time that costs as much as a reload.
constexpr base::Duration kBreakEvenIdle = 20s;

struct Options
{
  std::string m_only;
  std::uint64_t m_seed;
};

bool s_isWithinBounds = true;

void Print(std::string_view aBench, std::string const& aMetric, double aValue,
           std::optional<double> aBound = std::nullopt)
{
  std::cout << R"({"bench":")" << aBench << R"(","metric":")" << aMetric << R"(","value":)"
            << aValue;
  if (aBound) {
    bool const isOk = aValue <= *aBound;
    s_isWithinBounds = s_isWithinBounds && isOk;
    std::cout << R"(,"bound":)" << *aBound << R"(,"ok":)" << (isOk ? "true" : "false");
  }
  std::cout << "}" << std::endl;
}

/// Returns the 99th percentile of first-token times in aMeasured, over the
/// interactive requests that were cold in aRun or aIdeal. A refused request
/// counts with the longest time that it could have waited.
base::Duration ColdTail(bench::Workload const& aWorkload, bench::RunResult const& aRun,
                        bench::RunResult const& aIdeal, bench::RunResult const& aMeasured)
{
  std::vector<base::Duration> times;
  for (std::size_t index = 0; index < aRun.m_requests.size(); ++index) {
    bool const isBatch = aWorkload.m_requests[index].m_class == operators::RequestClass::Batch;
    bool const isCold = aRun.m_requests[index].m_wasCold || aIdeal.m_requests[index].m_wasCold;
    if (isCold && !isBatch) {
      auto const& request = aMeasured.m_requests[index];
      times.push_back(request.m_wasRefused ? 10s : request.m_firstToken);
    }
  }
  return bench::Percentile(std::move(times), 0.99);
}

std::size_t CountRefused(bench::RunResult const& aRun)
{
  return static_cast<std::size_t>(
    std::ranges::count(aRun.m_requests, true, &bench::RequestResult::m_wasRefused));
}

double Ratio(base::Duration aLeft, base::Duration aRight)
{
  return base::ToSeconds(aLeft) / std::max(base::ToSeconds(aRight), 1e-9);
}

void MeasureColdStart(std::string const& aName, bench::Workload const& aWorkload,
                      std::uint64_t aSeed)
{
  auto const ideal = bench::RunIdealSchedule(aWorkload, kBreakEvenIdle);
  auto const actual = ProjectFleet(aWorkload, kBreakEvenIdle, aSeed).Run();
  auto const baseline = BaselineFleet(aWorkload, kBreakEvenIdle, aSeed).Run();
  base::Duration const idealTail = ColdTail(aWorkload, actual, ideal, ideal);
  base::Duration const actualTail = ColdTail(aWorkload, actual, ideal, actual);
  base::Duration const baselineTail = ColdTail(aWorkload, baseline, ideal, baseline);
  base::Duration const idealBaselineTail = ColdTail(aWorkload, baseline, ideal, ideal);
  Print("cold_start", aName + " p99_over_ideal", Ratio(actualTail, idealTail), kColdTailBound);
  Print("cold_start", aName + " p99_over_ideal naive", Ratio(baselineTail, idealBaselineTail));
  Print("cold_start", aName + " p99_s", base::ToSeconds(actualTail));
  Print("cold_start", aName + " refused", static_cast<double>(CountRefused(actual)));
  Print("cold_start", aName + " refused naive", static_cast<double>(CountRefused(baseline)));
  Print("cold_start", aName + " loads", actual.m_loads);
  Print("cold_start", aName + " loads ideal", ideal.m_loads);
  Print("idle", aName + " hours_over_oracle", Ratio(actual.m_idle, ideal.m_idle), kIdleBound);
  Print("idle", aName + " hours_over_oracle naive", Ratio(baseline.m_idle, ideal.m_idle));
}

base::Duration InteractiveTail(bench::Workload const& aWorkload, bench::RunResult const& aRun)
{
  std::vector<base::Duration> times;
  for (std::size_t index = 0; index < aRun.m_requests.size(); ++index) {
    if (aWorkload.m_requests[index].m_class != operators::RequestClass::Batch) {
      auto const& request = aRun.m_requests[index];
      times.push_back(request.m_wasRefused ? 10s : request.m_firstToken);
    }
  }
  return bench::Percentile(std::move(times), 0.99);
}

template<typename FleetType>
double BatchTailRatio(bench::Workload const& aWorkload, base::Duration aBreakEven,
                      std::uint64_t aSeed)
{
  auto const without = aWorkload.WithoutBatch();
  auto const withRun = FleetType(aWorkload, aBreakEven, aSeed).Run();
  auto const withoutRun = FleetType(without, aBreakEven, aSeed).Run();
  return Ratio(InteractiveTail(aWorkload, withRun), InteractiveTail(without, withoutRun));
}

void MeasureInteractive(std::string const& aName, bench::Workload const& aWorkload,
                        std::uint64_t aSeed)
{
  Print("interactive", aName + " p99_with_batch_over_without",
        BatchTailRatio<ProjectFleet>(aWorkload, kBreakEvenIdle, aSeed), kBatchBound);
  Print("interactive", aName + " p99_with_batch_over_without naive",
        BatchTailRatio<BaselineFleet>(aWorkload, kBreakEvenIdle, aSeed));
}

/// Returns the nanoseconds per decision in the fastest of several rounds.
double DecisionTime(int aUpstreams, std::uint64_t aSeed)
{
  constexpr int kRounds = 7;
  constexpr int kDecisions = 20'000;
  agent::Router router(aSeed);
  auto const model = base::ModelId::FromValidated("m");
  agent::Placement placement{ model, static_cast<unsigned>(aUpstreams), {} };
  for (int number = 0; number < aUpstreams; ++number) {
    auto const id = base::UpstreamId::FromValidated("u" + std::to_string(number));
    router.SetUpstream({ id, {}, 1ms, 16 });
    placement.m_holders.push_back({ id });
  }
  router.SetPlacement(placement);
  agent::RouteQuery query;
  query.m_replica.m_model = model;
  query.m_promptTokens = base::Tokens(500);
  base::Instant const now{ 1h };
  double best = 1e18;
  for (int round = 0; round < kRounds; ++round) {
    base::Instant const start = programs::SystemClock::Monotonic();
    for (int number = 0; number < kDecisions; ++number) {
      router.OnDone(router.Choose(query, now)->m_ticket);
    }
    base::Duration const time = programs::SystemClock::Monotonic() - start;
    best = std::min(best, static_cast<double>(time.count()) / kDecisions);
  }
  return best;
}

void MeasureDecisions(std::uint64_t aSeed)
{
  double const ten = DecisionTime(10, aSeed);
  double const hundred = DecisionTime(100, aSeed);
  double const thousand = DecisionTime(1000, aSeed);
  Print("decide", "ns_per_request 10", ten);
  Print("decide", "ns_per_request 100", hundred);
  Print("decide", "ns_per_request 1000", thousand);
  Print("decide", "growth 10 to 100 over logarithm", hundred / ten / 2, 1);
  Print("decide", "growth 10 to 1000 over logarithm", thousand / ten / 3, 1);
}

std::optional<Options> Parse(int aCount, char** aArguments)
{
  cxxopts::Options options("ColdStartBench", "Measures cold starts, idle hours and routing");
  options.add_options()("only", "cold_start, interactive, idle or decide",
                        cxxopts::value<std::string>()->default_value(""))(
    "seed", "Seed of the traces", cxxopts::value<std::uint64_t>()->default_value("1"));
  try {
    auto const parsed = options.parse(aCount, aArguments);
    return Options{ parsed["only"].as<std::string>(), parsed["seed"].as<std::uint64_t>() };
  } catch (std::exception const& error) {
    std::cerr << error.what() << '\n' << options.help();
    return std::nullopt;
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  auto const options = Parse(aCount, aArguments);
  if (!options) {
    return 2;
  }
  auto const isWanted = [&options](std::string_view aBench) {
    return options->m_only.empty() || options->m_only == aBench;
  };
  std::array<std::pair<std::string, bench::Workload>, 2> const workloads{ {
    { "night_bus", bench::NightBusBreakdown(options->m_seed) },
    { "premiere", bench::EveningBeforePremiere(options->m_seed) },
  } };
  for (auto const& [name, workload] : workloads) {
    if (isWanted("cold_start") || isWanted("idle")) {
      MeasureColdStart(name, workload, options->m_seed);
    }
    if (isWanted("interactive")) {
      MeasureInteractive(name, workload, options->m_seed);
    }
  }
  if (isWanted("decide")) {
    MeasureDecisions(options->m_seed);
  }
  return s_isWithinBounds ? 0 : 1;
}
