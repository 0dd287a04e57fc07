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

/// A caller's request and the configuration that applies to it.
struct RequestContext
{
  base::Instant m_start{};
  /// The earlier of the caller's deadline and the route's time limit.
  base::Instant m_end{};
  caller::ForwardRequest m_request;
  /// The version of the catalog that admitted the request; zero while there is none.
  base::CatalogVersion m_catalog;
  operators::RouteRule m_route;
  std::optional<base::WorkspaceId> m_workspace;
  base::Tokens m_tokens;
  /// 0 is the most urgent.
  unsigned m_urgency = 0;
  /// Identical for repeated submissions of the same request.
  base::FingerprintId m_fingerprint;
  /// Constraints on the upstreams that can serve the request.
  engine::UpstreamQuery m_query;
};

/// The response to a request that is refused.
struct RequestRefusal
{
  unsigned m_status;
  std::string_view m_reason;
  std::optional<base::Duration> m_retryAfter;
};

} // namespace sardinefold::programs
