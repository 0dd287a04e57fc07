#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <chrono>
#include <map>
#include <set>
#include <vector>

namespace sardinefold::entry {

/// A process's statement about the newest version it knows, possibly relayed by
/// others.
struct FreshnessStatement
{
  base::HostId m_host;
  /// Newest version known to the process, in force or not.
  base::DocumentVersion m_version;
  /// Age of the platform's state on which that version is based, when stated.
  base::Duration m_platformAge{};
  /// Time since the process made the statement.
  base::Duration m_statementAge{};
};

/// How long keys are honoured without a fresh confirmation.
struct FreshnessPolicy
{
  /// A confirmation older than this is not fresh. This limit plus the time to
  /// distribute a version bounds how long a withdrawn key works.
  base::Duration m_freshLimit = std::chrono::milliseconds(1500);
  /// How long a process honours keys in an outage of the platform although it
  /// does not hear from every listed entry. A withdrawal that an unreachable
  /// entry accepted takes effect up to this much later here.
  base::Duration m_unreachableGrace = std::chrono::seconds(3);
};

/// Why keys are or are not honoured now.
enum class FreshnessVerdict
{
  /// The platform's own confirmation, direct or through a peer, is fresh.
  Fresh,
  /// Every listed entry has recently stated that it knows nothing newer, so that
  /// no withdrawal can have been accepted.
  SharedOutage,
  /// Some entry is unreachable, and the policy's grace period has not passed.
  Grace,
  /// A withdrawal may exist that this process has not received.
  Isolated,
  /// A newer version exists that is not in force here.
  Behind
};

inline bool IsTrusted(FreshnessVerdict aVerdict)
{
  return aVerdict == FreshnessVerdict::Fresh || aVerdict == FreshnessVerdict::SharedOutage ||
         aVerdict == FreshnessVerdict::Grace;
}

/// Decides whether the keys in force may be honoured; distinguishes an outage of
/// the platform for all entries from the isolation of this process.
///
/// Operators reach the platform only through entries, so whoever accepts a
/// withdrawal is a listed entry and states it when queried. Ages count from
/// before the query was sent, so that a late response is never taken for a recent
/// one.
class FreshnessTracker
{
public:
  FreshnessTracker(base::HostId aSelf, FreshnessPolicy aPolicy);

  /// Records the version now in force in this process.
  void SetInForce(base::DocumentVersion aVersion);
  /// Replaces the entries of the platform's latest list, with or without this
  /// process.
  void SetListed(std::set<base::HostId> aHosts);
  /// Records that no process listens at the host's address, as it refused a
  /// connection.
  void OnConnectionRefused(base::HostId const& aHost);
  /// Records the version that a read of the platform returned; the read began at
  /// aQueriedAt.
  void OnPlatformRead(base::DocumentVersion aVersion, base::Instant aQueriedAt);
  /// Records a statement received in response to a query that was sent at
  /// aQueriedAt.
  void OnStatement(FreshnessStatement const& aStatement, base::Instant aQueriedAt);

  FreshnessVerdict Verdict(base::Instant aNow) const;
  /// Returns this process's statement and those recently received from others.
  std::vector<FreshnessStatement> Statements(base::Instant aNow) const;

private:
  struct PeerState
  {
    base::DocumentVersion m_version;
    base::Instant m_platformAt;
    base::Instant m_statedAt;
  };

  void RecordFresh(base::DocumentVersion aVersion, base::Instant aAt);
  /// Returns the earliest of the listed entries' latest statements.
  base::Instant OldestStatementAt() const;

  base::HostId m_self;
  FreshnessPolicy m_policy;
  base::DocumentVersion m_inForce;
  base::DocumentVersion m_newest;
  base::Instant m_freshAt = base::Instant::min();
  std::set<base::HostId> m_listed;
  std::set<base::HostId> m_notRunning;
  std::map<base::HostId, PeerState> m_peers;
};

} // namespace sardinefold::entry
