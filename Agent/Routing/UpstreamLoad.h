#pragma once

#include "Agent/Routing/RouteTypes.h"

#include <map>

namespace sardinefold::agent {

/// The load of one upstream: its latest report, which lags, corrected by what
/// this router has sent and seen end since the report was made.
class UpstreamLoad
{
public:
  /// A report made at aMadeAt; an older one than the latest is ignored.
  void OnReport(LoadReport const& aReport, base::Instant aMadeAt);
  void OnSent(RouteTicket aTicket, operators::RequestClass aClass, base::Instant aNow);
  void OnDone(RouteTicket aTicket);

  /// Expected wait of a request of the class for one of aConcurrency places.
  base::Duration ExpectedWait(operators::RequestClass aClass, unsigned aConcurrency,
                              base::Duration aServiceTime) const;
  /// A request for a replica that isn't loaded there was sent, which takes
  /// memory that the latest report does not know of.
  void OnColdSent(engine::ReplicaKey const& aReplica, base::Bytes aMemory, base::Instant aNow);
  /// Whether such a request was sent since the latest report was made.
  bool IsColdSent(engine::ReplicaKey const& aReplica) const
  {
    return m_coldSince.contains(aReplica);
  }
  /// Whether a further replica finds memory without waiting.
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
  std::array<int, kRequestClasses> m_sentSince{};
  int m_endedSince = 0;
  std::map<engine::ReplicaKey, ColdSent> m_coldSince;
};

} // namespace sardinefold::agent
