#pragma once

#include "Agent/AgentDirectory.h"
#include "Agent/AgentStatus.h"
#include "Agent/DispatchPolicy.h"
#include "Agent/Routing/Router.h"
#include "Agent/UpstreamHealth.h"

#include <map>
#include <set>

namespace sardinefold::programs {

/// Chooses the agent of each attempt by the expected time to the first token.
/// Any upstream of a model's deployment may be chosen; its agent decides what
/// to load.
class RoutingChooser
{
public:
  RoutingChooser(agent::AgentDirectory const& aDirectory, std::uint64_t aSeed);

  /// Updates the router's upstreams from the directory. Must be called after each
  /// change of the directory.
  void UpdateFromDirectory();
  void SetDocument(operators::Document const& aDocument);
  /// Handles an agent's response to a status request sent at aRequestedAt.
  void OnStatus(agent::AgentStatus const& aStatus, base::Instant aRequestedAt);

  // The members below implement agent::AgentChooser.
  std::optional<agent::KnownAgent> Choose(agent::DispatchRequest const& aRequest,
                                          std::set<base::UpstreamId> const& aExcluded,
                                          base::Instant aNow);
  void OnSent(agent::DispatchRequest const& aRequest, base::UpstreamId const& aUpstream,
              base::Instant aNow);
  void OnEnded(agent::DispatchRequest const& aRequest, base::UpstreamId const& aUpstream,
               agent::AttemptEnd aEnd, base::Instant aNow);

private:
  /// The models of a deployment. A plain service has a single one that represents
  /// all calls.
  struct Deployment
  {
    std::vector<base::ModelId> m_models;
    bool m_isService = false;
  };

  agent::DeploymentHealth& HealthOf(base::DeploymentId const& aDeployment);

  agent::RouteQuery QueryFor(agent::DispatchRequest const& aRequest) const;
  void PlaceOnAllAgents(base::DeploymentId const& aDeployment);

  agent::AgentDirectory const& m_directory;
  agent::Router m_router;
  std::map<base::DeploymentId, Deployment> m_deployments;
  /// The replicas that each agent last reported, to detect those that are gone.
  std::map<base::UpstreamId, std::set<engine::ReplicaKey>> m_reportedReplicas;
  std::set<base::UpstreamId> m_listed;
  std::map<base::DeploymentId, agent::DeploymentHealth> m_health;
  std::map<base::RequestId, agent::RouteTicket> m_tickets;
};

} // namespace sardinefold::programs
