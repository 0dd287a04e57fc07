#include "Engine/ReplicaManager.h"

#include <algorithm>

namespace sardinefold::engine {

namespace {

/// Deadline of loads for replicas that are kept warm, for which no request
/// waits.
constexpr base::Duration kWarmDeadline = std::chrono::minutes(5);

struct WantedReplica
{
  Urgency m_urgency;
  ReplicaKey m_replica;

  friend auto operator<=>(WantedReplica const&, WantedReplica const&) = default;
};

void MakeMoreUrgent(std::optional<Urgency>& aUrgency, std::optional<Urgency> const& aOther)
{
  if (aOther && (!aUrgency || *aOther < *aUrgency)) {
    aUrgency = aOther;
  }
}

} // namespace

void ReplicaManager::Advance(base::Instant aNow, ReplicaActions& aActions)
{
  if (!m_isReconciled) {
    return;
  }
  for (auto const& [key, replica] : m_replicas.All()) {
    if (!MayRemainLoaded(key.m_model)) {
      MarkForUnload(key);
    }
  }
  CancelUnwantedLoads(aNow, aActions);
  StartWantedLoads(aNow, aActions);
  StartWantedUnloads(aNow, aActions);
}

std::optional<Urgency> ReplicaManager::DemandFor(ReplicaKey const& aKey, base::Instant aNow) const
{
  std::optional<Urgency> urgency;
  for (auto const& [key, replica] : m_replicas.All()) {
    bool const needsReplica = key == aKey || (!aKey.IsAdapter() && key.m_model == aKey.m_model);
    if (needsReplica) {
      MakeMoreUrgent(urgency, replica.MostUrgent());
    }
  }
  if (!urgency && IsKeptWarm(aKey)) {
    urgency = Urgency{ operators::RequestClass::Batch, aNow + kWarmDeadline };
  }
  return urgency;
}

void ReplicaManager::CancelUnwantedLoads(base::Instant aNow, ReplicaActions& aActions)
{
  for (auto& [key, replica] : m_replicas.All()) {
    if (replica.State() != ReplicaState::Queued) {
      continue;
    }
    if (IsGranted(key.m_model) && DemandFor(key, aNow)) {
      continue;
    }
    replica.Apply(ReplicaEvent::Cancel, aNow);
    m_ledger.Release(key);
    EndLoadOrder(replica, LoadOrderEvent::Cancel, aActions);
  }
}

void ReplicaManager::StartWantedLoads(base::Instant aNow, ReplicaActions& aActions)
{
  if (!m_lease.MayOrder(aNow)) {
    return;
  }
  for (auto const& [model, permission] : m_permissions) {
    if (permission.m_isKeptWarm && m_catalog.contains({ model, std::nullopt })) {
      Find({ model, std::nullopt });
    }
  }
  std::vector<WantedReplica> wanted;
  for (auto& [key, replica] : m_replicas.All()) {
    auto const urgency = IsGranted(key.m_model) ? DemandFor(key, aNow) : std::nullopt;
    if (!urgency) {
      continue;
    }
    if (replica.State() == ReplicaState::Queued) {
      UpdateSlotRequest(replica, key, *urgency, aActions);
    }
    if (replica.IsAbsent() && aNow >= replica.m_retryAt) {
      wanted.push_back({ *urgency, key });
    }
  }
  std::ranges::sort(wanted);
  for (WantedReplica const& next : wanted) {
    // A less urgent load must not take the memory that this load waits for.
    if (!StartLoad(next.m_replica, next.m_urgency, aNow, aActions)) {
      return;
    }
  }
}

bool ReplicaManager::StartLoad(ReplicaKey const& aKey, Urgency aUrgency, base::Instant aNow,
                               ReplicaActions& aActions)
{
  if (aKey.IsAdapter() && m_replicas.StateOf(aKey.Base()) != ReplicaState::Loaded) {
    return true;
  }
  Replica& replica = Find(aKey);
  auto const spec = m_catalog.find(aKey);
  if (spec == m_catalog.end()) {
    return true;
  }
  replica.m_memory = spec->second;
  auto const reserved = m_ledger.Reserve(aKey, replica.m_memory);
  if (!reserved) {
    ReclaimMemory(aKey, replica.m_memory.Total(), aUrgency, aNow);
    return false;
  }
  replica.Apply(ReplicaEvent::Reserve, aNow);
  replica.m_isUnloadWanted = false;
  m_lastOrder = m_lastOrder.Next();
  replica.m_load.emplace(Replica::LoadOrder{ m_lastOrder, LoadOrderStateMachine(), aUrgency });
  aActions.emplace_back(RequestSlot{ m_lastOrder, aKey, aUrgency.m_class, aUrgency.m_deadline });
  return true;
}

void ReplicaManager::UpdateSlotRequest(Replica& aReplica, ReplicaKey const& aKey, Urgency aUrgency,
                                       ReplicaActions& aActions)
{
  if (!aReplica.m_load ||
      (aReplica.m_load->m_isRequested && aReplica.m_load->m_requestedUrgency == aUrgency)) {
    return;
  }
  aReplica.m_load->m_requestedUrgency = aUrgency;
  aReplica.m_load->m_isRequested = true;
  aActions.emplace_back(
    RequestSlot{ aReplica.m_load->m_id, aKey, aUrgency.m_class, aUrgency.m_deadline });
}

void ReplicaManager::ReclaimMemory(ReplicaKey const& aReplica, base::Bytes aNeeded,
                                   Urgency aUrgency, base::Instant aNow)
{
  base::Bytes const beingFreed = m_ledger.Free() + m_replicas.MemoryBeingFreed();
  if (beingFreed >= aNeeded) {
    return;
  }
  auto const candidates = FindEvictable(aReplica, aUrgency, aNow);
  for (ReplicaKey const& key : ChooseEvictions(candidates, aNeeded - beingFreed)) {
    MarkForUnload(key);
  }
}

bool ReplicaManager::IsEvictable(ReplicaKey const& aKey, Replica const& aReplica,
                                 ReplicaKey const& aFor, Urgency aUrgency, base::Instant aNow) const
{
  if (!aReplica.IsLoaded() || aReplica.m_isUnloadWanted || aKey == aFor.Base()) {
    return false;
  }
  if (m_replicas.IsInUse(aKey)) {
    return false;
  }
  bool const isBatch = aUrgency.m_class == operators::RequestClass::Batch;
  bool const isRecentlyUsed = aNow < aReplica.m_usage.LastUse() + m_settings.m_batchEvictionDelay;
  return !isBatch || (!isRecentlyUsed && !IsKeptWarm(aKey));
}

std::vector<EvictionCandidate> ReplicaManager::FindEvictable(ReplicaKey const& aFor,
                                                             Urgency aUrgency,
                                                             base::Instant aNow) const
{
  std::map<base::ModelId, EvictionCandidate> bases;
  std::vector<EvictionCandidate> candidates;
  // NOTE: a base model sorts before its adapters, which are evicted together
  // with it.
  for (auto const& [key, replica] : m_replicas.All()) {
    if (!IsEvictable(key, replica, aFor, aUrgency, aNow)) {
      continue;
    }
    EvictionCandidate const candidate{ key, replica.m_memory.Total(),
                                       replica.m_usage.ExpectedIdle(aNow),
                                       m_loadTimes.ExpectedTime(replica.m_memory.m_weights) };
    if (!key.IsAdapter()) {
      bases.emplace(key.m_model, candidate);
      continue;
    }
    auto const base = bases.find(key.m_model);
    if (base == bases.end()) {
      candidates.push_back(candidate);
      continue;
    }
    base->second.m_memory += candidate.m_memory;
    base->second.m_reloadTime += candidate.m_reloadTime;
    base->second.m_expectedIdle = std::min(base->second.m_expectedIdle, candidate.m_expectedIdle);
  }
  for (auto const& [model, candidate] : bases) {
    candidates.push_back(candidate);
  }
  return candidates;
}

void ReplicaManager::MarkForUnload(ReplicaKey const& aKey)
{
  for (auto& [key, replica] : m_replicas.All()) {
    bool const isAffected = key == aKey || (!aKey.IsAdapter() && key.m_model == aKey.m_model);
    if (isAffected && replica.IsLoaded()) {
      replica.m_isUnloadWanted = true;
    }
  }
}

BurstEstimate& ReplicaManager::BurstsOf(operators::RequestClass aClass)
{
  return aClass == operators::RequestClass::Batch ? m_batchBursts : m_bursts;
}

void ReplicaManager::RecordUse(Replica& aReplica, operators::RequestClass aClass,
                               base::Instant aNow)
{
  if (aReplica.m_isBurstOver) {
    aReplica.m_burst = {};
    aReplica.m_burstClass = aClass;
  } else {
    base::Duration const gap = aNow - aReplica.m_usage.LastUse();
    ++aReplica.m_burst.m_gaps;
    aReplica.m_burst.m_length += gap;
    BurstsOf(aReplica.m_burstClass).OnGapWithinBurst(gap);
    aReplica.m_burstClass = std::min(aReplica.m_burstClass, aClass);
  }
  aReplica.m_isBurstOver = false;
  aReplica.m_isUnloadWanted = false;
  aReplica.m_usage.RecordUse(aNow);
}

void ReplicaManager::RecordBurstEnds(base::Instant aNow)
{
  for (auto& [key, replica] : m_replicas.All()) {
    bool const isIdle = aNow >= replica.m_usage.LastUse() + m_settings.m_breakEvenIdle;
    if (!replica.m_isBurstOver && isIdle && !m_replicas.IsInUse(key)) {
      replica.m_isBurstOver = true;
      BurstsOf(replica.m_burstClass).OnBurstEnd();
    }
  }
}

void ReplicaManager::MarkIdleReplicas(base::Instant aNow)
{
  for (auto const& [key, replica] : m_replicas.All()) {
    base::Duration const keep = BurstsOf(replica.m_burstClass).KeepTime(replica.m_burst);
    base::Instant const since = std::max(replica.m_usage.LastUse(), replica.m_changedAt);
    bool const isWorthKeeping = aNow < since + keep;
    if (replica.IsLoaded() && !isWorthKeeping && !IsKeptWarm(key) && !m_replicas.IsInUse(key)) {
      MarkForUnload(key);
    }
  }
}

base::Bytes ReplicaManager::LoadableMemory(base::Instant aNow) const
{
  base::Bytes loadable = m_ledger.Free() + m_replicas.MemoryBeingFreed();
  Urgency const urgent{ operators::RequestClass::Interactive, aNow };
  for (EvictionCandidate const& candidate : FindEvictable({}, urgent, aNow)) {
    loadable += candidate.m_memory;
  }
  return loadable;
}

void ReplicaManager::StartWantedUnloads(base::Instant aNow, ReplicaActions& aActions)
{
  if (!m_lease.MayOrder(aNow)) {
    return;
  }
  for (auto& [key, replica] : m_replicas.All()) {
    bool const mayUnload = replica.IsLoaded() && replica.m_isUnloadWanted &&
                           aNow >= replica.m_retryAt && !m_replicas.IsInUse(key);
    if (!mayUnload || (!key.IsAdapter() && m_replicas.HasAdapters(key))) {
      continue;
    }
    m_lastOrder = m_lastOrder.Next();
    replica.Apply(ReplicaEvent::Unload, aNow);
    replica.m_unload = m_lastOrder;
    replica.m_orderEnd = aNow + m_lease.OrderBound();
    replica.m_isUnloadWanted = false;
    aActions.emplace_back(OrderUnload{ m_lastOrder, key, *m_lease.Number(), m_lease.OrderBound() });
  }
}

void ReplicaManager::RefuseWaiting(ReplicaKey const& aKey, ReplicaRefusal aReason,
                                   ReplicaActions& aActions)
{
  Replica& replica = m_replicas.All().at(aKey);
  for (auto const& [request, urgency] : replica.m_waiting) {
    m_requests.erase(request);
    aActions.emplace_back(RefuseRequest{ request, aReason });
  }
  replica.m_waiting.clear();
}

void ReplicaManager::ExpireWaiting(base::Instant aNow, ReplicaActions& aActions)
{
  for (auto& [key, replica] : m_replicas.All()) {
    for (auto waiting = replica.m_waiting.begin(); waiting != replica.m_waiting.end();) {
      bool const isExpired = waiting->second.m_deadline <= aNow;
      if (!isExpired && !m_lease.IsLost()) {
        ++waiting;
        continue;
      }
      auto const reason = isExpired ? ReplicaRefusal::NotInTime : ReplicaRefusal::LostWriter;
      aActions.emplace_back(RefuseRequest{ waiting->first, reason });
      m_requests.erase(waiting->first);
      waiting = replica.m_waiting.erase(waiting);
    }
  }
}

} // namespace sardinefold::engine
