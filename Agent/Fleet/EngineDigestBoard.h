#pragma once

#include "Agent/Fleet/FleetMessages.h"

#include <map>
#include <vector>

namespace sardinefold::agent {

/// Collects at an aggregator what the loaders of its failure domain send, and makes
/// digests of it: of each loader the latest status, if it is new, and twice a second a
/// heartbeat of all loaders, so that a lost digest costs little.
class EngineDigestBoard
{
public:
  explicit EngineDigestBoard(base::FailureDomainId aDomain)
    : m_domain(std::move(aDomain))
  {
  }

  void OnStatus(EngineStatus aStatus, base::Instant aNow);
  void OnHeartbeat(EngineHeartbeat const& aHeartbeat, base::Instant aNow);
  /// Another aggregator of the domain has sent this digest.
  void OnSentElsewhere(EngineDigest const& aDigest);

  /// Returns the digests that are due, each of which fits into a datagram; one at
  /// least, which shows that this aggregator is running. What a stall of this process
  /// has made old is dropped: its loader has sent newer messages to others meanwhile.
  std::vector<EngineDigest> TakeDigests(base::Instant aNow);

private:
  struct Loader
  {
    EngineHeartbeat m_heartbeat;
    base::Instant m_lastContactAt{};
  };
  struct Pending
  {
    EngineStatus m_status;
    base::Instant m_receivedAt{};
  };

  /// Records the latest message of a loader. Returns false if a later one is known.
  bool Record(EngineHeartbeat const& aHeartbeat, base::Instant aNow);

  base::FailureDomainId m_domain;
  std::map<base::HostId, Loader> m_loaders;
  std::map<base::HostId, Pending> m_pending;
  base::Instant m_lastCompleteAt{};
};

} // namespace sardinefold::agent
