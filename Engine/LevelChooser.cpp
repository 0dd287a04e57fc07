#include "Engine/LevelChooser.h"

#include <algorithm>
#include <vector>

namespace sardinefold::engine {

namespace {

/// The requests to spread if no other process sends any: costs that differ by less than
/// half a request are alike.
constexpr double kLeastSpread = 0.5;

/// Returns the cost up to which aRequests fill the candidates.
double LevelOf(std::span<UpstreamCandidate const> aCandidates, double aRequests)
{
  std::vector<UpstreamCandidate> byCost(aCandidates.begin(), aCandidates.end());
  std::ranges::sort(byCost, {}, &UpstreamCandidate::m_cost);
  double requestsPerCost = 0;
  double filled = aRequests;
  double level = 0;
  for (auto const& candidate : byCost) {
    double const cost = candidate.m_cost.Value();
    if (requestsPerCost > 0 && level <= cost) {
      break;
    }
    requestsPerCost += 1 / candidate.m_added.Value();
    filled += cost / candidate.m_added.Value();
    level = filled / requestsPerCost;
  }
  return level;
}

} // namespace

std::size_t LevelChooser::Choose(std::span<UpstreamCandidate const> aCandidates, double aOthers,
                                 double aDraw) const
{
  double const requests = std::max(aOthers, kLeastSpread);
  double const level = LevelOf(aCandidates, requests);
  // The rooms of all candidates sum up to the requests.
  double left = aDraw * requests;
  std::size_t chosen = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    auto const& candidate = aCandidates[index];
    double const room = (level - candidate.m_cost.Value()) / candidate.m_added.Value();
    if (room <= 0) {
      continue;
    }
    chosen = index;
    left -= room;
    if (left < 0) {
      break;
    }
  }
  return chosen;
}

} // namespace sardinefold::engine
