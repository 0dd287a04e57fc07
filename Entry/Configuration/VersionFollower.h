#pragma once

#include "Entry/Configuration/ChunkStore.h"
#include "Entry/Configuration/ConfigurationMessages.h"

#include <deque>
#include <optional>
#include <vector>

namespace sardinefold::entry {

/// Brings this process to the newest version it knows of: fetches missing chunks,
/// has the version applied, and never returns to an older one.
class VersionFollower
{
public:
  /// Records a version and its source; returns whether it is newer than all
  /// before.
  bool OnVersion(operators::VersionRecord const& aRecord, ChunkSource const& aSource);
  /// Adds the fetches and applications that are due.
  void Collect(base::Instant aNow, ConfigurationActions& aActions);

  void OnChunks(ChunkSource const& aSource, std::vector<operators::Chunk> aChunks,
                base::Instant aNow);
  void OnFetchFailed(ChunkSource const& aSource, base::Instant aNow);
  void OnApplied(base::DocumentVersion aVersion);
  void OnRejected(base::DocumentVersion aVersion, std::string aProblem);

  base::DocumentVersion InForce() const;
  std::optional<operators::VersionRecord> const& Newest() const { return m_newest; }
  std::optional<Rejection> const& Rejected() const { return m_rejection; }
  /// Returns the newest version whose chunks are all here.
  std::optional<operators::VersionRecord> const& NewestServable() const;
  ChunkStore const& Chunks() const { return m_chunks; }

private:
  bool IsSettled() const;
  void Fetch(base::Instant aNow, ConfigurationActions& aActions);
  void NextSource();

  std::optional<operators::VersionRecord> m_newest;
  std::optional<operators::VersionRecord> m_inForce;
  std::optional<Rejection> m_rejection;
  ChunkStore m_chunks;
  std::deque<operators::ChunkHash> m_retainedRoots;
  /// The sources of the newest version, in the order in which they announced it.
  std::vector<ChunkSource> m_sources;
  std::size_t m_source = 0;
  /// Number of chunks of the newest version received from the current source.
  std::size_t m_received = 0;
  std::optional<base::Instant> m_fetchDeadline;
  base::Instant m_nextAttempt{};
  bool m_isApplying = false;
  /// Whether all chunks of the newest version are here.
  bool m_isComplete = false;
};

} // namespace sardinefold::entry
