#pragma once

#include "Base/Log.h"
#include "Programs/Gateway/GatewayState.h"

#include <string>
#include <utility>

namespace sardinefold::programs {

/// Takes an entry of the list of upstreams and records how it was taken.
inline engine::ListingOutcome RecordListed(GatewayState& aState, engine::UpstreamEntry aEntry,
                                           engine::EntrySource aSource, base::Instant aNow)
{
  auto const upstream = aEntry.m_instance;
  auto const deployment = aEntry.m_deployment;
  bool const isDraining = aEntry.m_isDraining;
  // Engines write their entries anew with each model that they load.
  bool const isNews = !aState.m_directory.Knows(aEntry);
  auto const outcome = aState.m_directory.OnListed(std::move(aEntry), aNow, aSource);
  std::string const reading(ToText(outcome));
  if (isNews || outcome != engine::ListingOutcome::Believed) {
    base::log::Info("upstream listed", { { "upstream", upstream.Text() },
                                         { "deployment", deployment.Text() },
                                         { "leaving", isDraining ? "true" : "false" },
                                         { "taken_for", reading } });
  }
  if (outcome != engine::ListingOutcome::Believed) {
    aState.m_metrics
      .Counter("sardinefold_gateway_upstream_entries_doubted_total",
               "Entries of a restored list that were not believed, by what was known of the "
               "upstream.",
               { { "taken_for", reading } })
      .Increment();
  }
  return outcome;
}

/// Logs and counts the warm-ups that have begun or ended. To be called regularly.
inline void LogWarmUps(GatewayState& aState, base::Instant aNow)
{
  for (auto const& change : aState.m_directory.WarmUps().TakeChanges(aNow)) {
    base::log::Info(change.m_hasBegun ? "upstream warms up" : "upstream is warm",
                    { { "upstream", change.m_start.m_instance.Text() },
                      { "started_at", std::to_string(change.m_start.m_startedAt) },
                      { "deployment", change.m_deployment.Text() },
                      { "left_ms", std::to_string(base::ToMilliseconds(change.m_left)) },
                      { "permits", std::to_string(change.m_permits) } });
    if (change.m_hasBegun) {
      aState.m_metrics
        .Counter("sardinefold_gateway_warm_ups_total", "Warm-ups of upstreams.",
                 { { "deployment", change.m_deployment.Text() } })
        .Increment();
    }
  }
}

} // namespace sardinefold::programs
