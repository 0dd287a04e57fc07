#pragma once

#include "Base/ProcessProfile.h"
#include "Base/Time.h"
#include "Operator/ServingCatalog.h"

namespace sardinefold::engine {

/// What the upstreams of a deployment bear while they warm up.
struct WarmUpTerms
{
  /// Length of a warm-up from the upstream's start.
  base::Duration m_time{};
  /// Requests per second that an upstream bears meanwhile, from all processes.
  double m_requestsPerSecond = 0;
  /// Most requests in any second, from all processes.
  double m_maximum = 0;

  friend bool operator==(WarmUpTerms const&, WarmUpTerms const&) = default;
};

/// Combines the deployment's own terms with the bound of the site's settings.
inline WarmUpTerms ToWarmUpTerms(operators::WarmUpSpec const& aSpec,
                                 base::SiteBounds const& aBounds)
{
  return { aSpec.m_time, aSpec.m_requestsPerSecond,
           aSpec.m_requestsPerSecond * aBounds.m_warmUpOverage + aBounds.m_warmUpAllowance };
}

} // namespace sardinefold::engine
