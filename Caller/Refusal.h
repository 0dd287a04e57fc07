#pragma once

#include "Base/Outcome.h"
#include "Base/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::caller {

/// Why a request is refused. Each reason has a stable code and an HTTP status.
enum class RefusalCode
{
  InvalidRequest,
  MissingKey,
  InvalidKey,
  /// The process has no recent update about revoked keys.
  KeysNotVerifiable,
  UnknownRoute,
  UnknownModel,
  BodyTooLarge,
  ContextTooLong,
  IdempotencyKeyReused,
  AllowanceExceeded,
  Overloaded,
  DeadlineUnreachable,
  NoUpstream,
  UpstreamFailed,
  /// The request was in flight when upstreams crashed.
  SuspectRequest,
  ShuttingDown,
  NotReady,
  PlatformUnavailable,
  OutcomeUnknown
};

/// The stable code, in snake case.
std::string_view ToText(RefusalCode aCode);
unsigned HttpStatus(RefusalCode aCode);

/// A refusal of a caller's request. A refusal that states "not run" can only be
/// constructed from a proof that the request did not run.
class Refusal
{
public:
  static Refusal NotRun(RefusalCode aCode, base::NotRun const& aProof,
                        std::optional<base::Duration> aRetryAfter = std::nullopt);
  static Refusal OutcomeUnknown(base::Unknown const& aUnknown);

  RefusalCode Code() const { return m_code; }
  std::string const& Message() const { return m_message; }
  bool IsProvenNotRun() const { return m_isProvenNotRun; }
  /// How long the caller should wait before it retries; nullopt if a retry does
  /// not help.
  std::optional<base::Duration> RetryAfter() const { return m_retryAfter; }

private:
  Refusal(RefusalCode aCode, std::string aMessage, bool aIsProvenNotRun,
          std::optional<base::Duration> aRetryAfter);

  RefusalCode m_code;
  std::string m_message;
  bool m_isProvenNotRun;
  std::optional<base::Duration> m_retryAfter;
};

/// Refuses a request before anything was sent to an upstream, with a message
/// for the caller.
Refusal RefuseBeforeSending(RefusalCode aCode, std::string aMessage,
                            std::optional<base::Duration> aRetryAfter = std::nullopt);

} // namespace sardinefold::caller
