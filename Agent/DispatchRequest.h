#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"
#include "Operator/Document.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinefold::agent {

/// The properties of a request that decide which upstreams it is sent to, and
/// how often.
struct DispatchRequest
{
  base::RequestId m_id;
  base::WorkspaceId m_workspace;
  base::RouteId m_route;
  base::DeploymentId m_deployment;
  operators::RequestClass m_class = operators::RequestClass::Standard;
  /// Absent for plain services.
  std::optional<base::ModelId> m_model;
  std::optional<base::AdapterId> m_adapter;
  std::optional<base::SessionId> m_session;
  std::uint64_t m_prefixHash = 0;
  /// Upper bounds of the tokens that an engine will process (prompt) and
  /// generate (output).
  base::Tokens m_prompt;
  base::Tokens m_output;
  /// When the first byte of the response is due.
  base::Instant m_deadline;
  /// Whether the request may safely run more than once.
  bool m_isRepeatable = true;
  /// Hash of workspace, route and Idempotency-Key; empty if the caller sent no
  /// key.
  std::optional<std::string> m_idempotency;
  /// Hash of the body, which identifies the same request when it is sent again.
  std::string m_fingerprint;
};

} // namespace sardinefold::agent
