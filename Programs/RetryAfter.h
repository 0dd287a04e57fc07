#pragma once

#include "Base/Http/HttpServer.h"

#include <string>

namespace sardinefold::programs {

/// Tells the caller of a request that was refused for want of room when to retry, in
/// whole seconds.
inline void AddRetryAfter(base::HttpResponse& aResponse, base::HttpRequestError const& aError)
{
  if (aError.m_retryAfter) {
    auto const seconds = std::chrono::ceil<std::chrono::seconds>(*aError.m_retryAfter).count();
    aResponse.m_headers.Add("Retry-After", std::to_string(seconds));
  }
}

} // namespace sardinefold::programs
