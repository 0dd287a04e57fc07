#pragma once

#include "Agent/AgentClock.h"
#include "Base/Identifiers.h"
#include "Base/Units.h"
#include "Operator/Document.h"

#include <optional>

namespace sardinefold::agent {

/// What an entry sends an agent about a request, besides the caller's message.
struct ExchangeHead
{
  base::CorrelationId m_correlation;
  base::RequestId m_request;
  /// Empty on routes that need no API key.
  base::WorkspaceId m_workspace;
  base::RouteId m_route;
  operators::RequestClass m_class = operators::RequestClass::Standard;
  /// Empty unless the upstream is an engine.
  base::ModelId m_model;
  /// Empty unless the request names an adapter.
  base::AdapterId m_adapter;
  /// Time left until the first byte of the response is due.
  base::Duration m_firstByteLimit{};
  /// The incarnation of the agent whose clock m_startBy refers to.
  base::IncarnationId m_incarnation;
  /// Time on the agent's clock after which the request must not start.
  AgentClock m_startBy;
  /// Reserved tokens: those of the prompt and the maximum that may be
  /// generated.
  base::Tokens m_tokens;
  bool m_isRepeatable = false;
  /// Set if the caller sent an Idempotency-Key on a route whose requests must
  /// not run twice.
  base::ClaimId m_claim;
  base::FingerprintId m_fingerprint;
};

/// State of an exchange, as its agent sees it.
enum class ExchangeState
{
  /// No request with this correlation id has arrived.
  Unseen,
  /// No request with this correlation id has started, and none will.
  Denied,
  Running,
  Ended,
  /// The exchange may have ended so long ago that its record was discarded.
  Expired
};

/// An agent's response to a query for the state of an exchange.
struct ExchangeReport
{
  ExchangeState m_state = ExchangeState::Unseen;
  /// Bytes of the response body that the agent has written to the connection.
  base::Bytes m_written;
  bool m_hasHead = false;
  base::IncarnationId m_incarnation;
  AgentClock m_clock;
};

} // namespace sardinefold::agent
