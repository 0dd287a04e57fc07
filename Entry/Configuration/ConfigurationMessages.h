#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Operator/Version.h"

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sardinefold::entry {

/// The newest version that the sender knows.
struct Announcement
{
  operators::VersionRecord m_record;
  /// Since a process last had it from the platform that this version is in
  /// force.
  base::Duration m_age{};
};

/// A version that a process could not apply.
struct Rejection
{
  base::DocumentVersion m_version;
  std::string m_problem;
};

/// A process that has not applied the version asked for.
struct Laggard
{
  base::HostId m_host;
  /// The version in force there; 0 if it has not answered or has none.
  base::DocumentVersion m_inForce;
  /// Why it rejected the version asked for; empty if it did not.
  std::string m_problem;
};

/// Most laggards that a tally names; it counts the rest.
inline constexpr std::size_t kMaxNamedLaggards = 32;

/// How many processes have applied a version.
struct Tally
{
  base::DocumentVersion m_version;
  std::size_t m_processes = 0;
  std::size_t m_applied = 0;
  std::vector<Laggard> m_laggards;

  /// Adds the processes of another tally of the same version.
  void Add(Tally const& aOther);
  void AddProcess(Laggard aProcess);
};

/// What a process answers to an announcement.
struct Acknowledgement
{
  base::DocumentVersion m_inForce;
  std::optional<Rejection> m_rejection;
  /// The processes that it announces to itself; of the version announced.
  Tally m_below;
};

/// Asks a process for the chunks of a version that the asker lacks.
struct ChunkRequest
{
  operators::ChunkHash m_wanted;
  /// Root of the version that the asker has whole; empty for none.
  operators::ChunkHash m_held;
  /// Chunks of the wanted version that it has already taken in, so that a
  /// large version can be fetched in pieces.
  std::size_t m_skip = 0;
};

/// Chunks are fetched from the platform.
struct PlatformSource
{
  friend bool operator==(PlatformSource const&, PlatformSource const&) = default;
};
using ChunkSource = std::variant<PlatformSource, base::HostId>;

/// Steps that the I/O edge carries out.
struct AnnounceAction
{
  base::HostId m_to;
  Announcement m_announcement;
};
/// Poll a process for its newest version; the answer is an Announcement.
struct PollAction
{
  base::HostId m_from;
};
struct FetchFromPeerAction
{
  base::HostId m_from;
  ChunkRequest m_request;
};
struct FetchFromPlatformAction
{
  std::vector<operators::ChunkHash> m_chunks;
};
struct ReadManifestAction
{};
/// Wait for a change of the manifest after a version, at most so long.
struct WatchManifestAction
{
  base::ObjectVersion m_after;
  base::Duration m_timeout;
};
/// All chunks of this version are here: join, check and apply it.
struct ApplyAction
{
  operators::VersionRecord m_record;
};

using ConfigurationAction =
  std::variant<AnnounceAction, PollAction, FetchFromPeerAction, FetchFromPlatformAction,
               ReadManifestAction, WatchManifestAction, ApplyAction>;
using ConfigurationActions = std::vector<ConfigurationAction>;

} // namespace sardinefold::entry
