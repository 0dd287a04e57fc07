#pragma once

#include "Agent/Routing/RouteTypes.h"

#include <map>

namespace sardinefold::agent {

/// The load of one upstream: its latest report, which lags, corrected by the
/// requests that this router has sent and seen end since the report was made.
class UpstreamLoad
{
public:
  /// Handles a report made at aMadeAt. A report older than the latest one is
  /// ignored.
  void OnReport(LoadReport const& aReport, base::Instant aMadeAt);
  void OnSent(RouteTicket aTicket, operators::RequestClass aClass, base::Instant aNow);
  void OnDone(RouteTicket aTicket);

  /// Returns the expected wait of a request of the class for one of
  /// aConcurrency slots.
  base::Duration ExpectedWait(operators::RequestClass aClass, unsigned aConcurrency,
                              base::Duration aServiceTime) const;
  /// Called when a request is sent for a replica that is not loaded there.
  /// Loading it takes memory that the latest report does not include.
  void OnColdSent(engine::ReplicaKey const& aReplica, base::Bytes aMemory, base::Instant aNow);
  /// Whether OnColdSent() was called for the replica since the latest report
  /// was made.
  bool IsColdSent(engine::ReplicaKey const& aReplica) const
  {
    return m_coldSentSinceReport.contains(aReplica);
  }
  /// Whether memory for another replica is available without waiting.
  bool HasRoomFor(engine::ReplicaKey const& aReplica, base::Bytes aMemory) const;
  std::size_t InFlight() const { return m_sent.size(); }

private:
  struct Sent
  {
    base::Instant m_at;
    operators::RequestClass m_class;
  };

  struct ColdSent
  {
    base::Bytes m_memory;
    base::Instant m_at;
  };

  LoadReport m_report;
  base::Instant m_reportMadeAt;
  std::map<RouteTicket, Sent> m_sent;
  std::array<int, kRequestClasses> m_sentSinceReport{};
  int m_endedSinceReport = 0;
  std::map<engine::ReplicaKey, ColdSent> m_coldSentSinceReport;
};

} // namespace sardinefold::agent
