#pragma once

#include "Base/Time.h"

#include <vector>

namespace sardinefold::bench {

/// How one request of a trace fared.
struct RequestResult
{
  base::Duration m_firstToken{};
  /// Its replica was not loaded when it reached the agent.
  bool m_wasCold = false;
  bool m_wasRefused = false;
};

/// How a whole trace fared; one result per request, in the trace's order.
struct RunResult
{
  std::vector<RequestResult> m_requests;
  /// Time that loaded replicas spent without a request, each weighted by its
  /// share of an accelerator's memory.
  base::Duration m_idle{};
  unsigned m_loads = 0;
};

/// The value below which the given share of the sample lies; zero for none.
base::Duration Percentile(std::vector<base::Duration> aSample, double aShare);

} // namespace sardinefold::bench
