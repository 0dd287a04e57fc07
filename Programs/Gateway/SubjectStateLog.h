#pragma once

#include "Agent/CrashRegistry.h"
#include "Base/Log.h"
#include "Base/Metrics.h"

#include <string>
#include <string_view>

namespace sardinefold::programs {

/// The names under which the states of one kind of subject are logged and counted.
struct SubjectStateNames
{
  std::string_view m_message;
  /// The field of the log line with the subject.
  std::string_view m_field;
  char const* m_changes;
  char const* m_changesHelp;
  char const* m_refused;
  char const* m_refusedHelp;
};

inline constexpr SubjectStateNames kRequestStateNames{
  "request changed its state",
  "fingerprint",
  "sardinefold_gateway_fingerprint_changes_total",
  "Changes of state of requests that may crash upstreams.",
  "sardinefold_gateway_fingerprints_refused",
  "Requests refused, by their fingerprints."
};
inline constexpr SubjectStateNames kPartStateNames{
  "prompt part changed its state",
  "part",
  "sardinefold_gateway_part_changes_total",
  "Changes of state of prompt parts that may crash upstreams.",
  "sardinefold_gateway_parts_refused",
  "Prompt parts refused."
};

/// Logs and counts the changes of state since the last call; aToldBy is the sender of
/// the report that led to them. Returns whether there were any.
template<typename Subject>
bool RecordStateChanges(agent::CrashRegistry<Subject>& aRegistry, SubjectStateNames const& aNames,
                        std::string const& aToldBy, base::Metrics& aMetrics)
{
  auto const changes = aRegistry.TakeChanges();
  for (auto const& change : changes) {
    std::string upstreams;
    for (auto const& upstream : change.m_upstreams) {
      upstreams += (upstreams.empty() ? "" : " ") + upstream.Text();
    }
    std::string const state(ToText(change.m_state));
    base::log::Warning(aNames.m_message, { { aNames.m_field, change.m_subject.Text() },
                                           { "state", state },
                                           { "upstreams", upstreams },
                                           { "told_by", aToldBy } });
    aMetrics.Counter(aNames.m_changes, aNames.m_changesHelp, { { "state", state } }).Increment();
  }
  if (!changes.empty()) {
    aMetrics.Gauge(aNames.m_refused, aNames.m_refusedHelp)
      .Set(static_cast<double>(aRegistry.CountRefused()));
  }
  return !changes.empty();
}

} // namespace sardinefold::programs
