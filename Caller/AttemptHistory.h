#pragma once

#include "Caller/ForwardRequest.h"
#include "Operator/ServingCatalog.h"

#include <optional>
#include <string_view>

namespace sardinefold::caller {

/// How one sending of a request to one upstream ended.
enum class AttemptEnd
{
  /// The answer, good or bad, has gone to the caller.
  Delivered,
  /// The upstream did not run the request.
  NotRun,
  /// The upstream may have run it, and no usable answer came.
  Unknown,
  /// The upstream ran it and failed.
  Failed,
  /// The caller has left or does not read.
  CallerGone
};

std::string_view ToText(AttemptEnd aEnd);

/// What became of a request's sendings so far, and what follows: whether it may
/// be sent once more, and whether its caller may be told that it did not run.
class AttemptHistory
{
public:
  void OnSent() { ++m_attempts; }
  void OnEnd(AttemptEnd aEnd);
  /// A part of the answer has gone to the caller, up to an event if one is
  /// given.
  void OnForwarded(std::optional<EventNumber> aEvent);

  /// Whether the route lets the request go to another upstream. A stream that
  /// has begun goes on only behind a known event.
  bool MayRetry(operators::RouteRule const& aRoute) const;
  bool MayHaveRun() const { return m_runs > 0; }
  bool HasBegun() const { return m_hasBegun; }
  std::optional<EventNumber> const& LastEvent() const { return m_lastEvent; }
  unsigned Attempts() const { return m_attempts; }
  unsigned Runs() const { return m_runs; }

private:
  unsigned m_attempts = 0;
  /// Sendings that ran or may have.
  unsigned m_runs = 0;
  bool m_lastWasNotRun = false;
  bool m_hasBegun = false;
  std::optional<EventNumber> m_lastEvent;
};

} // namespace sardinefold::caller
