#pragma once

#include "Bench/Workload/AllowanceScenario.h"

namespace sardinefold::bench {

/// The baseline without any messages: each entry has an equal part of each
/// workspace's rate and burst, and an entry that replaces a dead one starts
/// with nothing. Requests wait until their deadline.
AllowanceResult RunStaticShares(AllowanceScenario const& aScenario);

} // namespace sardinefold::bench
