#pragma once

#include "Base/Time.h"
#include "Engine/MemoryLedger.h"
#include "Engine/ReplicaKey.h"
#include "Operator/Document.h"

#include <string_view>
#include <variant>
#include <vector>

namespace sardinefold::engine {

/// Request a slot from the load gate of the weight store. The request is
/// repeated with the same order when the class or the deadline changes.
struct RequestSlot
{
  OrderId m_order;
  ReplicaKey m_replica;
  operators::RequestClass m_class;
  /// When the first byte of the earliest waiting request is due.
  base::Instant m_deadline;
};

/// Release the slot of an order, or withdraw the request for one.
struct ReleaseSlot
{
  OrderId m_order;
};

/// Send an order to the engine and report its outcome to OnOrderOutcome(): as
/// Lost once m_bound has passed.
struct OrderLoad
{
  OrderId m_order;
  ReplicaKey m_replica;
  base::FencingNumber m_fencing;
  base::Duration m_bound;
};
struct OrderUnload
{
  OrderId m_order;
  ReplicaKey m_replica;
  base::FencingNumber m_fencing;
  base::Duration m_bound;
};

/// Send the fencing number to the engine in an order that changes nothing, and
/// report the outcome to OnFenceOutcome().
struct RaiseFence
{
  base::FencingNumber m_fencing;
};

/// Read which replicas the engine holds and report them to OnEngineState().
struct ReadEngineState
{};

/// Start a request whose replica is loaded; it runs until End() is called.
struct StartRequest
{
  base::RequestId m_request;
};

enum class ReplicaRefusal
{
  /// This upstream may not hold the model.
  NotPermitted,
  /// The document does not define the model or the adapter.
  UnknownReplica,
  /// The replica is larger than the engine's memory.
  TooLarge,
  /// The replica can't be loaded before the request's deadline.
  NotInTime,
  /// The agent is no longer the engine's writer.
  LostWriter
};

std::string_view ToText(ReplicaRefusal aRefusal);

/// Refuse a request, which has not run.
struct RefuseRequest
{
  base::RequestId m_request;
  ReplicaRefusal m_reason;
};

/// Confirm that the engine holds nothing of the model, so that the permission
/// may move to another upstream.
struct ConfirmRevoked
{
  base::ModelId m_model;
};

using ReplicaAction = std::variant<RequestSlot, ReleaseSlot, OrderLoad, OrderUnload, RaiseFence,
                                   ReadEngineState, StartRequest, RefuseRequest, ConfirmRevoked>;
using ReplicaActions = std::vector<ReplicaAction>;

/// The outcome of an order.
enum class OrderOutcome
{
  Done,
  /// The engine did not execute the order and will not.
  Refused,
  /// The engine refused the order because it has seen a higher fencing number
  /// from a later agent.
  FencedOff,
  /// No response arrived within the order's time bound.
  Lost
};

/// The replicas that an engine reports.
struct EngineState
{
  std::vector<HeldReplica> m_held;
  /// Whether the engine is executing an order.
  bool m_isChanging = false;
};

} // namespace sardinefold::engine
