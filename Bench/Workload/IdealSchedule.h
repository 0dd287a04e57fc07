#pragma once

#include "Bench/Workload/RunResult.h"
#include "Bench/Workload/Trace.h"

namespace sardinefold::bench {

/// Runs a trace with a schedule that knows all of it in advance and has the same
/// weight store. Like any schedule that keeps idle time low, it loads a model no
/// earlier than the first request that finds it unloaded. It keeps a model
/// loaded during a pause of at most aMaximumIdle and unloads it at once before a
/// longer one. Engines and the network take no time, memory is unlimited, and
/// the result is the best of several orders of loads.
RunResult RunIdealSchedule(Workload const& aWorkload, base::Duration aMaximumIdle);

} // namespace sardinefold::bench
