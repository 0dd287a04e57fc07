#include "Caller/CallerMetrics.h"

namespace sardinefold::caller {

namespace {

base::MetricLabels LabelsOf(base::WorkspaceId const& aWorkspace, operators::RequestClass aClass)
{
  return { { "workspace", aWorkspace.Text() }, { "class", std::string(ToText(aClass)) } };
}

} // namespace

CallerMetrics::Handles& CallerMetrics::HandlesOf(base::WorkspaceId const& aWorkspace,
                                                 operators::RequestClass aClass)
{
  Series const series{ aWorkspace, aClass };
  auto const found = m_handles.find(series);
  if (found != m_handles.end()) {
    return found->second;
  }
  auto const labels = LabelsOf(aWorkspace, aClass);
  Handles const handles{
    &m_metrics.Seconds("sardinefold_first_byte_seconds",
                       "From a request's arrival to the first byte of its answer", labels),
    &m_metrics.Seconds("sardinefold_request_seconds",
                       "From a request's arrival to the end of its answer", labels),
    &m_metrics.TokenCounts("sardinefold_request_tokens",
                           "Prompt plus generated tokens of a request", labels),
    &m_metrics.Counter("sardinefold_served_total", "Answers that ended whole", labels),
    &m_metrics.Counter("sardinefold_cut_total", "Answers that ended early, by either side", labels),
  };
  return m_handles.emplace(series, handles).first->second;
}

void CallerMetrics::RecordRefused(base::WorkspaceId const& aWorkspace,
                                  operators::RequestClass aClass, RefusalCode aCode)
{
  auto labels = LabelsOf(aWorkspace, aClass);
  labels["code"] = std::string(ToText(aCode));
  m_metrics.Counter("sardinefold_refused_total", "Refused requests by reason", labels).Increment();
}

void CallerMetrics::RecordFirstByte(base::WorkspaceId const& aWorkspace,
                                    operators::RequestClass aClass, base::Duration aTime)
{
  base::Observe(*HandlesOf(aWorkspace, aClass).m_firstByte, aTime);
}

void CallerMetrics::RecordServed(base::WorkspaceId const& aWorkspace,
                                 operators::RequestClass aClass, base::Duration aTime,
                                 base::Tokens aTokens, bool aIsComplete)
{
  auto& handles = HandlesOf(aWorkspace, aClass);
  base::Observe(*handles.m_requestTime, aTime);
  handles.m_tokens->Observe(static_cast<double>(aTokens.Value()));
  (aIsComplete ? handles.m_served : handles.m_aborted)->Increment();
}

} // namespace sardinefold::caller
