#include "Entry/Configuration/ConfigurationNode.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardinefold::entry {

namespace {

using namespace std::chrono_literals;

/// After this time without an update three keep-alive announcements were lost, or
/// the relay has failed.
constexpr base::Duration kUpdateTimeout = 16s;
constexpr base::Duration kPollInterval = 500ms;
/// Longest time between sending an announcement and receiving it.
constexpr base::Duration kAnnouncementTimeout = 250ms;
constexpr std::size_t kMaxPollTargets = 8;
/// Age of a version that is not known to have been confirmed by the platform.
constexpr base::Duration kUnconfirmedAge = 24h * 365;

} // namespace

ConfigurationNode::ConfigurationNode(ProcessLocation aSelf, ProcessRole aRole, std::uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_role(aRole)
  , m_seed(aSeed)
  , m_manifest(aSeed)
{
}

void ConfigurationNode::SetView(FleetView const& aView, base::Instant aNow)
{
  auto relays = ChooseRelays(aView, m_self.m_failureDomain);
  m_isRelay =
    m_role == ProcessRole::Entry && std::ranges::find(relays, m_self.m_host) != relays.end();
  m_manifest.SetActive(m_isRelay);
  m_entryAnnouncer.SetListeners(EntryListeners(aView, relays), aNow);
  m_agentAnnouncer.SetListeners(AgentListeners(aView), aNow);
  m_pollTargets =
    m_role == ProcessRole::Agent ? ChooseEntriesFor(aView, m_self) : std::move(relays);
  std::vector<base::HostId> others;
  for (auto const& entry : aView.m_entries) {
    others.push_back(entry.m_host);
  }
  auto const more = Rank(std::move(others), m_self.m_host.Text(), kMaxPollTargets);
  m_pollTargets.insert(m_pollTargets.end(), more.begin(), more.end());
  std::erase(m_pollTargets, m_self.m_host);
}

ConfigurationActions ConfigurationNode::Collect(base::Instant aNow)
{
  ConfigurationActions actions;
  m_manifest.Collect(aNow, actions);
  m_follower.Collect(aNow, actions);
  PollIfUpdatesOverdue(aNow, actions);
  auto const& servable = m_follower.NewestServable();
  if (!servable) {
    return actions;
  }
  if (!m_announced || *m_announced < servable->m_version) {
    m_announced = servable->m_version;
    m_entryAnnouncer.OnNewVersion(aNow);
    m_agentAnnouncer.OnNewVersion(aNow);
  }
  if (m_entryAnnouncer.IsDue(aNow) || m_agentAnnouncer.IsDue(aNow)) {
    auto const announcement = *Newest(aNow);
    m_entryAnnouncer.Collect(announcement, aNow, actions);
    m_agentAnnouncer.Collect(announcement, aNow, actions);
  }
  return actions;
}

void ConfigurationNode::OnAnnouncement(base::HostId const& aFrom, Announcement const& aAnnouncement,
                                       base::Instant aNow)
{
  m_lastUpdate = aNow;
  auto const& newest = m_follower.Newest();
  bool const isOlder = newest && aAnnouncement.m_record.m_version < newest->m_version;
  if (!isOlder) {
    auto const lastConfirmed = aNow - aAnnouncement.m_age - kAnnouncementTimeout;
    m_lastConfirmed = std::max(lastConfirmed, m_lastConfirmed.value_or(lastConfirmed));
  }
  m_follower.OnVersion(aAnnouncement.m_record, aFrom);
}

Acknowledgement ConfigurationNode::Acknowledge(base::DocumentVersion aAnnounced) const
{
  Acknowledgement acknowledgement;
  acknowledgement.m_inForce = m_follower.InForce();
  acknowledgement.m_rejection = m_follower.Rejected();
  acknowledgement.m_below = m_agentAnnouncer.Count(aAnnounced);
  return acknowledgement;
}

void ConfigurationNode::OnAcknowledgement(base::HostId const& aFrom,
                                          Acknowledgement aAcknowledgement, base::Instant aNow)
{
  auto const current = m_announced.value_or(base::DocumentVersion(0));
  m_entryAnnouncer.OnAcknowledgement(aFrom, aAcknowledgement, current, aNow);
  m_agentAnnouncer.OnAcknowledgement(aFrom, std::move(aAcknowledgement), current, aNow);
}

void ConfigurationNode::OnNoResponse(base::HostId const& aFrom, base::Instant aNow)
{
  m_entryAnnouncer.OnNoResponse(aFrom, aNow);
  m_agentAnnouncer.OnNoResponse(aFrom, aNow);
}

void ConfigurationNode::OnManifest(operators::VersionRecord const& aRecord,
                                   base::ObjectVersion aObjectVersion, base::Instant aSent,
                                   base::Instant aNow)
{
  m_manifest.OnManifest(aObjectVersion, aSent);
  m_lastUpdate = aNow;
  m_follower.OnVersion(aRecord, PlatformSource{});
}

void ConfigurationNode::OnChunks(ChunkSource const& aSource, std::vector<operators::Chunk> aChunks,
                                 base::Instant aNow)
{
  m_follower.OnChunks(aSource, std::move(aChunks), aNow);
}

void ConfigurationNode::OnFetchFailed(ChunkSource const& aSource, base::Instant aNow)
{
  m_follower.OnFetchFailed(aSource, aNow);
}

void ConfigurationNode::OnApplied(base::DocumentVersion aVersion)
{
  m_follower.OnApplied(aVersion);
}

void ConfigurationNode::OnRejected(base::DocumentVersion aVersion, std::string aProblem)
{
  m_follower.OnRejected(aVersion, std::move(aProblem));
}

std::optional<Announcement> ConfigurationNode::Newest(base::Instant aNow) const
{
  auto const& record = m_follower.NewestServable();
  if (!record) {
    return std::nullopt;
  }
  Announcement announcement{ *record, kUnconfirmedAge };
  bool const isNewest = record->m_version == m_follower.Newest()->m_version;
  auto const lastConfirmed = LastConfirmed();
  if (isNewest && lastConfirmed) {
    announcement.m_age = std::max(base::Duration(0), aNow - *lastConfirmed);
  }
  return announcement;
}

std::vector<operators::Chunk> ConfigurationNode::Serve(ChunkRequest const& aRequest) const
{
  return m_follower.Chunks().Difference(aRequest.m_wanted, aRequest.m_held, aRequest.m_skip,
                                        kMaximumPieceSize);
}

Tally ConfigurationNode::Count(base::DocumentVersion aVersion) const
{
  auto tally = m_entryAnnouncer.Count(aVersion);
  tally.Add(m_agentAnnouncer.Count(aVersion));
  auto const& rejection = m_follower.Rejected();
  bool const isRejected = rejection && rejection->m_version == aVersion;
  tally.AddProcess(
    { m_self.m_host, m_follower.InForce(), isRejected ? rejection->m_problem : std::string() });
  return tally;
}

std::optional<base::Instant> ConfigurationNode::LastConfirmed() const
{
  auto const confirmed = m_manifest.ConfirmedAt();
  if (!confirmed || !m_lastConfirmed) {
    return confirmed ? confirmed : m_lastConfirmed;
  }
  return std::max(*confirmed, *m_lastConfirmed);
}

void ConfigurationNode::PollIfUpdatesOverdue(base::Instant aNow, ConfigurationActions& aActions)
{
  bool const isOverdue = !m_lastUpdate || aNow - *m_lastUpdate >= kUpdateTimeout;
  if (!isOverdue || m_pollTargets.empty() || aNow < m_nextPoll) {
    return;
  }
  // NOTE: Processes start together after a failure of their failure domain.
  // Jitter keeps them from polling at the same time.
  auto const spread = std::chrono::milliseconds((m_seed + m_nextPollTarget * 131) % 500);
  m_nextPoll = aNow + kPollInterval + spread;
  aActions.push_back(PollAction{ m_pollTargets[m_nextPollTarget % m_pollTargets.size()] });
  ++m_nextPollTarget;
}

std::vector<Announcer::Listener> ConfigurationNode::EntryListeners(
  FleetView const& aView, std::vector<base::HostId> const& aRelays) const
{
  std::vector<Announcer::Listener> listeners;
  if (!m_isRelay) {
    return listeners;
  }
  for (auto const& entry : aView.m_entries) {
    if (entry.m_failureDomain != m_self.m_failureDomain || entry.m_host == m_self.m_host) {
      continue;
    }
    auto const rank = RankOf(m_self.m_host, aRelays, entry.m_host.Text());
    if (rank >= kRelaysPerEntry) {
      continue;
    }
    // A relay counts itself.
    bool const isRelay = std::ranges::find(aRelays, entry.m_host) != aRelays.end();
    listeners.push_back({ entry.m_host, rank, rank == 0 && !isRelay });
  }
  return listeners;
}

std::vector<Announcer::Listener> ConfigurationNode::AgentListeners(FleetView const& aView) const
{
  std::vector<Announcer::Listener> listeners;
  if (m_role == ProcessRole::Agent) {
    return listeners;
  }
  // NOTE: Agents in a failure domain without entries get announcements from all
  // others.
  std::set<base::FailureDomainId> domainsWithEntries;
  std::vector<base::HostId> allEntries;
  for (auto const& entry : aView.m_entries) {
    domainsWithEntries.insert(entry.m_failureDomain);
    allEntries.push_back(entry.m_host);
  }
  auto const local = CandidateEntriesFor(aView, m_self.m_failureDomain);
  for (auto const& agent : aView.m_agents) {
    bool const isLocal = agent.m_failureDomain == m_self.m_failureDomain;
    if (!isLocal && domainsWithEntries.contains(agent.m_failureDomain)) {
      continue;
    }
    auto const& candidates = isLocal ? local : allEntries;
    auto const rank = RankOf(m_self.m_host, candidates, agent.m_host.Text());
    if (rank < kEntriesPerAgent) {
      listeners.push_back({ agent.m_host, rank, rank == 0 });
    }
  }
  return listeners;
}

} // namespace sardinefold::entry
