#pragma once

#include "Base/Time.h"
#include "Engine/BurstEstimate.h"
#include "Engine/LoadOrderStateMachine.h"
#include "Engine/ReplicaKey.h"
#include "Engine/ReplicaStateMachine.h"
#include "Engine/UsageEstimate.h"
#include "Operator/Document.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace sardinefold::engine {

/// How urgently something is wanted: by class, then by deadline.
struct Urgency
{
  operators::RequestClass m_class;
  base::Instant m_deadline;

  friend auto operator<=>(Urgency const&, Urgency const&) = default;
};

/// What an agent knows of one replica on its engine.
class Replica
{
public:
  struct LoadOrder
  {
    OrderId m_id;
    LoadOrderStateMachine m_machine;
    Urgency m_requestedUrgency;
    bool m_isRequested = true;
  };

  explicit Replica(ReplicaMemory aMemory)
    : m_memory(aMemory)
  {
  }

  ReplicaState State() const { return m_machine.State(); }
  bool IsAbsent() const { return State() == ReplicaState::Absent; }
  bool IsLoaded() const { return State() == ReplicaState::Loaded; }
  bool IsIdle() const { return m_waiting.empty() && m_running.empty(); }

  /// The most urgent of the waiting requests; none when nobody waits.
  std::optional<Urgency> MostUrgent() const;

  /// Applies an event and notes when the state changed.
  bool Apply(ReplicaEvent aEvent, base::Instant aNow);

  ReplicaMemory m_memory;
  ReplicaStateMachine m_machine;
  /// Observations of the engine from before this time say nothing.
  base::Instant m_changedAt;
  std::optional<LoadOrder> m_load;
  std::optional<OrderId> m_unload;
  /// When the engine must have ended the order whose answer is missing.
  base::Instant m_orderEnd;
  bool m_isUnloadWanted = false;
  /// Not before this time after a refused order.
  base::Instant m_retryAt;
  std::map<base::RequestId, Urgency> m_waiting;
  std::set<base::RequestId> m_running;
  UsageEstimate m_usage;
  /// The burst that it is in, and the most urgent class of it.
  Burst m_burst;
  operators::RequestClass m_burstClass = operators::RequestClass::Batch;
  /// Whether the end of its latest burst has been counted.
  bool m_isBurstOver = true;
};

} // namespace sardinefold::engine
