#pragma once

#include "Base/Time.h"
#include "Engine/PermitDraw.h"
#include "Engine/WarmUpTerms.h"

namespace sardinefold::engine {

/// The part of an upstream's warm-up rate that each process may use without asking the
/// others. Processes that draw independently keep the bound of the terms together, as
/// long as there are no more of them than counted here.
class WarmUpShare
{
public:
  /// Time in which a process uses its permits once. Longer than the second of the
  /// bound, as a process may be held up between its clock reading and the write.
  static constexpr base::Duration kWindow = std::chrono::milliseconds(1250);

  WarmUpShare() = default;
  WarmUpShare(WarmUpTerms const& aTerms, unsigned aProcesses);

  /// Requests that a process may send within the window; see PermitDraw.
  unsigned PermitsFor(double aDraw) const { return m_permits.PermitsFor(aDraw); }

private:
  PermitDraw m_permits;
};

} // namespace sardinefold::engine
