#pragma once

#include "Base/Http/HttpBudget.h"
#include "Base/Metrics.h"

#include <array>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// Brings the metrics of what the servers of the process hold, refused and cut up to date.
inline void UpdateDoorMetrics(base::Metrics& aMetrics, base::HttpBudget const& aBudget)
{
  auto const usage = aBudget.Measure();
  auto const setBytes = [&](char const* aKind, base::Bytes aBytes) {
    aMetrics
      .Gauge("sardinefold_http_held_bytes", "Memory that callers' connections hold.",
             { { "kind", aKind } })
      .Set(static_cast<double>(aBytes.Value()));
  };
  setBytes("connections", usage.m_connections);
  setBytes("requests", usage.m_requests);
  setBytes("responses", usage.m_responses);
  auto const raise = [&](char const* aName, char const* aHelp, base::MetricLabels const& aLabels,
                         std::uint64_t aTotal) {
    auto& counter = aMetrics.Counter(aName, aHelp, aLabels);
    counter.Increment(static_cast<double>(aTotal) - counter.Value());
  };
  auto const& events = aBudget.Events();
  constexpr std::array<char const*, base::kHttpActivities> kNames{
    "lingering", "silent", "reading_head", "idle", "reading_body", "writing", "serving"
  };
  for (std::size_t activity = 0; activity < base::kHttpActivities; ++activity) {
    aMetrics
      .Gauge("sardinefold_http_connections", "Open callers' connections by what they do.",
             { { "activity", kNames[activity] } })
      .Set(static_cast<double>(usage.m_byActivity[activity]));
    raise("sardinefold_http_cut_total", "Connections that were cut, as others needed their room.",
          { { "activity", kNames[activity] } }, events.m_cut[activity]);
  }
  constexpr char kRefused[] = "sardinefold_http_refused_total";
  constexpr char kRefusedHelp[] = "Requests and connections that were refused for want of room.";
  raise(kRefused, kRefusedHelp, { { "cause", "memory" } }, events.m_refusedForMemory);
  raise(kRefused, kRefusedHelp, { { "cause", "descriptors" } }, events.m_refusedForDescriptors);
  aMetrics
    .Gauge("sardinefold_http_descriptors",
           "Descriptors that callers' connections and their requests take.")
    .Set(static_cast<double>(aBudget.Descriptors()));
}

} // namespace sardinefold::programs
