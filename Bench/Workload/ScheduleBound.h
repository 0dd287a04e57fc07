#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <vector>

namespace sardinefold::bench {

/// A request for a model, as a schedule of swaps sees it.
struct ScheduledRequest
{
  base::ModelId m_model;
  base::Instant m_arrival{};
  /// Until then the first token earns the weight.
  base::Instant m_goal{};
  double m_weight = 0;
};

/// What a fleet of engines can hold and change.
struct ScheduledFleet
{
  /// Models that all engines hold at a time.
  unsigned m_slots = 1;
  /// Time of the fastest load, in which a place serves nobody.
  base::Duration m_swapTime{};
};

/// A bound on the weight that any schedule of swaps could earn, even one that
/// knows all requests beforehand: a relaxation in which a place belongs to no
/// engine, every load is the fastest, and a load serves all requests for its
/// model whose times overlap. Within a window of time the requests served
/// cannot take more of the places than there is.
double MaximumWeight(std::vector<ScheduledRequest> aRequests, ScheduledFleet aFleet);

} // namespace sardinefold::bench
