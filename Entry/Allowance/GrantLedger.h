#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <map>

namespace sardinefold::entry {

/// Tokens granted, by workspace.
using GrantedTokens = std::map<base::WorkspaceId, base::Tokens>;

/// Adds up what several processes have granted. Each tells its total since its
/// start, so that lost or repeated reports change nothing, and what was counted
/// once stays counted when the process restarts, falls silent or goes.
class GrantLedger
{
public:
  void OnReport(base::HostId const& aProcess, base::IncarnationId const& aIncarnation,
                GrantedTokens const& aGranted);
  /// Forgets which grants of a process are counted; the sums keep them.
  void Remove(base::HostId const& aProcess) { m_processes.erase(aProcess); }
  /// What all but one have granted since the ledger began.
  GrantedTokens GrantedByOthers(base::HostId const& aProcess) const;

private:
  struct Process
  {
    base::IncarnationId m_incarnation;
    /// What it said last, and what of its grants is in the sum.
    GrantedTokens m_lastReport;
    GrantedTokens m_counted;
  };

  std::map<base::HostId, Process> m_processes;
  GrantedTokens m_total;
};

} // namespace sardinefold::entry
