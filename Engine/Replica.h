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

/// Urgency of a request or a load, ordered by class and then by deadline.
struct Urgency
{
  operators::RequestClass m_class;
  base::Instant m_deadline;

  friend auto operator<=>(Urgency const&, Urgency const&) = default;
};

/// The state of one replica as known to the agent of its engine.
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

  /// The urgency of the most urgent waiting request, if any request waits.
  std::optional<Urgency> MostUrgent() const;

  /// Applies an event and records the time of the state change; returns false
  /// if the state refuses the event.
  bool Apply(ReplicaEvent aEvent, base::Instant aNow);

  ReplicaMemory m_memory;
  ReplicaStateMachine m_machine;
  /// Time of the last state change; earlier observations of the engine are
  /// ignored.
  base::Instant m_changedAt;
  std::optional<LoadOrder> m_load;
  std::optional<OrderId> m_unload;
  /// When the engine must have completed the order whose response is missing.
  base::Instant m_orderEnd;
  bool m_isUnloadWanted = false;
  /// Earliest time of the next order after a refused one.
  base::Instant m_retryAt;
  std::map<base::RequestId, Urgency> m_waiting;
  std::set<base::RequestId> m_running;
  UsageEstimate m_usage;
  /// The current burst of uses, and the most urgent class in it.
  Burst m_burst;
  operators::RequestClass m_burstClass = operators::RequestClass::Batch;
  /// Whether the end of the latest burst has been recorded.
  bool m_isBurstOver = true;
};

} // namespace sardinefold::engine
