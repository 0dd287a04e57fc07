#pragma once

#include "Agent/AgentClock.h"
#include "Base/Identifiers.h"
#include "Base/Units.h"
#include "Operator/Document.h"

#include <optional>

namespace sardinefold::agent {

/// What an entry tells an agent about a request, beside the caller's message.
struct ExchangeHead
{
  base::CorrelationId m_correlation;
  base::RequestId m_request;
  /// Empty on routes that are open to all.
  base::WorkspaceId m_workspace;
  base::RouteId m_route;
  operators::RequestClass m_class = operators::RequestClass::Standard;
  /// Empty unless the upstream is an engine.
  base::ModelId m_model;
  /// Empty unless the request names an adapter.
  base::AdapterId m_adapter;
  /// Time left until the first byte of the answer is due.
  base::Duration m_firstByteLimit{};
  /// The incarnation whose clock m_startBy is of.
  base::IncarnationId m_incarnation;
  /// By the agent's clock, after which the request must not start.
  AgentClock m_startBy;
  /// Reserved: prompt plus the most that may be generated.
  base::Tokens m_tokens;
  bool m_isRepeatable = false;
  /// Set if the caller gave an Idempotency-Key on a route that may not repeat.
  base::ClaimId m_claim;
  base::FingerprintId m_fingerprint;
};

/// Where an exchange stands, as its agent sees it.
enum class ExchangeState
{
  /// No request of this name has come.
  Unseen,
  /// No request of this name has started, and none will.
  Denied,
  Running,
  Ended,
  /// It may have ended so long ago that its record is gone.
  Expired
};

/// An agent's answer to the question where an exchange stands.
struct ExchangeReport
{
  ExchangeState m_state = ExchangeState::Unseen;
  /// Bytes of the answer's body that the agent has written to the connection.
  base::Bytes m_written;
  bool m_hasHead = false;
  base::IncarnationId m_incarnation;
  AgentClock m_clock;
};

} // namespace sardinefold::agent
