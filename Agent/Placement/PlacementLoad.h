#pragma once

#include "Agent/Placement/PlacementDecider.h"

namespace sardinefold::agent {

/// How much is placed on each upstream; grows with the changes of a round.
class PlacementLoad
{
public:
  PlacementLoad(std::vector<PlacementUpstream> const& aUpstreams,
                std::vector<PlacementModel> const& aModels,
                std::map<base::ModelId, VersionedPlacement> const& aPlacements);

  PlacementUpstream const* Find(base::UpstreamId const& aUpstream) const;
  /// Counts a permission, and a replica that is kept loaded.
  void Add(base::UpstreamId const& aUpstream, base::Bytes aMemory);
  void AddWarm(base::UpstreamId const& aUpstream, base::Bytes aMemory);
  bool FitsWarm(base::UpstreamId const& aUpstream, base::Bytes aMemory, double aShare) const;

  /// The upstream for a further replica: in the failure domain with the fewest
  /// replicas of the model, then with the least memory promised for its size.
  PlacementUpstream const* ChooseFor(PlacementModel const& aModel,
                                     Placement const& aPlacement) const;
  /// The holder to lose: in the failure domain with the most replicas, then
  /// with the most memory promised.
  base::UpstreamId const* ChooseToRevoke(Placement const& aPlacement) const;

private:
  struct Load
  {
    PlacementUpstream m_upstream;
    base::Bytes m_reserved;
    base::Bytes m_warm;
  };

  double Fullness(Load const& aLoad) const;
  std::size_t CountInDomain(Placement const& aPlacement,
                            base::FailureDomainId const& aDomain) const;

  std::map<base::UpstreamId, Load> m_loads;
};

} // namespace sardinefold::agent
