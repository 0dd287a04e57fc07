#include "ObjectStore/FleetShare.h"

#include <algorithm>

namespace sardinefold::objectstore {

namespace {

constexpr double kClaimWritesPart = 0.6;
constexpr double kOtherWritesPart = 0.3;
constexpr double kReadsPart = 0.9;

struct RoleWeights
{
  double m_entry;
  double m_engineAgent;
  double m_serviceAgent;
};

constexpr RoleWeights kClaimWriteWeights{ 0, 0, 1 };
constexpr RoleWeights kOtherWriteWeights{ 4, 1, 0 };
constexpr RoleWeights kReadWeights{ 8, 1, 4 };

double WeightOf(RoleWeights const& aWeights, ProcessRole aRole)
{
  switch (aRole) {
    case ProcessRole::Entry:
      return aWeights.m_entry;
    case ProcessRole::EngineAgent:
      return aWeights.m_engineAgent;
    case ProcessRole::ServiceAgent:
      return aWeights.m_serviceAgent;
  }
  return aWeights.m_engineAgent;
}

/// Returns the part of a rate for one process of a role, divided by weights.
double WeightedShare(double aRate, FleetSize const& aSize, RoleWeights const& aWeights,
                     ProcessRole aRole)
{
  auto const own = WeightOf(aWeights, aRole);
  if (own <= 0) {
    return 0;
  }
  auto const total = aSize.m_entries * aWeights.m_entry +
                     aSize.m_engineAgents * aWeights.m_engineAgent +
                     aSize.m_serviceAgents * aWeights.m_serviceAgent;
  // Counts a process that the fleet size does not include yet.
  return aRate * own / std::max(total, own);
}

} // namespace

CallRates ShareOf(CallRates const& aFleet, FleetSize const& aSize, ProcessRole aRole)
{
  auto const writes = aFleet.m_writes.Value();
  auto const claims = WeightedShare(writes * kClaimWritesPart, aSize, kClaimWriteWeights, aRole);
  auto const others = WeightedShare(writes * kOtherWritesPart, aSize, kOtherWriteWeights, aRole);
  auto const reads = WeightedShare(aFleet.m_reads.Value() * kReadsPart, aSize, kReadWeights, aRole);
  return { CallsPerSecond(claims + others), CallsPerSecond(reads) };
}

} // namespace sardinefold::objectstore
