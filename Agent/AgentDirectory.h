#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Operator/Document.h"

#include <map>
#include <vector>

namespace sardinefold::agent {

/// An agent that requests may be sent to.
struct KnownAgent
{
  base::UpstreamId m_upstream;
  base::HostId m_host;
  base::FailureDomainId m_failureDomain;
  base::Endpoint m_endpoint;
  unsigned m_concurrency = 1;
  /// The platform lists the host as draining, so it gets no new requests.
  bool m_isDraining = false;
};

/// The host of an agent, as the platform lists it.
struct AgentHost
{
  base::HostId m_host;
  base::FailureDomainId m_failureDomain;
  base::Endpoint m_endpoint;
  bool m_isDraining = false;
};

/// Joins the document's upstreams with the platform's list of hosts: the agents
/// of each deployment and their endpoints.
class AgentDirectory
{
public:
  void SetDocument(operators::Document const& aDocument);
  void SetHosts(std::vector<AgentHost> aHosts);

  /// Returns the agents of a deployment whose hosts are listed, including
  /// draining ones.
  std::vector<KnownAgent> const& AgentsOf(base::DeploymentId const& aDeployment) const;
  std::vector<base::DeploymentId> Deployments() const;
  std::size_t Size() const;

private:
  struct DocumentedUpstream
  {
    base::UpstreamId m_upstream;
    base::DeploymentId m_deployment;
    base::HostId m_host;
    unsigned m_concurrency;
  };

  void Join();

  std::vector<DocumentedUpstream> m_upstreams;
  std::map<base::HostId, AgentHost> m_hosts;
  std::map<base::DeploymentId, std::vector<KnownAgent>> m_agents;
};

} // namespace sardinefold::agent
