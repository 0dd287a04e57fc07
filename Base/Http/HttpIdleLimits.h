#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace sardinefold::base {

/// Bounds on the connections of a client that wait for their next request.
struct HttpIdleLimits
{
  std::size_t m_perEndpoint = 64;
  /// Over all endpoints.
  std::size_t m_total = 1024;
  /// Connections that were idle for longer are closed.
  Duration m_timeout = std::chrono::seconds(20);
};

} // namespace sardinefold::base
