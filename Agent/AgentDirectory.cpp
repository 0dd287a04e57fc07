#include "Agent/AgentDirectory.h"

#include <utility>

namespace sardinefold::agent {

void AgentDirectory::SetDocument(operators::Document const& aDocument)
{
  m_upstreams.clear();
  for (auto const& [id, upstream] : aDocument.m_upstreams) {
    m_upstreams.push_back({ id, upstream.m_deployment, upstream.m_host, upstream.m_concurrency });
  }
  Join();
}

void AgentDirectory::SetHosts(std::vector<AgentHost> aHosts)
{
  m_hosts.clear();
  for (auto& host : aHosts) {
    auto const id = host.m_host;
    m_hosts.insert_or_assign(id, std::move(host));
  }
  Join();
}

void AgentDirectory::Join()
{
  m_agents.clear();
  for (auto const& upstream : m_upstreams) {
    auto& agents = m_agents[upstream.m_deployment];
    auto const host = m_hosts.find(upstream.m_host);
    if (host == m_hosts.end()) {
      continue;
    }
    agents.push_back({ upstream.m_upstream, upstream.m_host, host->second.m_failureDomain,
                       host->second.m_endpoint, upstream.m_concurrency,
                       host->second.m_isDraining });
  }
}

std::vector<KnownAgent> const& AgentDirectory::AgentsOf(base::DeploymentId const& aDeployment) const
{
  static std::vector<KnownAgent> const kNone;
  auto const found = m_agents.find(aDeployment);
  return found == m_agents.end() ? kNone : found->second;
}

std::vector<base::DeploymentId> AgentDirectory::Deployments() const
{
  std::vector<base::DeploymentId> deployments;
  for (auto const& [deployment, agents] : m_agents) {
    deployments.push_back(deployment);
  }
  return deployments;
}

std::size_t AgentDirectory::Size() const
{
  std::size_t size = 0;
  for (auto const& [deployment, agents] : m_agents) {
    size += agents.size();
  }
  return size;
}

} // namespace sardinefold::agent
