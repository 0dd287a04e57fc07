#pragma once

#include "Base/Time.h"

#include <cstddef>

namespace sardinefold::agent {

/// How a request that the upstream had taken ended, as far as it tells of the
/// upstream's load.
enum class LoadSignal
{
  Served,
  /// The upstream refused because of load, timed out or broke.
  Overloaded
};

/// Adapts how many requests an upstream is given at once: grows by one for each
/// full round of requests served while the limit was reached, and shrinks by a
/// tenth, at most once in a round trip, when the upstream shows overload.
class ConcurrencyLimit
{
public:
  /// Starts at the most that the document allows; never falls below one.
  explicit ConcurrencyLimit(std::size_t aMaximum);

  /// A request ended that began aLatency ago, while aRunning ran, itself
  /// included.
  void OnEnded(LoadSignal aSignal, base::Duration aLatency, std::size_t aRunning,
               base::Instant aNow);

  std::size_t Current() const { return static_cast<std::size_t>(m_limit); }

private:
  double m_maximum;
  double m_limit;
  base::Instant m_mayShrinkAt{};
};

} // namespace sardinefold::agent
