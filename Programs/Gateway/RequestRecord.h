#pragma once

#include "Agent/CrashRegistry.h"
#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Caller/AttemptHistory.h"
#include "Programs/Gateway/RequestContext.h"

#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::programs {

/// Outcomes of requests with a prompt part that crashes upstreams, or may do so.
inline constexpr std::string_view kRefusedPartOutcome = "prompt part crashes upstreams";
inline constexpr std::string_view kSuspectedOutcome = "prompt part is suspected";
/// Outcome of requests that a stopping process does not begin, or ends.
inline constexpr std::string_view kStoppingOutcome = "gateway stops";
/// Retry-After of such requests, which another gateway can take at once.
inline constexpr base::Duration kStopRetryAfter = std::chrono::milliseconds(100);

/// The result of one request, for its final log line and the metrics. Outcomes
/// and reasons are string constants, which bounds the number of label values.
struct RequestRecord
{
  std::string_view m_outcome;
  /// Zero if no response was sent to the caller.
  unsigned m_status = 0;
  /// The upstream of the latest attempt.
  engine::InstanceId m_upstream;
  /// Time spent waiting for a model or an adapter.
  base::Duration m_waited{};
  std::optional<base::Instant> m_firstEventAt;
};

inline void LogRefusedPart(RequestContext const& aContext,
                           agent::SubjectRefusal<base::PromptPartId> const& aRefusal)
{
  base::log::Info("prompt part is refused",
                  { { "request", aContext.m_request.m_id.Text() },
                    { "part", aRefusal.m_subject.Text() },
                    { "left_ms", std::to_string(base::ToMilliseconds(aRefusal.m_timeLeft)) } });
}

inline void LogRequestEnd(RequestContext const& aContext, caller::AttemptHistory const& aHistory,
                          RequestRecord const& aRecord, base::Instant aNow)
{
  auto const milliseconds = [](base::Duration aTime) {
    return std::to_string(base::ToMilliseconds(aTime));
  };
  auto const& query = aContext.m_query;
  auto const firstAt = aRecord.m_firstEventAt.value_or(aNow);
  base::log::Info("request ended",
                  { { "request", aContext.m_request.m_id.Text() },
                    { "route", aContext.m_route.m_id.Text() },
                    { "catalog", std::to_string(aContext.m_catalog.Value()) },
                    { "workspace", aContext.m_workspace ? aContext.m_workspace->Text() : "" },
                    { "tokens", std::to_string(aContext.m_tokens.Value()) },
                    { "model", query.m_model ? query.m_model->Text() : "" },
                    { "upstream", aRecord.m_upstream.Text() },
                    { "sends", std::to_string(aHistory.Attempts()) },
                    { "status", std::to_string(aRecord.m_status) },
                    { "outcome", std::string(aRecord.m_outcome) },
                    { "waited_ms", milliseconds(aRecord.m_waited) },
                    { "goal_ms", milliseconds(aContext.m_route.m_goal) },
                    { "first_ms", milliseconds(firstAt - aContext.m_start) },
                    { "total_ms", milliseconds(aNow - aContext.m_start) } });
}

/// Updates the metrics for a finished request. The label "class" is the route's
/// urgency.
inline void RecordRequestMetrics(base::Metrics& aMetrics, RequestContext const& aContext,
                                 RequestRecord const& aRecord, base::Instant aNow)
{
  std::string const workspace = aContext.m_workspace ? aContext.m_workspace->Text() : "";
  std::string const urgency = std::to_string(aContext.m_route.m_urgency);
  aMetrics
    .Counter("sardinefold_gateway_requests_total", "Requests by how they ended.",
             { { "workspace", workspace },
               { "class", urgency },
               { "outcome", std::string(aRecord.m_outcome) } })
    .Increment();
  if (aRecord.m_waited > base::Duration::zero()) {
    base::Observe(aMetrics.Seconds("sardinefold_gateway_model_wait_seconds",
                                   "Time that requests waited for a model or an adapter.",
                                   { { "workspace", workspace }, { "class", urgency } }),
                  aRecord.m_waited);
  }
  if (aRecord.m_status >= 200 && aRecord.m_status < 300) {
    auto const firstAt = aRecord.m_firstEventAt.value_or(aNow);
    base::MetricLabels const labels{ { "workspace", workspace }, { "class", urgency } };
    base::Observe(aMetrics.Seconds("sardinefold_gateway_first_event_seconds",
                                   "Time to the first event, or to the whole of other answers.",
                                   labels),
                  firstAt - aContext.m_start);
    base::Observe(aMetrics.Seconds("sardinefold_gateway_answer_seconds",
                                   "Time to the end of the answer.", labels),
                  aNow - aContext.m_start);
  }
}

} // namespace sardinefold::programs
