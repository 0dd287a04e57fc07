#include "Tests/Fakes/FakeConfigurationFleet.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>

using namespace sardinefold;
using namespace std::chrono_literals;

namespace {

/// Fraction of messages lost in each direction.
constexpr double kLoss = 0.02;
/// 7,000 changes a day are one every 12 s.
constexpr base::Duration kChangeInterval = 12s;
constexpr double kMaxSecondsToForce = 4;
/// Limit on all control traffic of a node.
constexpr double kMaxBytesPerSecond = 29'000;

bool PrintLine(std::string const& aMetric, double aValue, double aBound)
{
  bool const isWithin = aValue <= aBound;
  std::printf(
    "{\"bench\":\"configuration\",\"metric\":\"%s\",\"value\":%.3f,\"bound\":%g,\"ok\":%s}\n",
    aMetric.c_str(), aValue, aBound, isWithin ? "true" : "false");
  std::fflush(stdout);
  return isWithin;
}

/// Returns the seconds until the newest version is in force in all live
/// processes.
double SecondsUntilInForce(fakes::FakeConfigurationFleet& aFleet)
{
  auto const start = aFleet.Time().Now();
  auto const limit = start + 2 * kChangeInterval;
  while (aFleet.Time().Now() < limit && !aFleet.IsInForce(aFleet.Published())) {
    aFleet.RunFor(10ms);
  }
  return base::ToSeconds(aFleet.Time().Now() - start);
}

/// Publishes changes while relays crash and restart. Reports the slowest change
/// and the traffic of the busiest process.
bool MeasureFleet(fakes::FleetShape aShape, std::size_t aChanges)
{
  fakes::FakeConfigurationFleet fleet(aShape);
  fleet.Publish(fakes::MakeDocument(200));
  SecondsUntilInForce(fleet);
  fleet.RunFor(kChangeInterval);
  fleet.TakeMaxBytes();
  auto const callsBefore = fleet.PlatformCalls();
  auto const start = fleet.Time().Now();
  double slowest = 0;
  for (std::size_t change = 1; change <= aChanges; ++change) {
    fleet.Publish(fakes::MakeDocument(200 + change));
    fleet.RunFor(std::chrono::milliseconds(change % 9));
    auto const relays = fleet.Relays(change % aShape.m_failureDomains);
    bool const mayKill = relays.size() > 1;
    if (mayKill) {
      fleet.Kill(relays[change % relays.size()]);
    }
    slowest = std::max(slowest, SecondsUntilInForce(fleet));
    if (mayKill) {
      fleet.Restart(relays[change % relays.size()]);
    }
    fleet.RunFor(kChangeInterval);
  }
  auto const seconds = base::ToSeconds(fleet.Time().Now() - start);
  auto const name =
    std::to_string(aShape.m_entries) + "_entries_" + std::to_string(aShape.m_agents) + "_agents";
  bool const isFast = PrintLine("in_force_s_" + name, slowest, kMaxSecondsToForce);
  auto const bytes = static_cast<double>(fleet.TakeMaxBytes()) / seconds;
  bool const isTrafficWithin =
    PrintLine("busiest_node_bytes_per_s_" + name, bytes, kMaxBytesPerSecond);
  auto const calls = static_cast<double>(fleet.PlatformCalls() - callsBefore) / seconds;
  // A twentieth of the reads that the platform accepts per second.
  constexpr double kMaxCallsPerSecond = 100;
  bool const isCallRateWithin =
    PrintLine("platform_calls_per_s_" + name, calls, kMaxCallsPerSecond);
  bool const isMonotonic =
    PrintLine("reversions_" + name, static_cast<double>(fleet.Reversions()), 0);
  return isFast && isTrafficWithin && isCallRateWithin && isMonotonic;
}

} // namespace

int main(int aCount, char** aArguments)
{
  cxxopts::Options options("ConfigurationBench", "Spreads versions over fleets in virtual time.");
  options.add_options()("only", "run only if this is \"configuration\"",
                        cxxopts::value<std::string>()->default_value("configuration"))(
    "entries", "entries of the one fleet to run", cxxopts::value<std::size_t>())(
    "seed", "seed of losses and delays", cxxopts::value<std::uint64_t>()->default_value("1"));
  cxxopts::ParseResult parsed;
  try {
    parsed = options.parse(aCount, aArguments);
  } catch (cxxopts::exceptions::exception const& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  if (parsed["only"].as<std::string>() != "configuration") {
    return 0;
  }
  auto const seed = parsed["seed"].as<std::uint64_t>();
  std::vector<fakes::FleetShape> const shapes{ { 4, 4, 14, kLoss, seed },
                                               { 3, 23, 23, kLoss, seed },
                                               { 13, 1400, 10'000, kLoss, seed } };
  bool isWithin = true;
  for (auto const& shape : shapes) {
    if (parsed.count("entries") && parsed["entries"].as<std::size_t>() != shape.m_entries) {
      continue;
    }
    isWithin &= MeasureFleet(shape, shape.m_entries > 1000 ? 2 : 20);
  }
  return isWithin ? 0 : 1;
}
