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
  /// Time since the platform last confirmed to a process that this version is in
  /// force.
  base::Duration m_age{};
};

/// A version that a process could not apply.
struct Rejection
{
  base::DocumentVersion m_version;
  std::string m_problem;
};

/// A process that has not applied the requested version.
struct Laggard
{
  base::HostId m_host;
  /// The version in force there; 0 if the process has not responded or has none.
  base::DocumentVersion m_inForce;
  /// Why the process rejected the requested version; empty if it did not.
  std::string m_problem;
};

/// Maximum number of laggards that a tally names; further ones are only counted.
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

/// The response to an announcement.
struct Acknowledgement
{
  base::DocumentVersion m_inForce;
  std::optional<Rejection> m_rejection;
  /// The processes that the sender announces to, counted for the announced
  /// version.
  Tally m_below;
};

/// Requests the chunks of a version that the sender lacks.
struct ChunkRequest
{
  operators::ChunkHash m_wanted;
  /// Root of the version that the sender has completely; empty if none.
  operators::ChunkHash m_held;
  /// Number of chunks of the wanted version already received, so that a large
  /// version can be fetched in pieces.
  std::size_t m_skip = 0;
};

/// Chunks are fetched from the platform.
struct PlatformSource
{
  friend bool operator==(PlatformSource const&, PlatformSource const&) = default;
};
using ChunkSource = std::variant<PlatformSource, base::HostId>;

/// Actions that ConfigurationEndpoint performs.
struct AnnounceAction
{
  base::HostId m_to;
  Announcement m_announcement;
};
/// Polls a process for its newest version; the response is an Announcement.
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
/// Waits for a change of the manifest after a version, at most for m_timeout.
struct WatchManifestAction
{
  base::ObjectVersion m_after;
  base::Duration m_timeout;
};
/// Joins, checks and applies this version, whose chunks are all here.
struct ApplyAction
{
  operators::VersionRecord m_record;
};

using ConfigurationAction =
  std::variant<AnnounceAction, PollAction, FetchFromPeerAction, FetchFromPlatformAction,
               ReadManifestAction, WatchManifestAction, ApplyAction>;
using ConfigurationActions = std::vector<ConfigurationAction>;

} // namespace sardinefold::entry
