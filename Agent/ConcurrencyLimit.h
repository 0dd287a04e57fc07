#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace sardinefold::agent {

/// What the end of a request that the upstream had accepted says about the
/// upstream's load.
enum class LoadSignal
{
  Served,
  /// The upstream refused the request because of load, timed out or failed.
  Overloaded
};

/// Adapts the number of concurrent requests to an upstream (additive increase,
/// multiplicative decrease). The limit grows by one for each full round of
/// requests served while the limit was reached, and shrinks by a tenth, at most
/// once per round trip, when the upstream shows overload.
class ConcurrencyLimit
{
public:
  /// Starts at aMaximum, which the document sets. The limit never falls below
  /// one.
  explicit ConcurrencyLimit(std::size_t aMaximum);

  /// Called when a request ends that started aLatency ago. aRunning counts the
  /// running requests, including the one that ended.
  void OnEnded(LoadSignal aSignal, base::Duration aLatency, std::size_t aRunning,
               base::Instant aNow);

  std::size_t Current() const { return static_cast<std::size_t>(m_limit); }

private:
  double m_maximum;
  double m_limit;
  base::Instant m_mayShrinkAt{};
};

} // namespace sardinefold::agent
