#pragma once

#include "Agent/Placement/Placement.h"

#include <map>

namespace sardinefold::agent {

/// What entries and agents report of one model, summed over the fleet.
struct ModelDemand
{
  /// Requests running or waiting at once: the highest minute of the last ten.
  double m_concurrency = 0;
  /// Bursts in an hour, averaged over the last days.
  double m_burstsPerHour = 0;
};

/// What the decider must know of a model.
struct PlacementModel
{
  base::ModelId m_id;
  base::DeploymentId m_deployment;
  base::Bytes m_memory;
  unsigned m_minimumReplicas = 0;
  unsigned m_maximumReplicas = 1;
};

/// An engine that may be given replicas.
struct PlacementUpstream
{
  base::UpstreamId m_id;
  base::DeploymentId m_deployment;
  base::FailureDomainId m_failureDomain;
  base::Bytes m_memory;
  /// Requests that it runs at once.
  unsigned m_concurrency = 1;
  /// Leaving or unhealthy upstreams get no further permission.
  bool m_isAvailable = true;
  /// The platform lists its host no more: nothing is loaded there.
  bool m_isGone = false;
};

struct PlacementPolicy
{
  /// A further replica when the replicas are busier than this.
  double m_growAbove = 0.7;
  /// One replica less when one fewer would be less busy than this.
  double m_shrinkBelow = 0.4;
  /// A model with this many bursts an hour keeps a replica warm.
  double m_warmAboveBurstsPerHour = 12;
  double m_coolBelowBurstsPerHour = 6;
  /// Share of an upstream's memory that kept-warm replicas may take.
  double m_warmMemoryShare = 0.5;
  /// Upstreams that may load a model that is asked for rarely, so that the
  /// loss of one doesn't make it unreachable.
  unsigned m_coldHolders = 2;
  /// Most changes proposed by one call.
  std::size_t m_changesPerRound = 8;
};

/// A new value for one placement object, to be written only over the version
/// it was derived from.
struct PlacementChange
{
  Placement m_placement;
  std::optional<base::ObjectVersion> m_expected;
};

/// Proposes changes of placements. It keeps no state: several deciders may
/// run at once, on news of different age, since each change is written by
/// conditional update and is right for the version it names.
class PlacementDecider
{
public:
  explicit PlacementDecider(PlacementPolicy aPolicy)
    : m_policy(aPolicy)
  {
  }

  std::vector<PlacementChange> Decide(
    std::vector<PlacementModel> const& aModels, std::vector<PlacementUpstream> const& aUpstreams,
    std::map<base::ModelId, VersionedPlacement> const& aPlacements,
    std::map<base::ModelId, ModelDemand> const& aDemand) const;

private:
  PlacementPolicy m_policy;
};

} // namespace sardinefold::agent
