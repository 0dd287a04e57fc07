#pragma once

#include "Engine/BurstEstimate.h"
#include "Engine/EvictionPolicy.h"
#include "Engine/LoadTimeEstimate.h"
#include "Engine/MemoryLedger.h"
#include "Engine/ReplicaActions.h"
#include "Engine/ReplicaTable.h"
#include "Engine/WriterLease.h"

#include <map>

namespace sardinefold::engine {

/// The replicas of the document that requests to this engine may need, with
/// their memory.
using ReplicaCatalog = std::map<ReplicaKey, ReplicaMemory>;

/// Whether this upstream may hold a replica of a model.
struct Permission
{
  enum class State
  {
    Granted,
    /// The model must be unloaded; ConfirmRevoked is returned once it is.
    Revoking
  };

  State m_state = State::Granted;
  /// Whether to load the replica before it is requested and keep it while idle.
  bool m_isKeptWarm = false;

  friend bool operator==(Permission const&, Permission const&) = default;
};

/// The permissions of one upstream, from the placement objects.
using Permissions = std::map<base::ModelId, Permission>;

struct ReplicaManagerSettings
{
  /// Accelerator memory of the engine.
  base::Bytes m_memory;
  /// Idle time that costs as much as a reload. No replica is kept idle for
  /// longer.
  base::Duration m_breakEvenIdle = std::chrono::seconds(20);
  /// A replica used within this time is not evicted for a batch request.
  base::Duration m_batchEvictionDelay = std::chrono::seconds(30);
  /// Pause after an order that the engine refused.
  base::Duration m_retryPause = std::chrono::milliseconds(500);
};

/// Decides for one engine which replicas are loaded and unloaded and when
/// requests run. Loads replicas on demand within the permissions and the
/// memory, lets all requests for one replica wait for a single load, and
/// cancels queued loads that no request waits for. Does no I/O: each call
/// returns the actions to perform, in order.
class ReplicaManager
{
public:
  ReplicaManager(ReplicaManagerSettings aSettings, WriterLease aLease);

  ReplicaActions SetCatalog(ReplicaCatalog aCatalog, base::Instant aNow);
  ReplicaActions SetPermissions(Permissions aPermissions, base::Instant aNow);

  /// Adds a request that needs a replica. Exactly one of StartRequest and
  /// RefuseRequest is returned for it, by this call or a later one, unless
  /// End() is called first.
  ReplicaActions Request(base::RequestId const& aRequest, ReplicaKey const& aReplica,
                         Urgency aUrgency, base::Instant aNow);
  /// Removes a request that has ended or whose caller has disconnected.
  ReplicaActions End(base::RequestId const& aRequest, base::Instant aNow);

  /// The load gate granted a slot, which must be used before aLeaseEnd.
  ReplicaActions OnSlotGranted(OrderId aOrder, base::Instant aLeaseEnd, base::Instant aNow);
  ReplicaActions OnOrderOutcome(OrderId aOrder, OrderOutcome aOutcome, base::Instant aNow);
  ReplicaActions OnFenceOutcome(OrderOutcome aOutcome, base::Instant aNow);
  /// Takes the engine's state from a read that began at aRequestedAt.
  ReplicaActions OnEngineState(EngineState const& aState, base::Instant aRequestedAt,
                               base::Instant aNow);
  /// Handles the passing of time: deadlines, idle replicas and missing
  /// responses. To be called regularly.
  ReplicaActions Tick(base::Instant aNow);

  WriterLease& Lease() { return m_lease; }
  MemoryLedger const& Ledger() const { return m_ledger; }
  ReplicaTable const& Replicas() const { return m_replicas; }
  /// False until the engine's reported state has been adopted.
  bool IsReconciled() const { return m_isReconciled; }
  /// Expected time until the replica is loaded if it is requested now.
  base::Duration ExpectedTimeToReady(ReplicaKey const& aReplica, base::Instant aNow) const;

  /// Memory that new replicas can use without waiting for running requests to
  /// end.
  base::Bytes LoadableMemory(base::Instant aNow) const;

private:
  bool IsGranted(base::ModelId const& aModel) const;
  bool MayRemainLoaded(base::ModelId const& aModel) const;
  bool IsKeptWarm(ReplicaKey const& aKey) const;
  std::optional<ReplicaRefusal> FindRefusal(ReplicaKey const& aKey, Urgency aUrgency,
                                            base::Instant aNow) const;
  Replica& Find(ReplicaKey const& aKey);
  std::optional<Urgency> DemandFor(ReplicaKey const& aKey, base::Instant aNow) const;
  bool IsEvictable(ReplicaKey const& aKey, Replica const& aReplica, ReplicaKey const& aFor,
                   Urgency aUrgency, base::Instant aNow) const;
  std::vector<EvictionCandidate> FindEvictable(ReplicaKey const& aFor, Urgency aUrgency,
                                               base::Instant aNow) const;

  void Advance(base::Instant aNow, ReplicaActions& aActions);
  void RefuseWaiting(ReplicaKey const& aKey, ReplicaRefusal aReason, ReplicaActions& aActions);
  void ExpireWaiting(base::Instant aNow, ReplicaActions& aActions);
  void CancelUnwantedLoads(base::Instant aNow, ReplicaActions& aActions);
  void StartWantedLoads(base::Instant aNow, ReplicaActions& aActions);
  bool StartLoad(ReplicaKey const& aKey, Urgency aUrgency, base::Instant aNow,
                 ReplicaActions& aActions);
  void UpdateSlotRequest(Replica& aReplica, ReplicaKey const& aKey, Urgency aUrgency,
                         ReplicaActions& aActions);
  void ReclaimMemory(ReplicaKey const& aReplica, base::Bytes aNeeded, Urgency aUrgency,
                     base::Instant aNow);
  void MarkForUnload(ReplicaKey const& aKey);
  BurstEstimate& BurstsOf(operators::RequestClass aClass);
  void RecordUse(Replica& aReplica, operators::RequestClass aClass, base::Instant aNow);
  void RecordBurstEnds(base::Instant aNow);
  void MarkIdleReplicas(base::Instant aNow);
  void StartWantedUnloads(base::Instant aNow, ReplicaActions& aActions);
  void ConfirmRevocations(base::Instant aNow, ReplicaActions& aActions);
  void RaiseFenceIfNeeded(base::Instant aNow, ReplicaActions& aActions);
  void ReadIfUncertain(base::Instant aNow, ReplicaActions& aActions);
  void StartWaitingRequests(Replica& aReplica, ReplicaActions& aActions);

  void OnLoadOutcome(ReplicaKey const& aKey, Replica& aReplica, OrderOutcome aOutcome,
                     base::Instant aNow, ReplicaActions& aActions);
  void OnUnloadOutcome(ReplicaKey const& aKey, Replica& aReplica, OrderOutcome aOutcome,
                       base::Instant aNow);
  void Observe(ReplicaKey const& aKey, bool aIsPresent, base::Instant aRequestedAt,
               base::Instant aNow, ReplicaActions& aActions);
  void EndLoadOrder(Replica& aReplica, LoadOrderEvent aEvent, ReplicaActions& aActions);

  ReplicaManagerSettings m_settings;
  WriterLease m_lease;
  MemoryLedger m_ledger;
  LoadTimeEstimate m_loadTimes;
  /// Batch requests have their own estimate, as they arrive in other patterns
  /// than the other classes.
  BurstEstimate m_bursts;
  BurstEstimate m_batchBursts;
  ReplicaCatalog m_catalog;
  Permissions m_permissions;
  ReplicaTable m_replicas;
  std::map<base::RequestId, ReplicaKey> m_requests;
  OrderId m_lastOrder;
  bool m_arePermissionsKnown = false;
  bool m_isReconciled = false;
  std::optional<base::Instant> m_fenceRequestedAt;
  /// When the engine's state was last requested.
  std::optional<base::Instant> m_readAt;
  std::map<base::ModelId, base::Instant> m_revocationConfirmedAt;
};

} // namespace sardinefold::engine
