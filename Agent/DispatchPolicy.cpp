#include "Agent/DispatchPolicy.h"

#include "Agent/Refusal.h"

namespace sardinefold::agent {

namespace {

constexpr base::Duration kRetryAfterOverload = std::chrono::seconds(1);

DispatchErrorCode CodeOf(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::KeyReused:
      return DispatchErrorCode::IdempotencyKeyReused;
    case Refusal::SuspectedOfCrashes:
      return DispatchErrorCode::SuspectRequest;
    case Refusal::ClaimNotWritten:
      return DispatchErrorCode::PlatformUnavailable;
    case Refusal::QueueFull:
      return DispatchErrorCode::Overloaded;
    case Refusal::DeadlinePassed:
    case Refusal::StartByPassed:
      return DispatchErrorCode::DeadlineUnreachable;
    case Refusal::ModelNotAvailable:
    case Refusal::Draining:
      return DispatchErrorCode::NoUpstream;
    default:
      return DispatchErrorCode::UpstreamFailed;
  }
}

/// Whether another agent would refuse the request for the same reason.
bool IsFinal(DispatchErrorCode aCode)
{
  return aCode == DispatchErrorCode::IdempotencyKeyReused ||
         aCode == DispatchErrorCode::SuspectRequest ||
         aCode == DispatchErrorCode::PlatformUnavailable;
}

bool IsFaultOfUpstream(Refusal aRefusal)
{
  return aRefusal == Refusal::UpstreamUnreachable || aRefusal == Refusal::UpstreamLost ||
         aRefusal == Refusal::UpstreamTimedOut;
}

std::optional<base::Duration> RetryAfter(DispatchErrorCode aCode)
{
  if (IsFinal(aCode) && aCode != DispatchErrorCode::PlatformUnavailable) {
    return std::nullopt;
  }
  return kRetryAfterOverload;
}

} // namespace

DispatchStep StepAfterNotRun(DispatchRequest const& aRequest, base::NotRun const& aProof,
                             base::Instant aNow)
{
  auto const refusal = ParseRefusal(aProof.Reason());
  auto const code = refusal ? CodeOf(*refusal) : DispatchErrorCode::UpstreamFailed;
  bool const isFailure = !refusal || IsFaultOfUpstream(*refusal);
  DispatchStep step{ { code, aProof, RetryAfter(code) },
                     isFailure ? AttemptEnd::Failed : AttemptEnd::Refused,
                     false,
                     std::nullopt };
  if (refusal == Refusal::StartByPassed) {
    step.m_end = AttemptEnd::Late;
  }
  if (!IsFinal(code) && aNow < aRequest.m_deadline) {
    step.m_permit.emplace(aProof);
  }
  return step;
}

DispatchStep StepAfterUnknown(DispatchRequest const& aRequest, base::Unknown const& aUnknown,
                              base::Instant aNow)
{
  DispatchStep step{ { DispatchErrorCode::UpstreamFailed, aUnknown, std::nullopt },
                     AttemptEnd::Failed,
                     true,
                     std::nullopt };
  auto const repeatable = base::Repeatable::FromRoute(aRequest.m_isRepeatable);
  if (repeatable && aNow < aRequest.m_deadline) {
    step.m_permit.emplace(aUnknown, *repeatable);
  }
  return step;
}

DispatchError NoUpstreamError()
{
  return { DispatchErrorCode::NoUpstream,
           base::NotRun::BeforeSending("no upstream of this deployment is available"),
           kRetryAfterOverload };
}

base::Tokens ReservedTokens(DispatchRequest const& aRequest)
{
  return aRequest.m_prompt + aRequest.m_output;
}

ExchangeHead MakeExchangeHead(DispatchRequest const& aRequest, base::Instant aNow)
{
  ExchangeHead head;
  head.m_request = aRequest.m_id;
  head.m_workspace = aRequest.m_workspace;
  head.m_route = aRequest.m_route;
  head.m_class = aRequest.m_class;
  head.m_model = aRequest.m_model.value_or(base::ModelId());
  head.m_adapter = aRequest.m_adapter.value_or(base::AdapterId());
  head.m_firstByteLimit = aRequest.m_deadline - aNow;
  head.m_tokens = ReservedTokens(aRequest);
  head.m_isRepeatable = aRequest.m_isRepeatable;
  if (aRequest.m_idempotency) {
    head.m_claim = base::ClaimId::FromValidated(*aRequest.m_idempotency);
  }
  head.m_fingerprint = base::FingerprintId::FromValidated(aRequest.m_fingerprint);
  return head;
}

} // namespace sardinefold::agent
