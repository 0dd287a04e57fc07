#pragma once

#include "Base/Time.h"
#include "Operator/ServingCatalog.h"

#include <optional>

namespace sardinefold::caller {

/// The times of a process's planned stop.
struct StopTimes
{
  /// The load balancer has removed the process: requests no longer wait, and only
  /// those are begun that surely end.
  base::Instant m_waitEnd{};
  /// Open requests are ended with an answer, and begun streams broken off.
  base::Instant m_end{};
  /// The process ends.
  base::Instant m_exit{};

  /// The stop begins at aNow; the process is killed after aGrace.
  static StopTimes Plan(base::Instant aNow, base::Duration aGrace);
};

/// Decides which attempts a process that stops may still begin, and how long they
/// may take.
class StopPolicy
{
public:
  /// A process that does not stop has neither time.
  StopPolicy(std::optional<base::Instant> aWaitEnd, std::optional<base::Instant> aEnd)
    : m_waitEnd(aWaitEnd)
    , m_end(aEnd)
  {
  }

  /// Whether an attempt may begin of a request whose own deadline is aRequestEnd. A
  /// request that runs at most once and is answered in one piece has to end before
  /// the stop. Others may be ended by it if they come in time, as they are repeated,
  /// resumed or broken off visibly.
  bool MayBegin(operators::RouteRule const& aRoute, base::Instant aRequestEnd,
                base::Instant aNow) const;
  /// The earlier of a request's deadline and the last moment at which an upstream's
  /// response can still be relayed.
  base::Instant LimitOf(base::Instant aRequestEnd) const;

private:
  std::optional<base::Instant> m_waitEnd;
  std::optional<base::Instant> m_end;
};

} // namespace sardinefold::caller
