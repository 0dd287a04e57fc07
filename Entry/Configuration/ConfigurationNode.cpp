#include "Entry/Configuration/ConfigurationNode.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardinefold::entry {

namespace {

using namespace std::chrono_literals;

/// Three announcements that keep in touch are lost, or the relay is.
constexpr base::Duration kQuietTime = 16s;
constexpr base::Duration kAskPause = 500ms;
/// Longest time that an announcement is under way and still answered.
constexpr base::Duration kAnnouncementTime = 250ms;
constexpr std::size_t kMaxInformants = 8;
/// Age of news that nobody is known to have had from the platform.
constexpr base::Duration kUnconfirmed = 24h * 365;

} // namespace

ConfigurationNode::ConfigurationNode(ProcessPlace aSelf, ProcessRole aRole, std::uint64_t aSeed)
  : m_self(std::move(aSelf))
  , m_role(aRole)
  , m_seed(aSeed)
  , m_feed(aSeed)
{
}

void ConfigurationNode::SetView(FleetView const& aView, base::Instant aNow)
{
  auto relays = ChooseRelays(aView, m_self.m_failureDomain);
  m_isRelay =
    m_role == ProcessRole::Entry && std::ranges::find(relays, m_self.m_host) != relays.end();
  m_feed.SetActive(m_isRelay);
  m_toEntries.SetListeners(EntryListeners(aView, relays), aNow);
  m_toAgents.SetListeners(AgentListeners(aView), aNow);
  m_informants = m_role == ProcessRole::Agent ? ChooseEntriesOf(aView, m_self) : std::move(relays);
  std::vector<base::HostId> others;
  for (auto const& entry : aView.m_entries) {
    others.push_back(entry.m_host);
  }
  auto const more = Rank(std::move(others), m_self.m_host.Text(), kMaxInformants);
  m_informants.insert(m_informants.end(), more.begin(), more.end());
  std::erase(m_informants, m_self.m_host);
}

NewsActions ConfigurationNode::Collect(base::Instant aNow)
{
  NewsActions actions;
  m_feed.Collect(aNow, actions);
  m_follower.Collect(aNow, actions);
  AskIfQuiet(aNow, actions);
  auto const& servable = m_follower.Servable();
  if (!servable) {
    return actions;
  }
  if (!m_announced || *m_announced < servable->m_version) {
    m_announced = servable->m_version;
    m_toEntries.OnNews(aNow);
    m_toAgents.OnNews(aNow);
  }
  if (m_toEntries.IsDue(aNow) || m_toAgents.IsDue(aNow)) {
    auto const announcement = *Newest(aNow);
    m_toEntries.Collect(announcement, aNow, actions);
    m_toAgents.Collect(announcement, aNow, actions);
  }
  return actions;
}

void ConfigurationNode::OnAnnouncement(base::HostId const& aFrom, Announcement const& aAnnouncement,
                                       base::Instant aNow)
{
  m_heardAt = aNow;
  auto const& newest = m_follower.Newest();
  bool const isOlder = newest && aAnnouncement.m_record.m_version < newest->m_version;
  if (!isOlder) {
    auto const freshAt = aNow - aAnnouncement.m_age - kAnnouncementTime;
    m_freshAt = std::max(freshAt, m_freshAt.value_or(freshAt));
  }
  m_follower.OnNews(aAnnouncement.m_record, aFrom);
}

Acknowledgement ConfigurationNode::Acknowledge(base::DocumentVersion aAnnounced) const
{
  Acknowledgement acknowledgement;
  acknowledgement.m_inForce = m_follower.InForce();
  acknowledgement.m_rejection = m_follower.Rejected();
  acknowledgement.m_below = m_toAgents.Count(aAnnounced);
  return acknowledgement;
}

void ConfigurationNode::OnAcknowledgement(base::HostId const& aFrom,
                                          Acknowledgement aAcknowledgement, base::Instant aNow)
{
  auto const current = m_announced.value_or(base::DocumentVersion(0));
  m_toEntries.OnAcknowledgement(aFrom, aAcknowledgement, current, aNow);
  m_toAgents.OnAcknowledgement(aFrom, std::move(aAcknowledgement), current, aNow);
}

void ConfigurationNode::OnSilence(base::HostId const& aFrom, base::Instant aNow)
{
  m_toEntries.OnSilence(aFrom, aNow);
  m_toAgents.OnSilence(aFrom, aNow);
}

void ConfigurationNode::OnManifest(operators::VersionRecord const& aRecord,
                                   base::ObjectVersion aObjectVersion, base::Instant aSent,
                                   base::Instant aNow)
{
  m_feed.OnManifest(aObjectVersion, aSent);
  m_heardAt = aNow;
  m_follower.OnNews(aRecord, PlatformSource{});
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
  auto const& record = m_follower.Servable();
  if (!record) {
    return std::nullopt;
  }
  Announcement announcement{ *record, kUnconfirmed };
  bool const isNewest = record->m_version == m_follower.Newest()->m_version;
  auto const freshAt = FreshAt();
  if (isNewest && freshAt) {
    announcement.m_age = std::max(base::Duration(0), aNow - *freshAt);
  }
  return announcement;
}

std::vector<operators::Chunk> ConfigurationNode::Serve(ChunkRequest const& aRequest) const
{
  return m_follower.Chunks().Difference(aRequest.m_wanted, aRequest.m_held, aRequest.m_skip,
                                        kPiece);
}

Tally ConfigurationNode::Count(base::DocumentVersion aVersion) const
{
  auto tally = m_toEntries.Count(aVersion);
  tally.Add(m_toAgents.Count(aVersion));
  auto const& rejection = m_follower.Rejected();
  bool const isRejected = rejection && rejection->m_version == aVersion;
  tally.AddProcess(
    { m_self.m_host, m_follower.InForce(), isRejected ? rejection->m_problem : std::string() });
  return tally;
}

std::optional<base::Instant> ConfigurationNode::FreshAt() const
{
  auto const confirmed = m_feed.ConfirmedAt();
  if (!confirmed || !m_freshAt) {
    return confirmed ? confirmed : m_freshAt;
  }
  return std::max(*confirmed, *m_freshAt);
}

void ConfigurationNode::AskIfQuiet(base::Instant aNow, NewsActions& aActions)
{
  bool const isQuiet = !m_heardAt || aNow - *m_heardAt >= kQuietTime;
  if (!isQuiet || m_informants.empty() || aNow < m_askAt) {
    return;
  }
  // NOTE: Processes start together after a failure of their domain; a pause
  // that differs from one to the next keeps them from asking together.
  auto const spread = std::chrono::milliseconds((m_seed + m_nextInformant * 131) % 500);
  m_askAt = aNow + kAskPause + spread;
  aActions.push_back(AskAction{ m_informants[m_nextInformant % m_informants.size()] });
  ++m_nextInformant;
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
    auto const place = PlaceOf(m_self.m_host, aRelays, entry.m_host.Text());
    if (place >= kRelaysPerEntry) {
      continue;
    }
    // A relay counts itself.
    bool const isRelay = std::ranges::find(aRelays, entry.m_host) != aRelays.end();
    listeners.push_back({ entry.m_host, place, place == 0 && !isRelay });
  }
  return listeners;
}

std::vector<Announcer::Listener> ConfigurationNode::AgentListeners(FleetView const& aView) const
{
  std::vector<Announcer::Listener> listeners;
  if (m_role == ProcessRole::Agent) {
    return listeners;
  }
  // NOTE: Agents whose failure domain has lost its entries hear from all others.
  std::set<base::FailureDomainId> withEntries;
  std::vector<base::HostId> anywhere;
  for (auto const& entry : aView.m_entries) {
    withEntries.insert(entry.m_failureDomain);
    anywhere.push_back(entry.m_host);
  }
  auto const local = EntriesFor(aView, m_self.m_failureDomain);
  for (auto const& agent : aView.m_agents) {
    bool const isLocal = agent.m_failureDomain == m_self.m_failureDomain;
    if (!isLocal && withEntries.contains(agent.m_failureDomain)) {
      continue;
    }
    auto const& candidates = isLocal ? local : anywhere;
    auto const place = PlaceOf(m_self.m_host, candidates, agent.m_host.Text());
    if (place < kEntriesPerAgent) {
      listeners.push_back({ agent.m_host, place, place == 0 });
    }
  }
  return listeners;
}

} // namespace sardinefold::entry
