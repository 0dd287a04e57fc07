#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"
#include "Operator/Document.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinefold::agent {

/// What deciding where and how often to send a request depends on.
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
  /// Upper bounds of what an engine will process and generate.
  base::Tokens m_prompt;
  base::Tokens m_output;
  /// When the first byte of the answer is due.
  base::Instant m_deadline;
  /// Whether running the request twice does no harm.
  bool m_isRepeatable = true;
  /// Hash of workspace, route and Idempotency-Key, if the caller gave one.
  std::optional<std::string> m_idempotency;
  /// Hash of the body, which finds the same request when it is sent again.
  std::string m_fingerprint;
};

} // namespace sardinefold::agent
