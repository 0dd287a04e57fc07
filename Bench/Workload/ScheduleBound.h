#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <vector>

namespace sardinefold::bench {

/// A request for a model in a schedule of swaps.
struct ScheduledRequest
{
  base::ModelId m_model;
  base::Instant m_arrival{};
  /// Latest time of the first token at which the request earns its weight.
  base::Instant m_goal{};
  double m_weight = 0;
};

/// Capacity of a fleet of engines.
struct ScheduledFleet
{
  /// Number of models that all engines together can hold.
  unsigned m_slots = 1;
  /// Duration of the fastest load, during which a slot serves no request.
  base::Duration m_swapTime{};
};

/// Returns an upper bound on the weight that any schedule of swaps could earn,
/// even one that knows all requests in advance. In this relaxation a slot
/// belongs to no engine, every load is the fastest, and a load serves all
/// requests for its model whose times overlap. Within a window of time, the
/// requests served cannot use more slot time than there is.
double MaximumWeight(std::vector<ScheduledRequest> aRequests, ScheduledFleet aFleet);

} // namespace sardinefold::bench
