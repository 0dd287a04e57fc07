#pragma once

#include "Agent/Placement/Placement.h"

#include <map>

namespace sardinefold::agent {

/// Demand for one model, reported by entries and agents and summed over all of
/// them.
struct ModelDemand
{
  /// Requests running or waiting at once: the highest minute of the last ten.
  double m_concurrency = 0;
  /// Bursts per hour, averaged over the last days.
  double m_burstsPerHour = 0;
};

/// The properties of a model that placement depends on.
struct PlacementModel
{
  base::ModelId m_id;
  base::DeploymentId m_deployment;
  base::Bytes m_memory;
  unsigned m_minimumReplicas = 0;
  unsigned m_maximumReplicas = 1;
};

/// An engine that replicas may be placed on.
struct PlacementUpstream
{
  base::UpstreamId m_id;
  base::DeploymentId m_deployment;
  base::FailureDomainId m_failureDomain;
  base::Bytes m_memory;
  /// Requests that the engine runs at once.
  unsigned m_concurrency = 1;
  /// Whether new replicas may be placed here; false for draining and unhealthy
  /// upstreams.
  bool m_isAvailable = true;
  /// Whether the platform no longer lists its host, so nothing is loaded there.
  bool m_isGone = false;
};

struct PlacementPolicy
{
  /// Adds a replica if the utilization of the replicas is above this value.
  double m_growAbove = 0.7;
  /// Removes a replica if the utilization with one fewer would be below this
  /// value.
  double m_shrinkBelow = 0.4;
  /// Keeps a replica warm for models with at least this many bursts per hour.
  double m_warmAboveBurstsPerHour = 12;
  double m_coolBelowBurstsPerHour = 6;
  /// Maximum share of an upstream's memory for replicas that are kept warm.
  double m_warmMemoryShare = 0.5;
  /// Number of upstreams that may load a rarely requested model, so that the
  /// loss of one does not make the model unavailable.
  unsigned m_coldHolders = 2;
  /// Maximum number of changes proposed by one call.
  std::size_t m_changesPerRound = 8;
};

/// A new value for one placement object. It must only be written over the
/// version that it was derived from.
struct PlacementChange
{
  Placement m_placement;
  std::optional<base::ObjectVersion> m_expected;
};

/// Proposes changes of placements. It is stateless: several deciders may run at
/// once on data of different age, since each change is written by a conditional
/// update and is valid for the version that it names.
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
