#include "Engine/ReplicaManager.h"

#include <algorithm>
#include <utility>

namespace sardinefold::engine {

namespace {

/// Minimum time between two reads of the engine's state.
constexpr base::Duration kMinimumReadInterval = std::chrono::milliseconds(200);
/// Initial estimates of the gaps in a burst. Interactive and standard requests
/// follow one another closely; batch requests arrive singly.
constexpr double kGapsInBurst = 8;
constexpr double kGapsInBatch = 0.25;
/// Minimum time between two confirmations of one revocation.
constexpr base::Duration kConfirmationInterval = std::chrono::seconds(1);
} // namespace

std::string_view ToText(ReplicaRefusal aRefusal)
{
  switch (aRefusal) {
    case ReplicaRefusal::NotPermitted:
      return "not-permitted";
    case ReplicaRefusal::UnknownReplica:
      return "unknown-replica";
    case ReplicaRefusal::TooLarge:
      return "too-large";
    case ReplicaRefusal::NotInTime:
      return "not-in-time";
    case ReplicaRefusal::LostWriter:
      return "lost-writer";
  }
  return "unknown";
}

ReplicaManager::ReplicaManager(ReplicaManagerSettings aSettings, WriterLease aLease)
  : m_settings(aSettings)
  , m_lease(aLease)
  , m_ledger(aSettings.m_memory)
  , m_bursts(aSettings.m_breakEvenIdle, kGapsInBurst)
  , m_batchBursts(aSettings.m_breakEvenIdle, kGapsInBatch)
{
}

ReplicaActions ReplicaManager::SetCatalog(ReplicaCatalog aCatalog, base::Instant aNow)
{
  m_catalog = std::move(aCatalog);
  ReplicaActions actions;
  Advance(aNow, actions);
  return actions;
}

ReplicaActions ReplicaManager::SetPermissions(Permissions aPermissions, base::Instant aNow)
{
  m_permissions = std::move(aPermissions);
  m_arePermissionsKnown = true;
  ReplicaActions actions;
  for (auto const& [key, replica] : m_replicas.All()) {
    if (!IsGranted(key.m_model)) {
      RefuseWaiting(key, ReplicaRefusal::NotPermitted, actions);
    }
  }
  Advance(aNow, actions);
  return actions;
}

ReplicaActions ReplicaManager::Request(base::RequestId const& aRequest, ReplicaKey const& aReplica,
                                       Urgency aUrgency, base::Instant aNow)
{
  ReplicaActions actions;
  if (auto const refusal = FindRefusal(aReplica, aUrgency, aNow)) {
    actions.emplace_back(RefuseRequest{ aRequest, *refusal });
    return actions;
  }
  Replica& replica = Find(aReplica);
  m_requests.insert_or_assign(aRequest, aReplica);
  RecordUse(replica, aUrgency.m_class, aNow);
  if (aReplica.IsAdapter()) {
    RecordUse(Find(aReplica.Base()), aUrgency.m_class, aNow);
  }
  if (replica.IsLoaded()) {
    replica.m_running.insert(aRequest);
    actions.emplace_back(StartRequest{ aRequest });
    return actions;
  }
  replica.m_waiting.emplace(aRequest, aUrgency);
  Advance(aNow, actions);
  return actions;
}

ReplicaActions ReplicaManager::End(base::RequestId const& aRequest, base::Instant aNow)
{
  ReplicaActions actions;
  auto const found = m_requests.find(aRequest);
  if (found == m_requests.end()) {
    return actions;
  }
  Replica& replica = Find(found->second);
  replica.m_waiting.erase(aRequest);
  replica.m_running.erase(aRequest);
  m_requests.erase(found);
  if (replica.IsIdle()) {
    Advance(aNow, actions);
  }
  return actions;
}

base::Duration ReplicaManager::ExpectedTimeToReady(ReplicaKey const& aReplica,
                                                   base::Instant aNow) const
{
  auto const spec = m_catalog.find(aReplica);
  if (spec == m_catalog.end() || m_replicas.StateOf(aReplica) == ReplicaState::Loaded) {
    return base::Duration::zero();
  }
  base::Duration const load = m_loadTimes.ExpectedTime(spec->second.m_weights);
  auto const found = m_replicas.All().find(aReplica);
  if (found == m_replicas.All().end() || found->second.State() != ReplicaState::Loading) {
    return load;
  }
  return std::max(base::Duration::zero(), load - (aNow - found->second.m_changedAt));
}

bool ReplicaManager::IsGranted(base::ModelId const& aModel) const
{
  auto const found = m_permissions.find(aModel);
  return found != m_permissions.end() && found->second.m_state == Permission::State::Granted;
}

bool ReplicaManager::MayRemainLoaded(base::ModelId const& aModel) const
{
  return !m_arePermissionsKnown || IsGranted(aModel);
}

bool ReplicaManager::IsKeptWarm(ReplicaKey const& aKey) const
{
  auto const found = m_permissions.find(aKey.m_model);
  return found != m_permissions.end() && found->second.m_isKeptWarm && !aKey.IsAdapter() &&
         IsGranted(aKey.m_model);
}

std::optional<ReplicaRefusal> ReplicaManager::FindRefusal(ReplicaKey const& aKey, Urgency aUrgency,
                                                          base::Instant aNow) const
{
  auto const spec = m_catalog.find(aKey);
  if (spec == m_catalog.end() || !m_catalog.contains(aKey.Base())) {
    return ReplicaRefusal::UnknownReplica;
  }
  if (!MayRemainLoaded(aKey.m_model)) {
    return ReplicaRefusal::NotPermitted;
  }
  base::Bytes needed = spec->second.Total();
  if (aKey.IsAdapter()) {
    needed += m_catalog.at(aKey.Base()).Total();
  }
  if (needed > m_ledger.Capacity()) {
    return ReplicaRefusal::TooLarge;
  }
  ReplicaState const state = m_replicas.StateOf(aKey);
  if (state == ReplicaState::Loaded) {
    return std::nullopt;
  }
  if (m_lease.IsLost()) {
    return ReplicaRefusal::LostWriter;
  }
  bool const mustStillLoad = state == ReplicaState::Absent || state == ReplicaState::Queued;
  base::Duration const soonest = m_loadTimes.MinimumTime(spec->second.m_weights);
  if (aUrgency.m_deadline <= aNow || (mustStillLoad && aNow + soonest > aUrgency.m_deadline)) {
    return ReplicaRefusal::NotInTime;
  }
  return std::nullopt;
}

Replica& ReplicaManager::Find(ReplicaKey const& aKey)
{
  auto const spec = m_catalog.find(aKey);
  ReplicaMemory const memory = spec == m_catalog.end() ? ReplicaMemory() : spec->second;
  return m_replicas.GetOrCreate(aKey, memory);
}

ReplicaActions ReplicaManager::OnSlotGranted(OrderId aOrder, base::Instant aLeaseEnd,
                                             base::Instant aNow)
{
  ReplicaActions actions;
  auto* const entry = m_replicas.FindByOrder(aOrder);
  if (!entry || !entry->second.m_load ||
      !entry->second.m_load->m_machine.Apply(LoadOrderEvent::Grant)) {
    actions.emplace_back(ReleaseSlot{ aOrder });
    return actions;
  }
  auto& [key, replica] = *entry;
  if (aNow >= aLeaseEnd || !m_lease.MayOrder(aNow)) {
    replica.m_load->m_machine.Apply(LoadOrderEvent::LoseSlot);
    replica.m_load->m_isRequested = false;
    actions.emplace_back(ReleaseSlot{ aOrder });
    return actions;
  }
  replica.m_load->m_machine.Apply(LoadOrderEvent::Send);
  replica.Apply(ReplicaEvent::Order, aNow);
  replica.m_orderEnd = aNow + m_lease.OrderBound();
  actions.emplace_back(OrderLoad{ aOrder, key, *m_lease.Number(), m_lease.OrderBound() });
  return actions;
}

ReplicaActions ReplicaManager::OnOrderOutcome(OrderId aOrder, OrderOutcome aOutcome,
                                              base::Instant aNow)
{
  ReplicaActions actions;
  auto* const entry = m_replicas.FindByOrder(aOrder);
  if (!entry) {
    return actions;
  }
  auto& [key, replica] = *entry;
  if (aOutcome == OrderOutcome::FencedOff) {
    m_lease.MarkLost();
  }
  if (replica.m_unload == aOrder) {
    OnUnloadOutcome(key, replica, aOutcome, aNow);
  } else {
    OnLoadOutcome(key, replica, aOutcome, aNow, actions);
  }
  Advance(aNow, actions);
  return actions;
}

void ReplicaManager::OnLoadOutcome(ReplicaKey const& aKey, Replica& aReplica, OrderOutcome aOutcome,
                                   base::Instant aNow, ReplicaActions& aActions)
{
  if (aReplica.State() != ReplicaState::Loading) {
    return;
  }
  switch (aOutcome) {
    case OrderOutcome::Done:
      m_loadTimes.Observe(aReplica.m_memory.m_weights, aNow - aReplica.m_changedAt);
      aReplica.Apply(ReplicaEvent::Confirm, aNow);
      EndLoadOrder(aReplica, LoadOrderEvent::Confirm, aActions);
      StartWaitingRequests(aReplica, aActions);
      return;
    case OrderOutcome::Refused:
    case OrderOutcome::FencedOff:
      aReplica.Apply(ReplicaEvent::Refuse, aNow);
      aReplica.m_retryAt = aNow + m_settings.m_retryPause;
      m_ledger.Release(aKey);
      EndLoadOrder(aReplica, LoadOrderEvent::Refuse, aActions);
      return;
    case OrderOutcome::Lost:
      // The load may still be running, so the memory stays reserved and the
      // slot occupied.
      aReplica.Apply(ReplicaEvent::LoseResponse, aNow);
      aReplica.m_load->m_machine.Apply(LoadOrderEvent::LoseResponse);
      return;
  }
}

void ReplicaManager::OnUnloadOutcome(ReplicaKey const& aKey, Replica& aReplica,
                                     OrderOutcome aOutcome, base::Instant aNow)
{
  switch (aOutcome) {
    case OrderOutcome::Done:
      if (aReplica.Apply(ReplicaEvent::Confirm, aNow)) {
        m_ledger.Release(aKey);
      }
      break;
    case OrderOutcome::Refused:
    case OrderOutcome::FencedOff:
      aReplica.Apply(ReplicaEvent::Refuse, aNow);
      aReplica.m_retryAt = aNow + m_settings.m_retryPause;
      break;
    case OrderOutcome::Lost:
      aReplica.Apply(ReplicaEvent::LoseResponse, aNow);
      break;
  }
  aReplica.m_unload.reset();
}

void ReplicaManager::EndLoadOrder(Replica& aReplica, LoadOrderEvent aEvent,
                                  ReplicaActions& aActions)
{
  if (!aReplica.m_load) {
    return;
  }
  aReplica.m_load->m_machine.Apply(aEvent);
  aActions.emplace_back(ReleaseSlot{ aReplica.m_load->m_id });
  aReplica.m_load.reset();
}

ReplicaActions ReplicaManager::OnEngineState(EngineState const& aState, base::Instant aRequestedAt,
                                             base::Instant aNow)
{
  ReplicaActions actions;
  bool const isFinal = !aState.m_isChanging && m_lease.MayOrder(aRequestedAt);
  if (!m_isReconciled && !isFinal) {
    return actions;
  }
  m_isReconciled = true;
  std::map<ReplicaKey, ReplicaMemory> held;
  for (HeldReplica const& replica : aState.m_held) {
    held.emplace(replica.m_replica, replica.m_memory);
    Find(replica.m_replica);
  }
  for (auto& [key, replica] : m_replicas.All()) {
    auto const found = held.find(key);
    if (found != held.end() && replica.IsAbsent() && aRequestedAt >= replica.m_changedAt) {
      replica.m_memory = found->second;
      m_ledger.Adopt({ key, found->second });
    }
    Observe(key, found != held.end(), aRequestedAt, aNow, actions);
  }
  Advance(aNow, actions);
  return actions;
}

void ReplicaManager::Observe(ReplicaKey const& aKey, bool aIsPresent, base::Instant aRequestedAt,
                             base::Instant aNow, ReplicaActions& aActions)
{
  Replica& replica = m_replicas.All().at(aKey);
  bool const wasUncertain = replica.State() == ReplicaState::Uncertain;
  if (aRequestedAt < replica.m_changedAt || (wasUncertain && aRequestedAt < replica.m_orderEnd)) {
    return;
  }
  auto const event = aIsPresent ? ReplicaEvent::ObservePresent : ReplicaEvent::ObserveAbsent;
  if (!replica.Apply(event, aNow)) {
    return;
  }
  if (replica.IsAbsent()) {
    m_ledger.Release(aKey);
    EndLoadOrder(replica, LoadOrderEvent::ObserveNotDone, aActions);
    return;
  }
  bool const wasLoadUncertain = wasUncertain && replica.m_load;
  EndLoadOrder(replica, wasLoadUncertain ? LoadOrderEvent::ObserveDone : LoadOrderEvent::Cancel,
               aActions);
  StartWaitingRequests(replica, aActions);
}

void ReplicaManager::StartWaitingRequests(Replica& aReplica, ReplicaActions& aActions)
{
  std::vector<std::pair<Urgency, base::RequestId>> byUrgency;
  for (auto const& [request, urgency] : aReplica.m_waiting) {
    byUrgency.emplace_back(urgency, request);
  }
  std::ranges::sort(byUrgency);
  for (auto const& [urgency, request] : byUrgency) {
    aReplica.m_running.insert(request);
    aActions.emplace_back(StartRequest{ request });
  }
  aReplica.m_waiting.clear();
}

ReplicaActions ReplicaManager::Tick(base::Instant aNow)
{
  ReplicaActions actions;
  ExpireWaiting(aNow, actions);
  RecordBurstEnds(aNow);
  MarkIdleReplicas(aNow);
  Advance(aNow, actions);
  ConfirmRevocations(aNow, actions);
  RaiseFenceIfNeeded(aNow, actions);
  ReadIfUncertain(aNow, actions);
  return actions;
}

ReplicaActions ReplicaManager::OnFenceOutcome(OrderOutcome aOutcome, base::Instant aNow)
{
  if (aOutcome == OrderOutcome::FencedOff) {
    m_lease.MarkLost();
  }
  if (aOutcome == OrderOutcome::Done) {
    m_lease.ConfirmFence(aNow);
  }
  return Tick(aNow);
}

void ReplicaManager::RaiseFenceIfNeeded(base::Instant aNow, ReplicaActions& aActions)
{
  bool const isRecent = m_fenceRequestedAt && aNow < *m_fenceRequestedAt + m_settings.m_retryPause;
  if (!m_lease.MustRaiseFence() || isRecent) {
    return;
  }
  m_fenceRequestedAt = aNow;
  aActions.emplace_back(RaiseFence{ *m_lease.Number() });
}

void ReplicaManager::ReadIfUncertain(base::Instant aNow, ReplicaActions& aActions)
{
  auto const isUncertain = [aNow](auto const& aEntry) {
    return aEntry.second.State() == ReplicaState::Uncertain && aNow >= aEntry.second.m_orderEnd;
  };
  bool const mayReconcile = !m_isReconciled && m_lease.MayOrder(aNow);
  bool const mustRead = mayReconcile || std::ranges::any_of(m_replicas.All(), isUncertain);
  if (!mustRead || (m_readAt && aNow < *m_readAt + kMinimumReadInterval)) {
    return;
  }
  m_readAt = aNow;
  aActions.emplace_back(ReadEngineState{});
}

void ReplicaManager::ConfirmRevocations(base::Instant aNow, ReplicaActions& aActions)
{
  std::erase_if(m_revocationConfirmedAt, [this](auto const& aEntry) {
    return IsGranted(aEntry.first) || !m_permissions.contains(aEntry.first);
  });
  for (auto const& [model, permission] : m_permissions) {
    if (permission.m_state != Permission::State::Revoking || !m_isReconciled ||
        !m_replicas.IsModelAbsent(model)) {
      continue;
    }
    auto const confirmed = m_revocationConfirmedAt.find(model);
    if (confirmed != m_revocationConfirmedAt.end() &&
        aNow < confirmed->second + kConfirmationInterval) {
      continue;
    }
    m_revocationConfirmedAt.insert_or_assign(model, aNow);
    aActions.emplace_back(ConfirmRevoked{ model });
  }
}

} // namespace sardinefold::engine
