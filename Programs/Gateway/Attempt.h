#pragma once

#include "Base/Http/HttpClient.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Engine/UpstreamDirectory.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinefold::programs {

/// One attempt of a request at an upstream, as far as the crash of that upstream
/// concerns it.
struct Attempt
{
  engine::UpstreamChoice m_upstream;
  base::Instant m_sentAt{};
  base::FingerprintId m_fingerprint;
  std::vector<base::PromptPartId> m_parts;
  /// Whether one of the parts was suspected when the request was sent.
  bool m_isSuspected = false;
  /// When the request was last about to be written; see engine::WarmUpLimiter.
  std::optional<base::Instant> m_permitUsedAt;
  /// Whether the upstream's limit allowed the write; see engine::RequestLimiter.
  bool m_isLimitPermitUsed = false;
  /// The connection on which the response came, if there was one.
  std::optional<base::HttpConnectionNumber> m_connection;
  /// Requests that the connection had carried before.
  std::size_t m_earlierRequests = 0;
};

} // namespace sardinefold::programs
