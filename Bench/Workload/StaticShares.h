#pragma once

#include "Bench/Workload/AllowanceScenario.h"

namespace sardinefold::bench {

/// Simulates the baseline without control messages: each entry has an equal part
/// of each workspace's rate and burst, and an entry that replaces a crashed one
/// starts with an empty bucket. Requests wait until their deadline.
AllowanceResult RunStaticShares(AllowanceScenario const& aScenario);

} // namespace sardinefold::bench
