#include "Platform/FleetShare.h"

#include <algorithm>

namespace sardinefold::platform {

namespace {

constexpr double kDividedPart = 0.9;

struct RoleWeights
{
  double m_entry;
  double m_engineAgent;
  double m_serviceAgent;
};

constexpr RoleWeights kWriteWeights{ 4, 1, 20 };
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

CallsPerSecond Share(CallsPerSecond aFleet, FleetSize const& aSize, RoleWeights const& aWeights,
                     ProcessRole aRole)
{
  auto const total = aSize.m_entries * aWeights.m_entry +
                     aSize.m_engineAgents * aWeights.m_engineAgent +
                     aSize.m_serviceAgents * aWeights.m_serviceAgent;
  auto const own = WeightOf(aWeights, aRole);
  // A process that the sizes do not count yet is still one of the fleet.
  return CallsPerSecond(aFleet.Value() * kDividedPart * own / std::max(total, own));
}

} // namespace

CallRates ShareOf(CallRates const& aFleet, FleetSize const& aSize, ProcessRole aRole)
{
  return { Share(aFleet.m_writes, aSize, kWriteWeights, aRole),
           Share(aFleet.m_reads, aSize, kReadWeights, aRole) };
}

} // namespace sardinefold::platform
