#include "Agent/Routing/UpstreamLoad.h"

#include <algorithm>

namespace sardinefold::agent {

void UpstreamLoad::OnReport(LoadReport const& aReport, base::Instant aMadeAt)
{
  if (aMadeAt < m_reportMadeAt) {
    return;
  }
  m_report = aReport;
  m_reportMadeAt = aMadeAt;
  m_sentSinceReport.fill(0);
  m_endedSinceReport = 0;
  std::erase_if(m_coldSentSinceReport,
                [aMadeAt](auto const& aEntry) { return aEntry.second.m_at <= aMadeAt; });
  for (auto const& [ticket, sent] : m_sent) {
    if (sent.m_at > aMadeAt) {
      ++m_sentSinceReport.at(static_cast<std::size_t>(sent.m_class));
    }
  }
}

void UpstreamLoad::OnSent(RouteTicket aTicket, operators::RequestClass aClass, base::Instant aNow)
{
  m_sent.emplace(aTicket, Sent{ aNow, aClass });
  ++m_sentSinceReport.at(static_cast<std::size_t>(aClass));
}

void UpstreamLoad::OnDone(RouteTicket aTicket)
{
  auto const sent = m_sent.find(aTicket);
  if (sent == m_sent.end()) {
    return;
  }
  if (sent->second.m_at > m_reportMadeAt) {
    --m_sentSinceReport.at(static_cast<std::size_t>(sent->second.m_class));
  } else {
    ++m_endedSinceReport;
  }
  m_sent.erase(sent);
}

void UpstreamLoad::OnColdSent(engine::ReplicaKey const& aReplica, base::Bytes aMemory,
                              base::Instant aNow)
{
  m_coldSentSinceReport.insert_or_assign(aReplica, ColdSent{ aMemory, aNow });
}

bool UpstreamLoad::HasRoomFor(engine::ReplicaKey const& aReplica, base::Bytes aMemory) const
{
  if (!m_report.m_loadable || m_coldSentSinceReport.contains(aReplica)) {
    return true;
  }
  base::Bytes taken = aMemory;
  for (auto const& [replica, sent] : m_coldSentSinceReport) {
    taken += sent.m_memory;
  }
  return taken <= *m_report.m_loadable;
}

base::Duration UpstreamLoad::ExpectedWait(operators::RequestClass aClass, unsigned aConcurrency,
                                          base::Duration aServiceTime) const
{
  int ahead = static_cast<int>(m_report.m_running) - m_endedSinceReport;
  for (std::size_t index = 0; index <= static_cast<std::size_t>(aClass); ++index) {
    ahead += static_cast<int>(m_report.m_waiting.at(index)) + m_sentSinceReport.at(index);
  }
  int const slots = static_cast<int>(std::max(aConcurrency, 1U));
  int const rounds = std::max(ahead - slots + 1, 0);
  return aServiceTime * rounds / slots;
}

} // namespace sardinefold::agent
