#pragma once

#include "Entry/Configuration/Announcer.h"
#include "Entry/Configuration/Follower.h"
#include "Entry/Configuration/PlatformFeed.h"
#include "Entry/Configuration/RelayChoice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinefold::entry {

/// Whether a process serves callers or stands beside an upstream.
enum class ProcessRole
{
  Entry,
  Agent
};

/// Configuration as one process sees it: hears of versions from relays, or as
/// a relay from the platform, applies them, tells the processes below it and
/// counts who has applied what.
class ConfigurationNode
{
public:
  ConfigurationNode(ProcessPlace aSelf, ProcessRole aRole, std::uint64_t aSeed);

  /// The live processes changed.
  void SetView(FleetView const& aView, base::Instant aNow);
  /// What is due. To be called after each event and every kTick.
  NewsActions Collect(base::Instant aNow);

  void OnAnnouncement(base::HostId const& aFrom, Announcement const& aAnnouncement,
                      base::Instant aNow);
  /// What to answer to an announcement of this version.
  Acknowledgement Acknowledge(base::DocumentVersion aAnnounced) const;
  void OnAcknowledgement(base::HostId const& aFrom, Acknowledgement aAcknowledgement,
                         base::Instant aNow);
  void OnSilence(base::HostId const& aFrom, base::Instant aNow);

  void OnManifest(operators::VersionRecord const& aRecord, base::ObjectVersion aObjectVersion,
                  base::Instant aSent, base::Instant aNow);
  void OnWatchQuiet(base::Instant aSent) { m_feed.OnQuiet(aSent); }
  void OnPlatformFailure(base::Instant aNow) { m_feed.OnFailure(aNow); }
  void OnCompacted() { m_feed.OnCompacted(); }

  void OnChunks(ChunkSource const& aSource, std::vector<operators::Chunk> aChunks,
                base::Instant aNow);
  void OnFetchFailed(ChunkSource const& aSource, base::Instant aNow);
  void OnApplied(base::DocumentVersion aVersion);
  void OnRejected(base::DocumentVersion aVersion, std::string aProblem);

  /// Answers an ask; none if this process has no version itself.
  std::optional<Announcement> Newest(base::Instant aNow) const;
  /// Answers a request for chunks with a piece of at most kPiece.
  std::vector<operators::Chunk> Serve(ChunkRequest const& aRequest) const;

  /// Counts this process, the entries that it tells as their first relay, and
  /// the agents below them. The relays of a domain together count all of it.
  Tally Count(base::DocumentVersion aVersion) const;
  Follower const& Versions() const { return m_follower; }
  bool IsRelay() const { return m_isRelay; }
  /// When the platform had last confirmed that Versions().Newest() is the
  /// newest version, on this process's time scale, rounded to the past.
  std::optional<base::Instant> FreshAt() const;

  static constexpr base::Duration kTick = std::chrono::milliseconds(50);
  static constexpr base::Bytes kPiece{ 256 * 1024 };

private:
  void AskIfQuiet(base::Instant aNow, NewsActions& aActions);
  std::vector<Announcer::Listener> EntryListeners(FleetView const& aView,
                                                  std::vector<base::HostId> const& aRelays) const;
  std::vector<Announcer::Listener> AgentListeners(FleetView const& aView) const;

  ProcessPlace m_self;
  ProcessRole m_role;
  std::uint64_t m_seed;
  Follower m_follower;
  /// As a relay, to the entries of the failure domain.
  Announcer m_toEntries;
  Announcer m_toAgents;
  PlatformFeed m_feed;
  bool m_isRelay = false;
  /// Who may be asked for news, in turn.
  std::vector<base::HostId> m_informants;
  std::size_t m_nextInformant = 0;
  std::optional<base::Instant> m_heardAt;
  base::Instant m_askAt{};
  std::optional<base::Instant> m_freshAt;
  std::optional<base::DocumentVersion> m_announced;
};

} // namespace sardinefold::entry
