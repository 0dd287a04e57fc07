#pragma once

#include <optional>
#include <string_view>

namespace sardinefold::agent {

/// Why an agent did not run a request, or cannot tell whether it ran.
enum class Refusal
{
  /// The head of the exchange is malformed.
  BadExchange,
  /// The message is not signed by a process of this system.
  NotAuthenticated,
  /// The agent is shutting down or its host is draining.
  Draining,
  /// The request was addressed to an earlier incarnation of the agent.
  OtherIncarnation,
  /// The time by which the request had to start has passed.
  StartByPassed,
  /// The entry requested that the exchange not be started.
  DeniedByEntry,
  /// An exchange with this correlation id has been received before.
  DuplicateExchange,
  /// Too many requests wait for the upstream.
  QueueFull,
  /// The request would not have started before its deadline.
  DeadlinePassed,
  /// No connection to the upstream could be established.
  UpstreamUnreachable,
  /// The connection to the upstream closed before the response began.
  UpstreamLost,
  /// The upstream did not begin its response in time.
  UpstreamTimedOut,
  /// The engine is not permitted to hold the model, or has no memory for it.
  ModelNotAvailable,
  /// The claim of a request that must not run twice could not be written.
  ClaimNotWritten,
  /// The idempotency key was used before with another body.
  KeyReused,
  /// An earlier request with this key may have run; its response is not known.
  EarlierOutcomeUnknown,
  /// An earlier request with this key ran; its response was too large to store.
  AnswerNotKept,
  /// The request was in flight on upstreams that crashed.
  SuspectedOfCrashes
};

/// Returns the stable code that is sent in the field Sardinefold-Reason.
std::string_view ToText(Refusal aRefusal);
std::optional<Refusal> ParseRefusal(std::string_view aText);

} // namespace sardinefold::agent
