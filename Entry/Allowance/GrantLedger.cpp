#include "Entry/Allowance/GrantLedger.h"

namespace sardinefold::entry {

void GrantLedger::OnReport(base::HostId const& aProcess, base::IncarnationId const& aIncarnation,
                           GrantedTokens const& aGranted, bool aIsComplete)
{
  if (!aIsComplete && !m_processes.contains(aProcess)) {
    return;
  }
  auto const [found, isNew] = m_processes.try_emplace(aProcess);
  auto& process = found->second;
  if (process.m_incarnation != aIncarnation) {
    process.m_lastReport.clear();
    process.m_incarnation = aIncarnation;
  }
  for (auto const& [workspace, tokens] : aGranted) {
    auto const added = tokens - process.m_lastReport[workspace];
    // The grants in a process's first report may have been made long ago.
    if (!isNew) {
      process.m_counted[workspace] += added;
      m_total[workspace] += added;
    }
    process.m_lastReport[workspace] = tokens;
  }
}

GrantedTokens GrantLedger::GrantedByOthers(base::HostId const& aProcess) const
{
  auto others = m_total;
  auto const found = m_processes.find(aProcess);
  if (found != m_processes.end()) {
    for (auto const& [workspace, tokens] : found->second.m_counted) {
      others[workspace] -= tokens;
    }
  }
  return others;
}

} // namespace sardinefold::entry
