#include "Programs/Entry/RoutingChooser.h"

#include <algorithm>

namespace sardinefold::programs {

namespace {

/// Maximum share of a deployment's upstreams that may be ejected at once.
constexpr double kMaximumEjectedShare = 0.3;

/// Returns the model id that represents all calls of a deployment of plain
/// services in the router.
base::ModelId ServiceModelId(base::DeploymentId const& aDeployment)
{
  return base::ModelId::FromValidated("service:" + aDeployment.Text());
}

engine::ReplicaState ToReplicaState(agent::ReplicaStatus::State aState)
{
  switch (aState) {
    case agent::ReplicaStatus::State::Loading:
      return engine::ReplicaState::Loading;
    case agent::ReplicaStatus::State::Loaded:
      return engine::ReplicaState::Loaded;
    case agent::ReplicaStatus::State::Unloading:
      return engine::ReplicaState::Unloading;
  }
  return engine::ReplicaState::Absent;
}

engine::ReplicaKey KeyOf(agent::ReplicaStatus const& aReplica)
{
  engine::ReplicaKey key{ aReplica.m_model, std::nullopt };
  if (!aReplica.m_adapter.IsEmpty()) {
    key.m_adapter = aReplica.m_adapter;
  }
  return key;
}

} // namespace

RoutingChooser::RoutingChooser(agent::AgentDirectory const& aDirectory, std::uint64_t aSeed)
  : m_directory(aDirectory)
  , m_router(aSeed)
{
}

void RoutingChooser::SetDocument(operators::Document const& aDocument)
{
  m_deployments.clear();
  m_listed.clear();
  for (auto const& [id, model] : aDocument.m_models) {
    m_deployments[model.m_deployment].m_models.push_back(id);
    agent::RouteCosts costs;
    costs.m_memory = model.m_weights + model.m_cache;
    m_router.SetCosts(id, costs);
  }
  for (auto const& [id, upstream] : aDocument.m_upstreams) {
    if (upstream.m_kind == operators::UpstreamKind::Service) {
      m_deployments[upstream.m_deployment] = { { ServiceModelId(upstream.m_deployment) }, true };
    }
  }
  UpdateFromDirectory();
}

void RoutingChooser::UpdateFromDirectory()
{
  std::set<base::UpstreamId> listed;
  for (auto const& [deployment, contents] : m_deployments) {
    for (auto const& agent : m_directory.AgentsOf(deployment)) {
      m_router.SetUpstream({ agent.m_upstream, agent.m_failureDomain, {}, agent.m_concurrency });
      m_router.SetAvailable(agent.m_upstream, !agent.m_isDraining);
      HealthOf(deployment).Add(agent.m_upstream);
      listed.insert(agent.m_upstream);
    }
  }
  if (listed == m_listed) {
    return;
  }
  for (auto const& upstream : m_listed) {
    if (!listed.contains(upstream)) {
      m_router.SetAvailable(upstream, false);
      for (auto& [deployment, health] : m_health) {
        health.Remove(upstream);
      }
    }
  }
  for (auto const& [deployment, contents] : m_deployments) {
    PlaceOnAllAgents(deployment);
  }
  m_listed = std::move(listed);
}

void RoutingChooser::PlaceOnAllAgents(base::DeploymentId const& aDeployment)
{
  auto const& contents = m_deployments.at(aDeployment);
  auto const& agents = m_directory.AgentsOf(aDeployment);
  for (auto const& model : contents.m_models) {
    agent::Placement placement{ model, static_cast<unsigned>(agents.size()), {} };
    for (auto const& agent : agents) {
      placement.m_holders.push_back({ agent.m_upstream });
    }
    m_router.SetPlacement(placement);
    if (!contents.m_isService) {
      continue;
    }
    for (auto const& agent : agents) {
      m_router.SetReplica(agent.m_upstream, { model, std::nullopt },
                          { engine::ReplicaState::Loaded });
    }
  }
}

void RoutingChooser::OnStatus(agent::AgentStatus const& aStatus, base::Instant aRequestedAt)
{
  agent::LoadReport report;
  report.m_running = static_cast<unsigned>(aStatus.m_running);
  report.m_waiting[static_cast<std::size_t>(operators::RequestClass::Standard)] =
    static_cast<unsigned>(aStatus.m_waiting);
  report.m_loadable = aStatus.m_freeMemory;
  m_router.OnLoadReport(aStatus.m_upstream, report, aRequestedAt);

  std::set<engine::ReplicaKey> reported;
  for (auto const& replica : aStatus.m_replicas) {
    auto const key = KeyOf(replica);
    m_router.SetReplica(aStatus.m_upstream, key, { ToReplicaState(replica.m_state) });
    reported.insert(key);
  }
  auto& previous = m_reportedReplicas[aStatus.m_upstream];
  for (auto const& key : previous) {
    if (!reported.contains(key)) {
      m_router.SetReplica(aStatus.m_upstream, key, {});
    }
  }
  previous = std::move(reported);
}

agent::RouteQuery RoutingChooser::QueryFor(agent::DispatchRequest const& aRequest) const
{
  agent::RouteQuery query;
  query.m_replica.m_model =
    aRequest.m_model ? *aRequest.m_model : ServiceModelId(aRequest.m_deployment);
  query.m_replica.m_adapter = aRequest.m_adapter;
  query.m_class = aRequest.m_class;
  query.m_promptTokens = aRequest.m_prompt;
  query.m_session = aRequest.m_session;
  if (aRequest.m_prefixHash != 0) {
    query.m_prefix = agent::PrefixHash(aRequest.m_prefixHash);
  }
  return query;
}

std::optional<agent::KnownAgent> RoutingChooser::Choose(agent::DispatchRequest const& aRequest,
                                                        std::set<base::UpstreamId> const& aExcluded,
                                                        base::Instant aNow)
{
  auto query = QueryFor(aRequest);
  query.m_excluded.assign(aExcluded.begin(), aExcluded.end());
  auto const requestedExclusions = query.m_excluded.size();
  auto const blocked = HealthOf(aRequest.m_deployment).Blocked(aNow);
  query.m_excluded.insert(query.m_excluded.end(), blocked.begin(), blocked.end());
  auto decision = m_router.Find(query, aNow);
  if (!decision && !blocked.empty()) {
    // With no other upstream left, try an ejected one: it may have recovered.
    query.m_excluded.resize(requestedExclusions);
    decision = m_router.Find(query, aNow);
  }
  if (!decision) {
    return std::nullopt;
  }
  auto const& agents = m_directory.AgentsOf(aRequest.m_deployment);
  auto const found =
    std::ranges::find(agents, decision->m_upstream, &agent::KnownAgent::m_upstream);
  return found == agents.end() ? std::nullopt : std::optional(*found);
}

void RoutingChooser::OnSent(agent::DispatchRequest const& aRequest,
                            base::UpstreamId const& aUpstream, base::Instant aNow)
{
  HealthOf(aRequest.m_deployment).TakeRequest(aUpstream, aNow);
  auto const ticket = m_router.OnSent(QueryFor(aRequest), aUpstream, aNow);
  m_tickets.insert_or_assign(aRequest.m_id, ticket);
}

agent::DeploymentHealth& RoutingChooser::HealthOf(base::DeploymentId const& aDeployment)
{
  return m_health.try_emplace(aDeployment, agent::HealthLimits{}, kMaximumEjectedShare)
    .first->second;
}

void RoutingChooser::OnEnded(agent::DispatchRequest const& aRequest,
                             base::UpstreamId const& aUpstream, agent::AttemptEnd aEnd,
                             base::Instant aNow)
{
  auto& health = HealthOf(aRequest.m_deployment);
  switch (aEnd) {
    case agent::AttemptEnd::Served:
      health.OnServed(aUpstream, aNow);
      break;
    case agent::AttemptEnd::Failed:
      health.OnFailed(aUpstream, aNow);
      break;
    case agent::AttemptEnd::Refused:
    case agent::AttemptEnd::Late:
    case agent::AttemptEnd::Cancelled:
      health.OnInconclusive(aUpstream);
      break;
  }
  auto const ticket = m_tickets.extract(aRequest.m_id);
  if (!ticket.empty()) {
    m_router.OnDone(ticket.mapped());
  }
}

} // namespace sardinefold::programs
