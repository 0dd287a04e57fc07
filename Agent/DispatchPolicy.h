#pragma once

#include "Agent/DispatchError.h"
#include "Agent/DispatchRequest.h"
#include "Agent/ExchangeHead.h"
#include "Base/Outcome.h"

#include <optional>

namespace sardinefold::agent {

/// How an attempt ended, for whoever chooses upstreams.
enum class AttemptEnd
{
  Served,
  /// The agent refused for a reason that tells nothing of its upstream.
  Refused,
  /// The agent or its upstream failed.
  Failed,
  /// The agent did not start the request in time.
  Late,
  /// The caller went away.
  Cancelled
};

/// What follows an attempt without an answer.
struct DispatchStep
{
  /// What the caller is told if this was the last attempt.
  DispatchError m_error;
  AttemptEnd m_end = AttemptEnd::Failed;
  bool m_mayHaveRun = false;
  /// Leave to try another agent, if there is one.
  std::optional<base::RetryPermit> m_permit;
};

/// Decides after a proof that the attempt did not run.
DispatchStep StepAfterNotRun(DispatchRequest const& aRequest, base::NotRun const& aProof,
                             base::Instant aNow);
/// Decides after an attempt that may have run.
DispatchStep StepAfterUnknown(DispatchRequest const& aRequest, base::Unknown const& aUnknown,
                              base::Instant aNow);

/// Decides after any attempt without an answer.
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

DispatchError NoUpstream();

/// What a request holds of its workspace's allowance.
base::Tokens ReservedTokens(DispatchRequest const& aRequest);

/// The part of the exchange's head that does not depend on the agent.
ExchangeHead MakeExchangeHead(DispatchRequest const& aRequest, base::Instant aNow);

} // namespace sardinefold::agent
