#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <chrono>
#include <map>
#include <set>
#include <vector>

namespace sardinefold::entry {

/// What one process says about its news, possibly passed on by others.
struct FreshnessStatement
{
  base::HostId m_host;
  /// Newest version that it has heard of, in force or not.
  base::DocumentVersion m_version;
  /// Time since the state of the platform on which that version is based.
  base::Duration m_platformAge{};
  /// Time since it said so.
  base::Duration m_statementAge{};
};

/// How long keys are honoured without fresh news.
struct FreshnessPolicy
{
  /// News older than this is not fresh. The sum of this and the time to pass a
  /// version on bounds how long a withdrawn key works.
  base::Duration m_freshLimit = std::chrono::milliseconds(1500);
  /// During an outage of the platform: how long a process honours keys although
  /// it does not hear every listed entry. Longer than zero, a withdrawal that an
  /// unheard entry accepted takes effect this much later here.
  base::Duration m_unreachableGrace = std::chrono::seconds(3);
};

/// Why keys are or are not honoured at the moment.
enum class FreshnessVerdict
{
  /// News of the platform itself, direct or through a peer, is fresh.
  Fresh,
  /// Every listed entry has lately said that it has nothing newer, so that no
  /// withdrawal can have been accepted.
  SharedOutage,
  /// Some entry is unheard, and the policy's grace has not run out.
  Grace,
  /// A withdrawal may exist that this process has not heard of.
  Isolated,
  /// A newer version exists that is not in force here.
  Behind
};

inline bool IsTrusted(FreshnessVerdict aVerdict)
{
  return aVerdict == FreshnessVerdict::Fresh || aVerdict == FreshnessVerdict::SharedOutage ||
         aVerdict == FreshnessVerdict::Grace;
}

/// Decides whether the keys in force may be honoured, telling an outage of the
/// platform that all entries share from being cut off alone.
///
/// Operators reach the platform only through entries, so whoever accepts a
/// withdrawal is a listed entry and says so when asked. Ages count from before
/// the question was sent, so that a late answer is never taken for a new one.
class FreshnessTracker
{
public:
  FreshnessTracker(base::HostId aSelf, FreshnessPolicy aPolicy);

  /// The version now in force in this process.
  void SetInForce(base::DocumentVersion aVersion);
  /// Entries by the platform's latest list, this process included or not.
  void SetListed(std::set<base::HostId> aHosts);
  /// No process listens at the host's address: it answers that it refuses.
  void OnConnectionRefused(base::HostId const& aHost);
  /// A read of the platform that began at the given time gave this version.
  void OnPlatformRead(base::DocumentVersion aVersion, base::Instant aQueriedAt);
  /// An answer to a question that was sent at the given time.
  void OnStatement(FreshnessStatement const& aStatement, base::Instant aQueriedAt);

  FreshnessVerdict Verdict(base::Instant aNow) const;
  /// What this process says when asked: of itself, and of those it has heard.
  std::vector<FreshnessStatement> Statements(base::Instant aNow) const;

private:
  struct PeerState
  {
    base::DocumentVersion m_version;
    base::Instant m_platformAt;
    base::Instant m_statedAt;
  };

  void RecordFresh(base::DocumentVersion aVersion, base::Instant aAt);
  /// The earliest of the listed entries' latest statements.
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
