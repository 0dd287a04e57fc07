#pragma once

#include "Agent/Placement/PlacementDecider.h"

namespace sardinefold::agent {

/// Memory placed on each upstream, including the changes of the current round.
class PlacementLoad
{
public:
  PlacementLoad(std::vector<PlacementUpstream> const& aUpstreams,
                std::vector<PlacementModel> const& aModels,
                std::map<base::ModelId, VersionedPlacement> const& aPlacements);

  PlacementUpstream const* Find(base::UpstreamId const& aUpstream) const;
  /// Counts memory for a holder's replica (Add) and for a replica that is kept
  /// warm (AddWarm).
  void Add(base::UpstreamId const& aUpstream, base::Bytes aMemory);
  void AddWarm(base::UpstreamId const& aUpstream, base::Bytes aMemory);
  bool FitsWarm(base::UpstreamId const& aUpstream, base::Bytes aMemory, double aShare) const;

  /// Returns the upstream for a further replica: in the failure domain with the
  /// fewest replicas of the model, then with the smallest reserved share of its
  /// memory. Returns null if none is suitable.
  PlacementUpstream const* ChooseFor(PlacementModel const& aModel,
                                     Placement const& aPlacement) const;
  /// Returns the holder to revoke: unavailable ones first, then in the failure
  /// domain with the most replicas, then with the largest reserved share of its
  /// memory. Returns null if there is none.
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
