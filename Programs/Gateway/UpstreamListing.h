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

} // namespace sardinefold::programs
