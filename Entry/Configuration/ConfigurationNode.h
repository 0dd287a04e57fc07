#pragma once

#include "Entry/Configuration/Announcer.h"
#include "Entry/Configuration/ManifestWatcher.h"
#include "Entry/Configuration/RelayChoice.h"
#include "Entry/Configuration/VersionFollower.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinefold::entry {

/// Whether a process serves callers (entry) or runs next to an upstream (agent).
enum class ProcessRole
{
  Entry,
  Agent
};

/// Configuration in one process: it receives versions from relays, or as a relay
/// from the platform, applies them, announces them to the processes below it and
/// counts who has applied what.
class ConfigurationNode
{
public:
  ConfigurationNode(ProcessLocation aSelf, ProcessRole aRole, std::uint64_t aSeed);

  /// Replaces the live processes.
  void SetView(FleetView const& aView, base::Instant aNow);
  /// Returns the actions that are due. Has to be called after each event and
  /// every kTickInterval.
  ConfigurationActions Collect(base::Instant aNow);

  void OnAnnouncement(base::HostId const& aFrom, Announcement const& aAnnouncement,
                      base::Instant aNow);
  /// Returns the response to an announcement of this version.
  Acknowledgement Acknowledge(base::DocumentVersion aAnnounced) const;
  void OnAcknowledgement(base::HostId const& aFrom, Acknowledgement aAcknowledgement,
                         base::Instant aNow);
  void OnNoResponse(base::HostId const& aFrom, base::Instant aNow);

  void OnManifest(operators::VersionRecord const& aRecord, base::ObjectVersion aObjectVersion,
                  base::Instant aSent, base::Instant aNow);
  void OnWatchUnchanged(base::Instant aSent) { m_manifest.OnUnchanged(aSent); }
  void OnPlatformFailure(base::Instant aNow) { m_manifest.OnFailure(aNow); }
  void OnCompacted() { m_manifest.OnCompacted(); }

  void OnChunks(ChunkSource const& aSource, std::vector<operators::Chunk> aChunks,
                base::Instant aNow);
  void OnFetchFailed(ChunkSource const& aSource, base::Instant aNow);
  void OnApplied(base::DocumentVersion aVersion);
  void OnRejected(base::DocumentVersion aVersion, std::string aProblem);

  /// Returns the response to a poll; none if this process has no complete
  /// version.
  std::optional<Announcement> Newest(base::Instant aNow) const;
  /// Returns the response to a request for chunks: a piece of at most about
  /// kMaximumPieceSize.
  std::vector<operators::Chunk> Serve(ChunkRequest const& aRequest) const;

  /// Counts this process, the entries that have it as their first relay, and the
  /// agents below them. The relays of a failure domain together count all of it.
  Tally Count(base::DocumentVersion aVersion) const;
  VersionFollower const& Versions() const { return m_follower; }
  bool IsRelay() const { return m_isRelay; }
  /// Returns the time at which the platform last confirmed that
  /// Versions().Newest() is the newest version, on this process's time scale and
  /// rounded down.
  std::optional<base::Instant> LastConfirmed() const;

  static constexpr base::Duration kTickInterval = std::chrono::milliseconds(50);
  static constexpr base::Bytes kMaximumPieceSize{ 256 * 1024 };

private:
  void PollIfUpdatesOverdue(base::Instant aNow, ConfigurationActions& aActions);
  std::vector<Announcer::Listener> EntryListeners(FleetView const& aView,
                                                  std::vector<base::HostId> const& aRelays) const;
  std::vector<Announcer::Listener> AgentListeners(FleetView const& aView) const;

  ProcessLocation m_self;
  ProcessRole m_role;
  std::uint64_t m_seed;
  VersionFollower m_follower;
  /// Announces to the entries of the failure domain, if this process is a relay.
  Announcer m_entryAnnouncer;
  Announcer m_agentAnnouncer;
  ManifestWatcher m_manifest;
  bool m_isRelay = false;
  /// Processes to poll for the newest version, in turn.
  std::vector<base::HostId> m_pollTargets;
  std::size_t m_nextPollTarget = 0;
  std::optional<base::Instant> m_lastUpdate;
  base::Instant m_nextPoll{};
  std::optional<base::Instant> m_lastConfirmed;
  std::optional<base::DocumentVersion> m_announced;
};

} // namespace sardinefold::entry
