#pragma once

#include "Caller/ForwardRequest.h"
#include "Operator/ServingCatalog.h"

#include <optional>
#include <string_view>

namespace sardinefold::caller {

/// How one attempt of a request at one upstream ended.
enum class AttemptEnd
{
  /// A response, successful or not, has been delivered to the caller.
  Delivered,
  /// The request was not sent, as its upstream had become unusable meanwhile.
  NotSent,
  /// The upstream did not run the request.
  NotRun,
  /// The upstream may have run the request, and no usable response arrived.
  Unknown,
  /// The upstream ran the request and failed.
  Failed,
  /// The caller has disconnected or does not read.
  CallerGone
};

std::string_view ToText(AttemptEnd aEnd);

/// Records the attempts of a request and decides whether it may be sent again
/// and whether its caller may be told that it did not run.
class AttemptHistory
{
public:
  void OnSent() { ++m_attempts; }
  void OnEnd(AttemptEnd aEnd);
  /// A part of the response has been forwarded to the caller, up to and
  /// including aEvent if it is given.
  void OnForwarded(std::optional<EventNumber> aEvent);

  /// Whether the route allows another attempt. A stream that has begun can only
  /// be resumed after a known event.
  bool MayRetry(operators::RouteRule const& aRoute) const;
  bool MayHaveRun() const { return m_runs > 0; }
  bool HasBegun() const { return m_hasBegun; }
  std::optional<EventNumber> const& LastEvent() const { return m_lastEvent; }
  unsigned Attempts() const { return m_attempts; }
  unsigned Runs() const { return m_runs; }

private:
  unsigned m_attempts = 0;
  /// Attempts that ran or may have run.
  unsigned m_runs = 0;
  bool m_lastWasNotRun = false;
  bool m_hasBegun = false;
  std::optional<EventNumber> m_lastEvent;
};

} // namespace sardinefold::caller
