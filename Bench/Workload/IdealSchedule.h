#pragma once

#include "Bench/Workload/RunResult.h"
#include "Bench/Workload/Trace.h"

namespace sardinefold::bench {

/// Runs a trace as well as anyone could who knows all of it and has the same
/// store, but, like any schedule that keeps idle hours low, loads a model no
/// earlier than the first request that finds it unloaded. It keeps a model
/// through a pause between uses if the pause is at most aMaximumIdle, and
/// unloads it at once otherwise, which no one can do without knowing the
/// future. Engines and the network cost it nothing, each model has all the
/// memory it needs, and the best of several orders of loads counts.
RunResult RunIdealSchedule(Workload const& aWorkload, base::Duration aMaximumIdle);

} // namespace sardinefold::bench
