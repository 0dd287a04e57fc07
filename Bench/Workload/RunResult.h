#pragma once

#include "Base/Time.h"

#include <vector>

namespace sardinefold::bench {

/// Result of one request of a trace.
struct RequestResult
{
  base::Duration m_firstToken{};
  /// Whether the replica was not loaded when the request reached the agent.
  bool m_wasCold = false;
  bool m_wasRefused = false;
};

/// Result of a trace, with one entry per request in the trace's order.
struct RunResult
{
  std::vector<RequestResult> m_requests;
  /// Time for which loaded replicas had no request, multiplied by each replica's
  /// share of an accelerator's memory.
  base::Duration m_idle{};
  unsigned m_loads = 0;
};

/// Returns the smallest value that is not exceeded by the given share of the
/// sample; zero if the sample is empty.
base::Duration Percentile(std::vector<base::Duration> aSample, double aShare);

} // namespace sardinefold::bench
