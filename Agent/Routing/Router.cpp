#include "Agent/Routing/Router.h"

#include "Base/Digest.h"

#include <algorithm>

namespace sardinefold::agent {

namespace {

/// A load that takes longer than its agent expected is assumed to need this
/// fraction of the load time.
constexpr int kOverdueDivisor = 8;

base::Duration LoadTime(RouteCosts const& aCosts, engine::WeightTier aTier)
{
  switch (aTier) {
    case engine::WeightTier::HostMemory:
      return aCosts.m_loadFromMemory;
    case engine::WeightTier::Disk:
      return aCosts.m_loadFromDisk;
    case engine::WeightTier::Remote:
      return aCosts.m_loadFromRemote;
  }
  return aCosts.m_loadFromRemote;
}

/// Returns the time until the replica is loaded. If the model is already being
/// loaded elsewhere, each further load costs the load time once more, so that
/// requests join the load in progress unless its queue is longer than a load.
base::Duration TimeToReady(ReplicaForecast const& aStatus, RouteCosts const& aCosts,
                           std::size_t aColdCandidatesBefore, base::Instant aNow)
{
  auto const factor = static_cast<std::int64_t>(1 + aColdCandidatesBefore);
  switch (aStatus.m_state) {
    case engine::ReplicaState::Loaded:
      return base::Duration::zero();
    case engine::ReplicaState::Queued:
    case engine::ReplicaState::Loading:
      return std::max(aStatus.m_readyAt - aNow, LoadTime(aCosts, aStatus.m_tier) / kOverdueDivisor);
    case engine::ReplicaState::Absent:
    case engine::ReplicaState::Unloading:
    case engine::ReplicaState::Uncertain:
      return LoadTime(aCosts, aStatus.m_tier) * factor;
  }
  return LoadTime(aCosts, aStatus.m_tier) * factor;
}

std::uint64_t RankOf(base::ModelId const& aModel, base::UpstreamId const& aUpstream)
{
  return base::FastHash(aUpstream.Text(), base::FastHash(aModel.Text()));
}

/// Returns the prefix that decides which cache the request prefers: the
/// prompt's own, otherwise a hash of its session.
std::optional<PrefixHash> PrefixOf(RouteQuery const& aQuery)
{
  if (aQuery.m_prefix || !aQuery.m_session) {
    return aQuery.m_prefix;
  }
  return PrefixHash(base::FastHash(aQuery.m_session->Text()));
}

} // namespace

void Router::SetUpstream(UpstreamFacts aFacts)
{
  auto const [found, isNew] = m_indexes.try_emplace(aFacts.m_id, m_upstreams.size());
  if (isNew) {
    m_upstreams.push_back({ std::move(aFacts), true, {} });
    return;
  }
  m_upstreams[found->second].m_facts = std::move(aFacts);
}

void Router::SetAvailable(base::UpstreamId const& aUpstream, bool aIsAvailable)
{
  auto const found = m_indexes.find(aUpstream);
  if (found != m_indexes.end()) {
    m_upstreams[found->second].m_isAvailable = aIsAvailable;
  }
}

void Router::SetPlacement(Placement const& aPlacement)
{
  Model& model = m_models[aPlacement.m_model];
  std::vector<Member> members;
  for (Holder const& holder : aPlacement.m_holders) {
    auto const index = m_indexes.find(holder.m_upstream);
    if (index == m_indexes.end() || holder.m_state != HolderState::Granted) {
      continue;
    }
    auto const known = model.m_position.find(index->second);
    members.push_back(known == model.m_position.end() ? Member{ index->second, {}, {} }
                                                      : model.m_members[known->second]);
  }
  auto const rank = [this, &aPlacement](Member const& aMember) {
    return RankOf(aPlacement.m_model, m_upstreams[aMember.m_upstream].m_facts.m_id);
  };
  std::ranges::sort(members, {}, rank);
  model.m_members = std::move(members);
  model.m_position.clear();
  for (std::size_t position = 0; position < model.m_members.size(); ++position) {
    model.m_position.emplace(model.m_members[position].m_upstream, position);
  }
}

void Router::SetReplica(base::UpstreamId const& aUpstream, engine::ReplicaKey const& aReplica,
                        ReplicaForecast aStatus)
{
  auto const index = m_indexes.find(aUpstream);
  auto const model = m_models.find(aReplica.m_model);
  if (index == m_indexes.end() || model == m_models.end()) {
    return;
  }
  auto const position = model->second.m_position.find(index->second);
  if (position == model->second.m_position.end()) {
    return;
  }
  Member& member = model->second.m_members[position->second];
  if (aReplica.m_adapter) {
    member.m_adapters.insert_or_assign(*aReplica.m_adapter, aStatus);
  } else {
    member.m_status = aStatus;
  }
}

void Router::SetCosts(base::ModelId const& aModel, RouteCosts aCosts)
{
  m_models[aModel].m_costs = aCosts;
}

void Router::OnLoadReport(base::UpstreamId const& aUpstream, LoadReport const& aReport,
                          base::Instant aMadeAt)
{
  auto const found = m_indexes.find(aUpstream);
  if (found != m_indexes.end()) {
    m_upstreams[found->second].m_load.OnReport(aReport, aMadeAt);
  }
}

bool Router::IsUsable(Member const& aMember, RouteQuery const& aQuery) const
{
  Upstream const& upstream = m_upstreams[aMember.m_upstream];
  return upstream.m_isAvailable &&
         std::ranges::find(aQuery.m_excluded, upstream.m_facts.m_id) == aQuery.m_excluded.end();
}

std::vector<std::size_t> Router::Candidates(Model const& aModel, RouteQuery const& aQuery)
{
  std::vector<std::size_t> positions;
  if (aModel.m_members.size() > kCandidates) {
    AddPrefixHolders(aModel, aQuery, positions);
    AddSample(aModel, aQuery, positions);
  }
  if (!positions.empty()) {
    std::ranges::sort(positions);
    positions.erase(std::unique(positions.begin(), positions.end()), positions.end());
    return positions;
  }
  // NOTE: With many members, this is reached only if hardly any of them is
  // usable.
  for (std::size_t position = 0; position < aModel.m_members.size(); ++position) {
    if (IsUsable(aModel.m_members[position], aQuery)) {
      positions.push_back(position);
    }
  }
  return positions;
}

void Router::AddPrefixHolders(Model const& aModel, RouteQuery const& aQuery,
                              std::vector<std::size_t>& aPositions) const
{
  auto const prefix = PrefixOf(aQuery);
  if (!prefix) {
    return;
  }
  for (base::UpstreamId const& holder : m_prefixes.Holders(*prefix)) {
    auto const index = m_indexes.find(holder);
    if (index == m_indexes.end()) {
      continue;
    }
    auto const position = aModel.m_position.find(index->second);
    if (position != aModel.m_position.end() &&
        IsUsable(aModel.m_members[position->second], aQuery)) {
      aPositions.push_back(position->second);
    }
  }
}

void Router::AddSample(Model const& aModel, RouteQuery const& aQuery,
                       std::vector<std::size_t>& aPositions)
{
  std::uniform_int_distribution<std::size_t> anyPosition(0, aModel.m_members.size() - 1);
  for (std::size_t tried = 0; tried < kCandidates; ++tried) {
    std::size_t const position = anyPosition(m_random);
    if (IsUsable(aModel.m_members[position], aQuery)) {
      aPositions.push_back(position);
    }
  }
}

bool Router::IsLoading(Member const& aMember, engine::ReplicaKey const& aReplica) const
{
  auto const state = aMember.m_status.m_state;
  return state == engine::ReplicaState::Queued || state == engine::ReplicaState::Loading ||
         (state == engine::ReplicaState::Absent &&
          m_upstreams[aMember.m_upstream].m_load.IsColdSent(aReplica.Base()));
}

base::Duration Router::Estimate(Model const& aModel, std::size_t aPosition,
                                std::size_t aColdCandidatesBefore, RouteQuery const& aQuery,
                                base::Instant aNow) const
{
  Member const& member = aModel.m_members[aPosition];
  Upstream const& upstream = m_upstreams[member.m_upstream];
  RouteCosts const& costs = aModel.m_costs;
  base::Duration ready = TimeToReady(
    member.m_status, costs, IsLoading(member, aQuery.m_replica) ? 0 : aColdCandidatesBefore, aNow);
  bool const isAbsent = member.m_status.m_state == engine::ReplicaState::Absent;
  if (isAbsent && !upstream.m_load.HasRoomFor(aQuery.m_replica.Base(), costs.m_memory)) {
    ready += costs.m_waitForMemory;
  }
  base::Duration adapter{};
  if (aQuery.m_replica.m_adapter) {
    auto const known = member.m_adapters.find(*aQuery.m_replica.m_adapter);
    bool const isLoaded =
      known != member.m_adapters.end() && known->second.m_state == engine::ReplicaState::Loaded;
    adapter = isLoaded ? base::Duration::zero() : costs.m_loadAdapter;
  }
  base::Duration const queue = upstream.m_load.ExpectedWait(
    aQuery.m_class, upstream.m_facts.m_concurrency, costs.m_serviceTime);
  double const cached =
    aQuery.m_prefix ? m_prefixes.Likelihood(upstream.m_facts.m_id, *aQuery.m_prefix, aNow) : 0;
  base::Duration const prefill = costs.m_prefillPerToken * aQuery.m_promptTokens.Value();
  base::Duration const expectedPrefill = base::FromSeconds(base::ToSeconds(prefill) * (1 - cached));
  // The queue drains while the replica loads.
  return upstream.m_facts.m_roundTrip + std::max(ready + adapter, queue) + expectedPrefill;
}

tl::expected<RouteDecision, RouteError> Router::Find(RouteQuery const& aQuery, base::Instant aNow)
{
  auto const model = m_models.find(aQuery.m_replica.m_model);
  if (model == m_models.end()) {
    return tl::make_unexpected(RouteError::UnknownModel);
  }
  std::vector<std::size_t> const candidates = Candidates(model->second, aQuery);
  if (candidates.empty()) {
    return tl::make_unexpected(RouteError::NoUpstream);
  }
  std::size_t best = candidates.front();
  base::Duration least = base::Duration::max();
  bool const isLoading = std::ranges::any_of(candidates, [&](std::size_t aPosition) {
    return IsLoading(model->second.m_members[aPosition], aQuery.m_replica);
  });
  std::size_t coldCandidatesBefore = isLoading ? 1 : 0;
  for (std::size_t const position : candidates) {
    base::Duration const time =
      Estimate(model->second, position, coldCandidatesBefore, aQuery, aNow);
    if (time < least) {
      least = time;
      best = position;
    }
    auto const state = model->second.m_members[position].m_status.m_state;
    coldCandidatesBefore += state == engine::ReplicaState::Loaded ? 0 : 1;
  }
  Upstream const& upstream = m_upstreams[model->second.m_members[best].m_upstream];
  return RouteDecision{ upstream.m_facts.m_id, {}, least };
}

RouteTicket Router::OnSent(RouteQuery const& aQuery, base::UpstreamId const& aUpstream,
                           base::Instant aNow)
{
  auto const index = m_indexes.find(aUpstream);
  if (index == m_indexes.end()) {
    return {};
  }
  m_lastTicket = m_lastTicket.Next();
  m_tickets.emplace(m_lastTicket.Value(), index->second);
  UpstreamLoad& load = m_upstreams[index->second].m_load;
  load.OnSent(m_lastTicket, aQuery.m_class, aNow);
  if (auto const prefix = PrefixOf(aQuery)) {
    m_prefixes.OnSent(aUpstream, *prefix, aNow);
  }
  auto const model = m_models.find(aQuery.m_replica.m_model);
  if (model == m_models.end()) {
    return m_lastTicket;
  }
  auto const position = model->second.m_position.find(index->second);
  bool const isAbsent =
    position != model->second.m_position.end() &&
    model->second.m_members[position->second].m_status.m_state == engine::ReplicaState::Absent;
  if (isAbsent) {
    load.OnColdSent(aQuery.m_replica.Base(), model->second.m_costs.m_memory, aNow);
  }
  return m_lastTicket;
}

tl::expected<RouteDecision, RouteError> Router::Choose(RouteQuery const& aQuery, base::Instant aNow)
{
  auto decision = Find(aQuery, aNow);
  if (decision) {
    decision->m_ticket = OnSent(aQuery, decision->m_upstream, aNow);
  }
  return decision;
}

void Router::OnDone(RouteTicket aTicket)
{
  auto const ticket = m_tickets.extract(aTicket.Value());
  if (!ticket.empty()) {
    m_upstreams[ticket.mapped()].m_load.OnDone(aTicket);
  }
}

} // namespace sardinefold::agent
