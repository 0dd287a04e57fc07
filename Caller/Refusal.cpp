#include "Caller/Refusal.h"

#include <utility>

namespace sardinefold::caller {

namespace {

struct CodeRow
{
  RefusalCode m_code;
  std::string_view m_text;
  unsigned m_status;
};

constexpr CodeRow kRows[] = {
  { RefusalCode::InvalidRequest, "invalid_request", 400 },
  { RefusalCode::MissingKey, "missing_key", 401 },
  { RefusalCode::InvalidKey, "invalid_key", 401 },
  { RefusalCode::KeysNotVerifiable, "keys_not_verifiable", 503 },
  { RefusalCode::UnknownRoute, "unknown_route", 404 },
  { RefusalCode::UnknownModel, "unknown_model", 404 },
  { RefusalCode::BodyTooLarge, "body_too_large", 413 },
  { RefusalCode::ContextTooLong, "context_too_long", 400 },
  { RefusalCode::IdempotencyKeyReused, "idempotency_key_reused", 422 },
  { RefusalCode::AllowanceExceeded, "allowance_exceeded", 429 },
  { RefusalCode::Overloaded, "overloaded", 503 },
  { RefusalCode::DeadlineUnreachable, "deadline_unreachable", 503 },
  { RefusalCode::NoUpstream, "no_upstream", 503 },
  { RefusalCode::UpstreamFailed, "upstream_failed", 502 },
  { RefusalCode::SuspectRequest, "suspect_request", 422 },
  { RefusalCode::ShuttingDown, "shutting_down", 503 },
  { RefusalCode::NotReady, "not_ready", 503 },
  { RefusalCode::PlatformUnavailable, "platform_unavailable", 503 },
  { RefusalCode::OutcomeUnknown, "outcome_unknown", 502 },
};

CodeRow const& RowOf(RefusalCode aCode)
{
  for (auto const& row : kRows) {
    if (row.m_code == aCode) {
      return row;
    }
  }
  return kRows[0];
}

} // namespace

std::string_view ToText(RefusalCode aCode)
{
  return RowOf(aCode).m_text;
}

unsigned HttpStatus(RefusalCode aCode)
{
  return RowOf(aCode).m_status;
}

Refusal::Refusal(RefusalCode aCode, std::string aMessage, bool aIsProvenNotRun,
                 std::optional<base::Duration> aRetryAfter)
  : m_code(aCode)
  , m_message(std::move(aMessage))
  , m_isProvenNotRun(aIsProvenNotRun)
  , m_retryAfter(aRetryAfter)
{
}

Refusal Refusal::NotRun(RefusalCode aCode, base::NotRun const& aProof,
                        std::optional<base::Duration> aRetryAfter)
{
  return { aCode, aProof.Reason(), true, aRetryAfter };
}

Refusal Refusal::OutcomeUnknown(base::Unknown const& aUnknown)
{
  return { RefusalCode::OutcomeUnknown, aUnknown.m_reason, false, std::nullopt };
}

Refusal RefuseBeforeSending(RefusalCode aCode, std::string aMessage,
                            std::optional<base::Duration> aRetryAfter)
{
  return Refusal::NotRun(aCode, base::NotRun::BeforeSending(std::move(aMessage)), aRetryAfter);
}

} // namespace sardinefold::caller
