#include "Tests/Support/AtMostOnceSimulation.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

using namespace sardinefold;

namespace {

constexpr std::size_t kOrders = 1000;
constexpr std::size_t kResends = 3;
constexpr double kFaultChance = 0.05;
/// Three calls per order: create, record and delete.
constexpr double kCallsPerThousandBound = 3000;

tests::AtMostOnceResult RunFleet(std::uint64_t aSeed, std::size_t aResends, double aFaultChance,
                                 bool aUsesClaims)
{
  tests::AtMostOncePlan plan;
  plan.m_attempts = tests::PlanResends(kOrders, aResends, aSeed);
  plan.m_faultProbability = aFaultChance;
  plan.m_usesClaims = aUsesClaims;
  plan.m_seed = aSeed;
  return tests::AtMostOnceSimulation(std::move(plan)).Run();
}

bool Report(std::string_view aMetric, double aValue, double aBound)
{
  bool const isOk = aValue <= aBound;
  std::cout << R"({"bench":"once","metric":")" << aMetric << R"(","value":)" << aValue
            << R"(,"bound":)" << aBound << R"(,"ok":)" << (isOk ? "true" : "false") << "}\n";
  return isOk;
}

void ReportOnly(std::string_view aMetric, double aValue)
{
  std::cout << R"({"bench":"once","metric":")" << aMetric << R"(","value":)" << aValue
            << R"(,"bound":null,"ok":true})"
            << "\n";
}

double CallsPerThousand(tests::AtMostOnceResult const& aResult)
{
  auto const calls = static_cast<double>(aResult.m_platformWrites + aResult.m_platformReads);
  return 1000.0 * calls / static_cast<double>(aResult.m_orders);
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  std::uint64_t seed = 1;
  for (int index = 1; index + 1 < aArgumentCount; ++index) {
    if (std::string_view(aArguments[index]) == "--seed") {
      seed = std::strtoull(aArguments[index + 1], nullptr, 10);
    }
  }
  auto const faulty = RunFleet(seed, kResends, kFaultChance, true);
  auto const faultless = RunFleet(seed, 0, 0.0, true);
  auto const withoutClaims = RunFleet(seed, kResends, kFaultChance, false);
  bool isOk = Report("duplicates", static_cast<double>(faulty.m_duplicates), 0);
  isOk = Report("false_not_run", static_cast<double>(faulty.m_falseNotRun), 0) && isOk;
  isOk = Report("wrong_answers", static_cast<double>(faulty.m_wrongResponses), 0) && isOk;
  isOk =
    Report("platform_calls_per_1000_orders", CallsPerThousand(faultless), kCallsPerThousandBound) &&
    isOk;
  auto const attempts = static_cast<double>(kOrders * (kResends + 1));
  auto const unanswered = 1.0 - static_cast<double>(faulty.m_answered) / attempts;
  ReportOnly("unanswered_share_under_faults", unanswered);
  ReportOnly("platform_calls_per_1000_orders_3_resends_faults", CallsPerThousand(faulty));
  ReportOnly("duplicates_without_claims", static_cast<double>(withoutClaims.m_duplicates));
  return isOk ? EXIT_SUCCESS : EXIT_FAILURE;
}
