#include "Agent/Placement/PlacementLoad.h"

#include <algorithm>
#include <tuple>

namespace sardinefold::agent {

PlacementLoad::PlacementLoad(std::vector<PlacementUpstream> const& aUpstreams,
                             std::vector<PlacementModel> const& aModels,
                             std::map<base::ModelId, VersionedPlacement> const& aPlacements)
{
  for (PlacementUpstream const& upstream : aUpstreams) {
    m_loads.emplace(upstream.m_id, Load{ upstream, {}, {} });
  }
  for (PlacementModel const& model : aModels) {
    auto const placement = aPlacements.find(model.m_id);
    if (placement == aPlacements.end()) {
      continue;
    }
    for (Holder const& holder : placement->second.m_placement.m_holders) {
      Add(holder.m_upstream, model.m_memory);
      if (holder.m_isKeptWarm) {
        AddWarm(holder.m_upstream, model.m_memory);
      }
    }
  }
}

PlacementUpstream const* PlacementLoad::Find(base::UpstreamId const& aUpstream) const
{
  auto const found = m_loads.find(aUpstream);
  return found == m_loads.end() ? nullptr : &found->second.m_upstream;
}

void PlacementLoad::Add(base::UpstreamId const& aUpstream, base::Bytes aMemory)
{
  auto const found = m_loads.find(aUpstream);
  if (found != m_loads.end()) {
    found->second.m_reserved += aMemory;
  }
}

void PlacementLoad::AddWarm(base::UpstreamId const& aUpstream, base::Bytes aMemory)
{
  auto const found = m_loads.find(aUpstream);
  if (found != m_loads.end()) {
    found->second.m_warm += aMemory;
  }
}

bool PlacementLoad::FitsWarm(base::UpstreamId const& aUpstream, base::Bytes aMemory,
                             double aShare) const
{
  auto const found = m_loads.find(aUpstream);
  if (found == m_loads.end() || !found->second.m_upstream.m_isAvailable) {
    return false;
  }
  double const maximum = static_cast<double>(found->second.m_upstream.m_memory.Value()) * aShare;
  return static_cast<double>((found->second.m_warm + aMemory).Value()) <= maximum;
}

double PlacementLoad::Fullness(Load const& aLoad) const
{
  double const memory = std::max<double>(static_cast<double>(aLoad.m_upstream.m_memory.Value()), 1);
  return static_cast<double>(aLoad.m_reserved.Value()) / memory;
}

std::size_t PlacementLoad::CountInDomain(Placement const& aPlacement,
                                         base::FailureDomainId const& aDomain) const
{
  auto const isThere = [this, &aDomain](Holder const& aHolder) {
    PlacementUpstream const* const upstream = Find(aHolder.m_upstream);
    return upstream && upstream->m_failureDomain == aDomain;
  };
  return static_cast<std::size_t>(std::ranges::count_if(aPlacement.m_holders, isThere));
}

PlacementUpstream const* PlacementLoad::ChooseFor(PlacementModel const& aModel,
                                                  Placement const& aPlacement) const
{
  auto const rank = [this, &aPlacement](Load const& aLoad) {
    return std::tuple(CountInDomain(aPlacement, aLoad.m_upstream.m_failureDomain), Fullness(aLoad));
  };
  Load const* best = nullptr;
  for (auto const& [id, load] : m_loads) {
    bool const mayHold = load.m_upstream.m_isAvailable && !load.m_upstream.m_isGone &&
                         load.m_upstream.m_deployment == aModel.m_deployment &&
                         aModel.m_memory <= load.m_upstream.m_memory && !aPlacement.Find(id);
    if (mayHold && (!best || rank(load) < rank(*best))) {
      best = &load;
    }
  }
  return best ? &best->m_upstream : nullptr;
}

base::UpstreamId const* PlacementLoad::ChooseToRevoke(Placement const& aPlacement) const
{
  base::UpstreamId const* worst = nullptr;
  std::tuple<bool, std::size_t, double> worstRank;
  for (Holder const& holder : aPlacement.m_holders) {
    auto const load = m_loads.find(holder.m_upstream);
    if (holder.m_state != HolderState::Granted || load == m_loads.end()) {
      continue;
    }
    std::tuple const rank(!load->second.m_upstream.m_isAvailable,
                          CountInDomain(aPlacement, load->second.m_upstream.m_failureDomain),
                          Fullness(load->second));
    if (!worst || rank > worstRank) {
      worst = &holder.m_upstream;
      worstRank = rank;
    }
  }
  return worst;
}

} // namespace sardinefold::agent
