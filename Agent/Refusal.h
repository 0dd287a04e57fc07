#pragma once

#include <optional>
#include <string_view>

namespace sardinefold::agent {

/// Why an agent did not run a request, or cannot tell whether it ran.
enum class Refusal
{
  /// The head of the exchange is malformed.
  BadExchange,
  /// The message is not signed by a process of the fleet.
  NotAuthenticated,
  /// The agent is shutting down or its host is leaving.
  Draining,
  /// The request was meant for an earlier incarnation of the agent.
  OtherIncarnation,
  /// The time by which the request had to start has passed.
  StartByPassed,
  /// The entry asked that the exchange not be started.
  DeniedByEntry,
  /// An exchange of this name has been seen before.
  DuplicateExchange,
  /// Too many requests wait for the upstream.
  QueueFull,
  /// The request would not have started before its deadline.
  DeadlinePassed,
  /// No connection to the upstream could be made.
  UpstreamUnreachable,
  /// The connection to the upstream broke before the answer began.
  UpstreamLost,
  /// The upstream did not begin its answer in time.
  UpstreamTimedOut,
  /// The engine may not hold the model, or has no memory for it.
  ModelNotAvailable,
  /// The claim of a request that may not repeat could not be written.
  ClaimNotWritten,
  /// The idempotency key was used before with another body.
  KeyReused,
  /// An earlier request with this key may have run; its answer is not known.
  EarlierOutcomeUnknown,
  /// An earlier request with this key ran; its answer was too large to keep.
  AnswerNotKept,
  /// The request was in flight on upstreams that died.
  SuspectedOfCrashes
};

/// The stable code in the field Sardinefold-Reason.
std::string_view ToText(Refusal aRefusal);
std::optional<Refusal> ParseRefusal(std::string_view aText);

} // namespace sardinefold::agent
