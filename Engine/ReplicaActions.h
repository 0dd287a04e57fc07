#pragma once

#include "Base/Time.h"
#include "Engine/MemoryLedger.h"
#include "Engine/ReplicaKey.h"
#include "Operator/Document.h"

#include <string_view>
#include <variant>
#include <vector>

namespace sardinefold::engine {

/// Ask the gate of the weight store for a slot; asked again with the same
/// order when class or deadline have changed.
struct RequestSlot
{
  OrderId m_order;
  ReplicaKey m_replica;
  operators::RequestClass m_class;
  /// When the earliest waiting request must have its first byte.
  base::Instant m_deadline;
};

/// Give back the slot of an order, or withdraw the wish for one.
struct ReleaseSlot
{
  OrderId m_order;
};

/// Send an order to the engine and report its end by OnOrderOutcome(), as lost
/// when m_bound has passed.
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

/// Show the engine the number by an order that changes nothing, and report its
/// end by OnFenceOutcome().
struct RaiseFence
{
  base::FencingNumber m_fencing;
};

/// Read what the engine holds and report it by OnEngineState().
struct ReadEngineState
{};

/// The replica of a waiting request is loaded; the request runs from now on
/// until End().
struct StartRequest
{
  base::RequestId m_request;
};

enum class ReplicaRefusal
{
  /// This upstream may not hold the model.
  NotPermitted,
  /// The document has no such model or adapter.
  UnknownReplica,
  /// The replica is larger than the engine's memory.
  TooLarge,
  /// It would not be loaded before the request's deadline.
  NotInTime,
  /// The agent is no longer the engine's writer.
  LostWriter
};

std::string_view ToText(ReplicaRefusal aRefusal);

/// The request ends here; it has not run.
struct RefuseRequest
{
  base::RequestId m_request;
  ReplicaRefusal m_reason;
};

/// Nothing of the model is left on the engine; its permission may move.
struct ConfirmRevoked
{
  base::ModelId m_model;
};

using ReplicaAction = std::variant<RequestSlot, ReleaseSlot, OrderLoad, OrderUnload, RaiseFence,
                                   ReadEngineState, StartRequest, RefuseRequest, ConfirmRevoked>;
using ReplicaActions = std::vector<ReplicaAction>;

/// How the engine answered an order.
enum class OrderOutcome
{
  Done,
  /// It did not carry the order out and will not.
  Refused,
  /// As Refused, because a later agent has given orders.
  FencedOff,
  /// No answer within the order's bound.
  Lost
};

/// What an engine reports about itself.
struct EngineState
{
  std::vector<HeldReplica> m_held;
  /// Whether an order is being carried out.
  bool m_isChanging = false;
};

} // namespace sardinefold::engine
