#pragma once

#include "Base/Units.h"
#include "Engine/EngineTypes.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace sardinefold::engine {

/// What an upstream announces about itself in the headers of any response.
struct UpstreamNotice
{
  /// The upstream will exit and should get no new requests.
  bool m_isLeaving = false;
  /// With a refusal: the upstream wants no requests from this process for this
  /// long.
  std::optional<base::Duration> m_retryAfter;
  /// Requests that the upstream takes from all processes together, for as long as it says
  /// so. Without it and with m_isMalformed, nothing is known of the limit.
  std::optional<base::RequestsPerSecond> m_requestLimit;
  /// A header of an announcement was present and could not be decoded.
  bool m_isMalformed = false;
};

/// Identifies one start of one upstream. A restart may keep the instance, the
/// endpoint or both.
struct UpstreamStart
{
  InstanceId m_instance;
  base::Endpoint m_endpoint;
  /// Unix milliseconds.
  std::int64_t m_startedAt = 0;

  friend bool operator==(UpstreamStart const&, UpstreamStart const&) = default;
  friend auto operator<=>(UpstreamStart const&, UpstreamStart const&) = default;
};

/// Who learned that an upstream leaves.
enum class NoticeSource
{
  /// This process, from a response.
  Response,
  /// The loader of the engine, from the engine's report.
  Loader,
  /// Another gateway, from a response.
  Gateway
};
std::string_view ToText(NoticeSource aSource);

} // namespace sardinefold::engine
