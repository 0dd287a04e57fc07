#pragma once

#include "Entry/Configuration/ConfigurationNode.h"
#include "Operator/ChunkCodec.h"
#include "Tests/Fakes/VirtualNetwork.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sardinefold::fakes {

struct FleetShape
{
  std::size_t m_failureDomains;
  std::size_t m_entries;
  std::size_t m_agents;
  /// Fraction of messages lost in each direction.
  double m_loss;
  std::uint64_t m_seed;
};

/// Simulates in virtual time processes that distribute configuration among
/// themselves and the platform that they read it from. Messages are counted at
/// the size that the real codec gives them.
class FakeConfigurationFleet
{
public:
  explicit FakeConfigurationFleet(FleetShape aShape);

  VirtualTime& Time() { return m_time; }
  void RunFor(base::Duration aTime) { m_time.RunUntil(m_time.Now() + aTime); }

  /// Publishes a document on the platform and increments the version by one.
  void Publish(operators::Document const& aDocument);
  base::DocumentVersion Published() const { return m_record.m_version; }
  void SetPlatformUp(bool aIsUp);
  /// Discards the platform's changes before the current version, so that a watch
  /// from an earlier version fails as compacted.
  void Compact() { m_compacted = m_objectVersion; }

  void Kill(base::HostId const& aHost);
  /// Restarts a killed process with empty state.
  void Restart(base::HostId const& aHost);
  /// Makes the process reject every version from now on.
  void RejectVersions(base::HostId const& aHost) { m_rejecting.insert(aHost); }

  std::vector<base::HostId> Hosts() const;
  std::vector<base::HostId> Relays(std::size_t aDomain) const;
  entry::ConfigurationNode const& Node(base::HostId const& aHost) const;
  /// Whether every live process has the version in force.
  bool IsInForce(base::DocumentVersion aVersion) const;
  /// Returns the sum of the counts of all relays.
  entry::Tally Count(base::DocumentVersion aVersion) const;
  /// Returns how often a process put a lower version in force than before.
  std::size_t Reversions() const { return m_reversions; }
  /// Returns the maximum bytes that one process sent and received since the last
  /// call.
  std::size_t TakeMaxBytes();
  std::size_t PlatformCalls() const { return m_platformCalls; }

private:
  struct Process
  {
    entry::ProcessLocation m_location;
    entry::ProcessRole m_role;
    std::unique_ptr<entry::ConfigurationNode> m_node;
    bool m_isLive = true;
    unsigned m_incarnation = 0;
    std::uint64_t m_highest = 0;
    std::size_t m_bytes = 0;
  };

  void StartProcess(Process& aProcess);
  void Tick(base::HostId const& aHost, unsigned aIncarnation);
  void RunDueActions(base::HostId const& aHost);
  void Perform(base::HostId const& aHost, entry::ConfigurationAction aAction);
  void Announce(base::HostId const& aFrom, entry::AnnounceAction const& aAction);
  void Poll(base::HostId const& aFrom, base::HostId const& aTo);
  void FetchFromPeer(base::HostId const& aFrom, entry::FetchFromPeerAction const& aAction);
  void FetchFromPlatform(base::HostId const& aFrom,
                         std::vector<operators::ChunkHash> const& aChunks);
  void ReadManifest(base::HostId const& aHost);
  void WatchManifest(base::HostId const& aHost, entry::WatchManifestAction aAction);
  void Apply(base::HostId const& aHost, operators::VersionRecord const& aRecord);
  void SendManifest(base::HostId const& aHost, base::Instant aSent);
  void RefreshViews();
  /// Runs a function on a process after a delay, unless the process was killed or
  /// restarted in the meantime.
  void RunAfter(base::HostId const& aHost, base::Duration aDelay,
                std::function<void(Process&)> aRun);
  /// Simulates an RPC between two processes and counts its bytes.
  void Exchange(base::HostId const& aFrom, base::HostId const& aTo, std::size_t aRequestBytes,
                std::function<std::size_t(Process&)> aServe,
                std::function<void(Process&)> const& aOnResponse,
                std::function<void(Process&)> aOnNoResponse);

  FleetShape m_shape;
  VirtualTime m_time;
  LossyLink m_link;
  std::map<base::HostId, Process> m_processes;
  bool m_isPlatformUp = true;
  operators::VersionRecord m_record;
  base::ObjectVersion m_objectVersion;
  base::ObjectVersion m_compacted;
  std::map<operators::ChunkHash, operators::Chunk> m_chunks;
  std::vector<std::pair<base::HostId, base::Instant>> m_watchers;
  std::set<base::HostId> m_rejecting;
  std::size_t m_reversions = 0;
  std::size_t m_platformCalls = 0;
};

/// Returns a document with the given number of adapters.
operators::Document MakeDocument(std::size_t aAdapters);

} // namespace sardinefold::fakes
