#include "Bench/Workload/RequestLog.h"
#include "Bench/Workload/ScheduleBound.h"

#include <cxxopts.hpp>

#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>

using namespace sardinefold;

namespace {

struct Options
{
  std::string m_log;
  bench::ScheduledFleet m_fleet;
};

std::optional<Options> Parse(int aCount, char** aArguments)
{
  cxxopts::Options options("yardstick",
                           "Tells from gateways' logs what earned nothing and why, and how much "
                           "of the worth that any schedule of models could earn was earned");
  options.add_options()("log", "File with the gateways' log lines", cxxopts::value<std::string>())(
    "places", "Models that all engines hold at a time", cxxopts::value<unsigned>())(
    "swap-ms", "Time of the fastest load in milliseconds", cxxopts::value<unsigned>());
  try {
    auto const parsed = options.parse(aCount, aArguments);
    return Options{ parsed["log"].as<std::string>(),
                    { parsed["places"].as<unsigned>(),
                      std::chrono::milliseconds(parsed["swap-ms"].as<unsigned>()) } };
  } catch (std::exception const& error) {
    std::cerr << error.what() << '\n' << options.help();
    return std::nullopt;
  }
}

/// Weight by route and by cause of loss. An empty cause stands for earned
/// weight.
using Table = std::map<std::string, std::map<std::string, double>>;

void Print(Table const& aTable)
{
  for (auto const& [route, causes] : aTable) {
    double total = 0;
    for (auto const& [cause, weight] : causes) {
      total += cause == "not owed" ? 0 : weight;
    }
    std::cout << route << ": worth " << total << '\n';
    for (auto const& [cause, weight] : causes) {
      std::cout << "  " << std::setw(8) << weight << "  " << (cause.empty() ? "earned" : cause)
                << '\n';
    }
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  auto const options = Parse(aCount, aArguments);
  if (!options) {
    return 2;
  }
  std::ifstream log(options->m_log);
  if (!log) {
    std::cerr << options->m_log << " cannot be read\n";
    return 2;
  }
  auto const requests = bench::ReadRequests(log);
  auto const weight = bench::RequestWeights(requests);
  Table table;
  std::vector<bench::ScheduledRequest> scheduled;
  double earned = 0;
  for (std::size_t index = 0; index < requests.size(); ++index) {
    auto const& request = requests[index];
    auto const cause = bench::LossCause(request);
    table[request.m_route][cause] += weight[index];
    if (request.m_model && cause != "not owed") {
      earned += cause.empty() ? weight[index] : 0;
      scheduled.push_back(
        { *request.m_model, request.m_arrival, request.m_arrival + request.m_goal, weight[index] });
    }
  }
  Print(table);
  double const bound = bench::MaximumWeight(std::move(scheduled), options->m_fleet);
  std::cout << "requests for models: earned " << earned << " of at most " << bound << ", share "
            << (bound > 0 ? earned / bound : 0) << std::endl;
  return 0;
}
