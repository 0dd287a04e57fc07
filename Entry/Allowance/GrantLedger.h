#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <map>

namespace sardinefold::entry {

/// Tokens granted, by workspace.
using GrantedTokens = std::map<base::WorkspaceId, base::Tokens>;

/// Sums what several processes have granted. Each reports its total since its
/// start, so that lost or repeated reports change nothing. Counted grants stay in
/// the sums when a process restarts, becomes unresponsive or is removed.
class GrantLedger
{
public:
  /// Takes a process's totals: all of them if aIsComplete, otherwise those that have
  /// changed. An incomplete report of an unknown process is ignored, since what it
  /// lacks may have been granted long ago.
  void OnReport(base::HostId const& aProcess, base::IncarnationId const& aIncarnation,
                GrantedTokens const& aGranted, bool aIsComplete);
  /// Removes a process's last report; its counted grants stay in the sums.
  void Remove(base::HostId const& aProcess) { m_processes.erase(aProcess); }
  /// Returns what all processes but the given one have granted since the ledger
  /// began.
  GrantedTokens GrantedByOthers(base::HostId const& aProcess) const;

private:
  struct Process
  {
    base::IncarnationId m_incarnation;
    /// The totals last reported, and the part of its grants that is in the sum.
    GrantedTokens m_lastReport;
    GrantedTokens m_counted;
  };

  std::map<base::HostId, Process> m_processes;
  GrantedTokens m_total;
};

} // namespace sardinefold::entry
