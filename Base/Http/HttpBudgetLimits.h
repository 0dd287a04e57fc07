#pragma once

#include "Base/Time.h"
#include "Base/Units.h"

#include <cstddef>
#include <limits>

namespace sardinefold::base {

/// What the connections of all servers of a process may hold together. Without
/// values nothing is limited.
struct HttpBudgetLimits
{
  /// Memory of connections, heads, bodies and responses that are being written.
  Bytes m_memory{ std::numeric_limits<std::int64_t>::max() / 4 };
  /// Descriptors of connections, and of those to upstreams for requests being served.
  std::size_t m_descriptors = std::numeric_limits<std::size_t>::max() / 4;
  /// A response that its reader has not taken for so long may be cut off if memory or
  /// descriptors run out. Callers give up a stream that stalls for less.
  Duration m_stalledWrite = std::chrono::seconds(5);

  /// Returns the part that the servers of a process may use of its limits. The rest is
  /// for the process at rest with its catalog, for buffered responses, for idle
  /// connections to upstreams, and for the store, peers and files.
  static HttpBudgetLimits Of(Bytes aProcessMemory, std::size_t aProcessDescriptors);
};

} // namespace sardinefold::base
