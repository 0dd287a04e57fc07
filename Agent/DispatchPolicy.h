#pragma once

#include "Agent/DispatchError.h"
#include "Agent/DispatchRequest.h"
#include "Agent/ExchangeHead.h"
#include "Base/Outcome.h"

#include <optional>

namespace sardinefold::agent {

/// How an attempt ended, for the code that chooses upstreams.
enum class AttemptEnd
{
  Served,
  /// The agent refused for a reason that says nothing about its upstream.
  Refused,
  /// The agent or its upstream failed.
  Failed,
  /// The agent did not start the request in time.
  Late,
  /// The caller disconnected.
  Cancelled
};

/// What to do after an attempt that got no response.
struct DispatchStep
{
  /// The error that the caller receives if this was the last attempt.
  DispatchError m_error;
  AttemptEnd m_end = AttemptEnd::Failed;
  bool m_mayHaveRun = false;
  /// Permission to retry at another agent; empty if the request must not be
  /// retried.
  std::optional<base::RetryPermit> m_permit;
};

/// Decides what follows an attempt that provably did not run.
DispatchStep StepAfterNotRun(DispatchRequest const& aRequest, base::NotRun const& aProof,
                             base::Instant aNow);
/// Decides what follows an attempt that may have run.
DispatchStep StepAfterUnknown(DispatchRequest const& aRequest, base::Unknown const& aUnknown,
                              base::Instant aNow);

/// Decides what follows any attempt without a response.
template<typename Response>
DispatchStep NextStep(DispatchRequest const& aRequest, base::Outcome<Response> const& aOutcome,
                      bool aIsCancelled, base::Instant aNow)
{
  auto const* const proof = std::get_if<base::NotRun>(&aOutcome);
  auto step = proof ? StepAfterNotRun(aRequest, *proof, aNow)
                    : StepAfterUnknown(aRequest, std::get<base::Unknown>(aOutcome), aNow);
  if (aIsCancelled) {
    step.m_permit.reset();
    step.m_end = AttemptEnd::Cancelled;
    step.m_error.m_code = DispatchErrorCode::Cancelled;
  }
  return step;
}

DispatchError NoUpstreamError();

/// Returns the tokens that a request reserves of its workspace's allowance.
base::Tokens ReservedTokens(DispatchRequest const& aRequest);

/// Returns the exchange head without the fields that depend on the agent.
ExchangeHead MakeExchangeHead(DispatchRequest const& aRequest, base::Instant aNow);

} // namespace sardinefold::agent
