#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Caller/ForwardRequest.h"
#include "Engine/UpstreamDirectory.h"
#include "Operator/ServingCatalog.h"

#include <optional>
#include <string_view>

namespace sardinefold::programs {

/// A caller's request, with what the configuration says of it.
struct RequestContext
{
  base::Instant m_start{};
  /// The caller's deadline or the route's time limit, whichever is first.
  base::Instant m_end{};
  caller::ForwardRequest m_request;
  /// The configuration that decided; zero while there is none.
  base::CatalogVersion m_catalog;
  operators::RouteRule m_route;
  std::optional<base::WorkspaceId> m_workspace;
  base::Tokens m_tokens;
  /// From 0, the most urgent.
  unsigned m_urgency = 0;
  /// The same each time that a caller sends the same request.
  base::FingerprintId m_fingerprint;
  /// What the request needs of an upstream.
  engine::UpstreamQuery m_query;
};

/// Why a request is refused, and what its caller is told.
struct RequestRefusal
{
  unsigned m_status;
  std::string_view m_reason;
  std::optional<base::Duration> m_retryAfter;
};

} // namespace sardinefold::programs
