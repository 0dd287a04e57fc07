#pragma once

#include "Base/Time.h"

#include <vector>

namespace sardinefold::base {

/// The time that a connection may wait for its next request. Peers may not have
/// heard of a lower limit yet, so the former one holds for its own length after
/// the change.
class IdleLimit
{
public:
  explicit IdleLimit(Duration aLimit)
    : m_limit(aLimit)
  {
  }

  void Set(Duration aLimit, Instant aNow);
  /// Returns when a wait that began at aBegan expires. A later Set() never makes it
  /// earlier.
  Instant ExpiryOf(Instant aBegan) const;

private:
  struct FormerLimit
  {
    Duration m_limit;
    Instant m_until;
  };

  Duration m_limit;
  /// Former limits that are longer than the present one, the longest first.
  std::vector<FormerLimit> m_former;
};

} // namespace sardinefold::base
