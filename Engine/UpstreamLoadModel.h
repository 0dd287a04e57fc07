#pragma once

#include "Base/Time.h"
#include "Engine/PaceEstimate.h"
#include "Engine/RequestWork.h"

#include <optional>

namespace sardinefold::engine {

/// What a process knows of one upstream's load: its own requests, which it knows at once,
/// and reports, which are old when they arrive.
class UpstreamLoadModel
{
public:
  /// The upstream, or the loader beside it, reported how many requests run and wait.
  void OnReported(unsigned aRunning, unsigned aWaiting, base::Instant aNow);
  /// The upstream reported how long work takes on its host; 1 is as usual.
  void OnSlowdown(double aSlowdown, base::Instant aNow) { m_slowdown = { aSlowdown, aNow }; }
  void OnSent(RequestWork aWork);
  /// The upstream has begun to answer one of the requests.
  void OnResponseStarted(RequestWork aWork);
  void OnDone();
  /// aRatio is the time that an answer took over what was expected at Slowness().
  void OnAnswerTime(double aRatio) { m_pace.OnAnswer(aRatio * m_pace.Value()); }
  /// Forgets what is known of an earlier start. Requests in flight stay counted.
  void OnRestart();

  /// Requests of this process.
  unsigned InFlight() const { return m_inFlight; }
  /// Those of them that the upstream has not begun to answer.
  unsigned OwnUnanswered() const { return m_unanswered; }
  /// Requests of all processes that the upstream has not begun to answer, as far as known.
  unsigned Unanswered() const { return m_unanswered + m_othersWaiting; }
  unsigned Running() const { return m_inFlight - m_unanswered + m_othersRunning; }
  /// The work that a new request finds before it. aRunning is what each running request
  /// adds, as it slows down every step.
  RequestWork Ahead(RequestWork aRunning) const;
  /// How long work takes there at this moment; 1 is usual.
  double Slowness(base::Instant aNow) const;
  /// The age of the latest report, if there is one.
  std::optional<base::Duration> ReportAge(base::Instant aNow) const;

private:
  struct Slowdown
  {
    double m_value = 1;
    base::Instant m_at{};
  };

  unsigned m_inFlight = 0;
  unsigned m_unanswered = 0;
  RequestWork m_unansweredWork;
  unsigned m_othersRunning = 0;
  unsigned m_othersWaiting = 0;
  std::optional<base::Instant> m_reportedAt;
  std::optional<Slowdown> m_slowdown;
  PaceEstimate m_pace;
};

} // namespace sardinefold::engine
