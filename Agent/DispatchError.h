#pragma once

#include "Base/Outcome.h"
#include "Base/Time.h"

#include <optional>
#include <variant>

namespace sardinefold::agent {

/// Why a request got no response from any upstream.
enum class DispatchErrorCode
{
  NoUpstream,
  /// The workspace's allowance has no tokens left before the deadline.
  AllowanceExceeded,
  Overloaded,
  DeadlineUnreachable,
  UpstreamFailed,
  IdempotencyKeyReused,
  SuspectRequest,
  PlatformUnavailable,
  /// The caller disconnected before a response arrived.
  Cancelled
};

struct DispatchError
{
  DispatchErrorCode m_code;
  std::variant<base::NotRun, base::Unknown> m_outcome;
  std::optional<base::Duration> m_retryAfter;
};

} // namespace sardinefold::agent
