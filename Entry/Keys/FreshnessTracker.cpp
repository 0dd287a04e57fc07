#include "Entry/Keys/FreshnessTracker.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

namespace {

/// Statements older than this make no difference to a verdict.
constexpr base::Duration kMaximumAge = std::chrono::hours(24);

} // namespace

FreshnessTracker::FreshnessTracker(base::HostId aSelf, FreshnessPolicy aPolicy)
  : m_self(std::move(aSelf))
  , m_policy(aPolicy)
{
}

void FreshnessTracker::SetInForce(base::DocumentVersion aVersion)
{
  m_inForce = std::max(m_inForce, aVersion);
  m_newest = std::max(m_newest, aVersion);
}

void FreshnessTracker::SetListed(std::set<base::HostId> aHosts)
{
  m_listed = std::move(aHosts);
  std::erase_if(m_peers, [this](auto const& aItem) { return !m_listed.contains(aItem.first); });
  std::erase_if(m_notRunning, [this](auto const& aHost) { return !m_listed.contains(aHost); });
}

void FreshnessTracker::OnConnectionRefused(base::HostId const& aHost)
{
  m_notRunning.insert(aHost);
}

void FreshnessTracker::RecordFresh(base::DocumentVersion aVersion, base::Instant aAt)
{
  m_newest = std::max(m_newest, aVersion);
  m_freshAt = std::max(m_freshAt, aAt);
}

void FreshnessTracker::OnPlatformRead(base::DocumentVersion aVersion, base::Instant aQueriedAt)
{
  RecordFresh(aVersion, aQueriedAt);
}

void FreshnessTracker::OnStatement(FreshnessStatement const& aStatement, base::Instant aQueriedAt)
{
  m_newest = std::max(m_newest, aStatement.m_version);
  base::Duration const age = std::clamp(aStatement.m_statementAge, base::Duration(), kMaximumAge);
  base::Duration const platformAge =
    std::clamp(aStatement.m_platformAge, base::Duration(), kMaximumAge);
  base::Instant const statedAt = aQueriedAt - age;
  RecordFresh(aStatement.m_version, statedAt - platformAge);
  if (aStatement.m_host == m_self) {
    return;
  }
  PeerState& peer = m_peers[aStatement.m_host];
  if (peer.m_statedAt > statedAt) {
    return;
  }
  peer = { std::max(peer.m_version, aStatement.m_version), statedAt - platformAge, statedAt };
  m_notRunning.erase(aStatement.m_host);
}

base::Instant FreshnessTracker::OldestStatementAt() const
{
  base::Instant earliest = base::Instant::max();
  for (base::HostId const& host : m_listed) {
    if (host == m_self || m_notRunning.contains(host)) {
      continue;
    }
    auto const peer = m_peers.find(host);
    if (peer == m_peers.end()) {
      return base::Instant::min();
    }
    earliest = std::min(earliest, peer->second.m_statedAt);
  }
  return earliest;
}

FreshnessVerdict FreshnessTracker::Verdict(base::Instant aNow) const
{
  if (m_newest > m_inForce) {
    return FreshnessVerdict::Behind;
  }
  base::Instant const freshSince = aNow - m_policy.m_freshLimit;
  if (m_freshAt >= freshSince) {
    return FreshnessVerdict::Fresh;
  }
  // NOTE: Without a list of entries a process can't distinguish an outage from
  // its own isolation.
  bool const hasPeers =
    std::ranges::any_of(m_listed, [this](base::HostId const& aHost) { return aHost != m_self; });
  bool const wasEverFresh = m_freshAt != base::Instant::min();
  if (!wasEverFresh || (!hasPeers && !m_listed.contains(m_self))) {
    return FreshnessVerdict::Isolated;
  }
  base::Instant const oldestStatementAt = OldestStatementAt();
  if (oldestStatementAt >= freshSince) {
    return FreshnessVerdict::SharedOutage;
  }
  base::Instant const lastComplete = std::max(m_freshAt, oldestStatementAt);
  return lastComplete >= freshSince - m_policy.m_unreachableGrace ? FreshnessVerdict::Grace
                                                                  : FreshnessVerdict::Isolated;
}

std::vector<FreshnessStatement> FreshnessTracker::Statements(base::Instant aNow) const
{
  base::Duration const ownAge =
    m_freshAt == base::Instant::min() ? kMaximumAge : std::min(aNow - m_freshAt, kMaximumAge);
  std::vector<FreshnessStatement> statements{ { m_self, m_newest, ownAge, {} } };
  for (auto const& [host, peer] : m_peers) {
    base::Duration const age = aNow - peer.m_statedAt;
    if (age <= m_policy.m_freshLimit) {
      statements.push_back({ host, peer.m_version, peer.m_statedAt - peer.m_platformAt, age });
    }
  }
  return statements;
}

} // namespace sardinefold::entry
