#include "Agent/Placement/PlacementDecider.h"

#include "Agent/Placement/PlacementLoad.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::agent {

namespace {

std::size_t CountGranted(Placement const& aPlacement)
{
  return static_cast<std::size_t>(
    std::ranges::count(aPlacement.m_holders, HolderState::Granted, &Holder::m_state));
}

/// Returns the number of requests that one replica of the model runs at once,
/// given by the slowest holder.
double ConcurrencyPerReplica(Placement const& aPlacement, PlacementLoad const& aLoad)
{
  unsigned minimum = 0;
  for (Holder const& holder : aPlacement.m_holders) {
    PlacementUpstream const* const upstream = aLoad.Find(holder.m_upstream);
    if (upstream && (minimum == 0 || upstream->m_concurrency < minimum)) {
      minimum = upstream->m_concurrency;
    }
  }
  return std::max(minimum, 1U);
}

/// Returns the number of replicas that the demand requires; the present number
/// if the utilization is between the thresholds.
unsigned TargetReplicas(PlacementModel const& aModel, ModelDemand const& aDemand,
                        PlacementPolicy const& aPolicy, double aConcurrency, unsigned aPresent)
{
  unsigned const minimum =
    std::min(std::max(aModel.m_minimumReplicas, aPolicy.m_coldHolders), aModel.m_maximumReplicas);
  auto wanted = std::max(aPresent, minimum);
  auto const forDemand =
    static_cast<unsigned>(std::ceil(aDemand.m_concurrency / (aConcurrency * aPolicy.m_growAbove)));
  wanted = std::max(wanted, forDemand);
  double const utilizationWithOneLess =
    aPresent > 1 ? aDemand.m_concurrency / (aConcurrency * (aPresent - 1)) : 1;
  if (aPresent > minimum && forDemand < aPresent &&
      utilizationWithOneLess < aPolicy.m_shrinkBelow) {
    wanted = aPresent - 1;
  }
  return std::clamp(wanted, minimum, aModel.m_maximumReplicas);
}

/// Removes holders whose hosts are gone.
void RemoveGoneHolders(Placement& aPlacement, PlacementLoad const& aLoad)
{
  std::erase_if(aPlacement.m_holders, [&aLoad](Holder const& aHolder) {
    PlacementUpstream const* const upstream = aLoad.Find(aHolder.m_upstream);
    return upstream && upstream->m_isGone;
  });
}

/// Revokes one holder if there are too many, or if one is unavailable and
/// another upstream could replace it.
void RevokeOne(Placement& aPlacement, std::size_t aWanted, bool aCanReplace,
               PlacementLoad const& aLoad)
{
  base::UpstreamId const* const worst = aLoad.ChooseToRevoke(aPlacement);
  if (!worst) {
    return;
  }
  bool const isUnavailable = !aLoad.Find(*worst)->m_isAvailable;
  if (CountGranted(aPlacement) <= aWanted && !(isUnavailable && aCanReplace)) {
    return;
  }
  auto const holder = std::ranges::find(aPlacement.m_holders, *worst, &Holder::m_upstream);
  holder->m_state = HolderState::Revoking;
  holder->m_isKeptWarm = false;
}

/// Chooses which holders keep the model loaded while it is idle.
void SetWarm(Placement& aPlacement, PlacementModel const& aModel, ModelDemand const& aDemand,
             PlacementPolicy const& aPolicy, PlacementLoad& aLoad)
{
  bool const isWarm = std::ranges::any_of(aPlacement.m_holders, &Holder::m_isKeptWarm);
  double const threshold =
    isWarm ? aPolicy.m_coolBelowBurstsPerHour : aPolicy.m_warmAboveBurstsPerHour;
  std::size_t wanted = aModel.m_minimumReplicas;
  if (wanted == 0 && aDemand.m_burstsPerHour >= threshold) {
    wanted = 1;
  }
  for (Holder& holder : aPlacement.m_holders) {
    bool const mayBeWarm = wanted > 0 && holder.m_state == HolderState::Granted;
    bool const wasWarm = holder.m_isKeptWarm;
    holder.m_isKeptWarm =
      mayBeWarm &&
      (wasWarm || aLoad.FitsWarm(holder.m_upstream, aModel.m_memory, aPolicy.m_warmMemoryShare));
    wanted -= holder.m_isKeptWarm ? 1 : 0;
    if (holder.m_isKeptWarm && !wasWarm) {
      aLoad.AddWarm(holder.m_upstream, aModel.m_memory);
    }
  }
}

} // namespace

std::vector<PlacementChange> PlacementDecider::Decide(
  std::vector<PlacementModel> const& aModels, std::vector<PlacementUpstream> const& aUpstreams,
  std::map<base::ModelId, VersionedPlacement> const& aPlacements,
  std::map<base::ModelId, ModelDemand> const& aDemand) const
{
  PlacementLoad load(aUpstreams, aModels, aPlacements);
  std::vector<PlacementChange> changes;
  for (PlacementModel const& model : aModels) {
    if (changes.size() >= m_policy.m_changesPerRound) {
      break;
    }
    auto const found = aPlacements.find(model.m_id);
    VersionedPlacement const before =
      found == aPlacements.end() ? VersionedPlacement{ { model.m_id, 0, {} }, {} } : found->second;
    auto const reported = aDemand.find(model.m_id);
    ModelDemand const demand = reported == aDemand.end() ? ModelDemand() : reported->second;

    Placement after = before.m_placement;
    RemoveGoneHolders(after, load);
    unsigned const wanted =
      TargetReplicas(model, demand, m_policy, ConcurrencyPerReplica(after, load),
                     static_cast<unsigned>(CountGranted(after)));
    RevokeOne(after, wanted, load.ChooseFor(model, after) != nullptr, load);
    // A holder that is being revoked still counts, so it is not replaced yet.
    while (after.m_holders.size() < wanted) {
      PlacementUpstream const* const next = load.ChooseFor(model, after);
      if (!next) {
        break;
      }
      after.m_holders.push_back({ next->m_id, HolderState::Granted, false });
      load.Add(next->m_id, model.m_memory);
    }
    after.m_decided = std::max(wanted, static_cast<unsigned>(after.m_holders.size()));
    SetWarm(after, model, demand, m_policy, load);
    if (after != before.m_placement) {
      changes.push_back({ std::move(after), before.m_version });
    }
  }
  return changes;
}

} // namespace sardinefold::agent
