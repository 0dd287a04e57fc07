#pragma once

#include "Operator/Version.h"

#include <cstddef>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace sardinefold::entry {

/// The chunks that a process holds, of recent versions and of the one being
/// fetched.
class ChunkStore
{
public:
  void Insert(operators::Chunk aChunk);
  operators::Chunk const* Find(operators::ChunkHash const& aHash) const;

  /// Returns the hashes of at most aMaximum chunks that a version refers to and
  /// that are not here. Chunks below a missing one are not known.
  std::vector<operators::ChunkHash> Missing(operators::ChunkHash const& aRoot,
                                            std::size_t aMaximum) const;
  bool IsComplete(operators::ChunkHash const& aRoot) const { return Missing(aRoot, 1).empty(); }

  /// Returns the chunks of one version that another does not have, parents first,
  /// without the first aSkip, up to about aMaximum of text. Chunks that are not
  /// here are left out.
  std::vector<operators::Chunk> Difference(operators::ChunkHash const& aWanted,
                                           operators::ChunkHash const& aHeld, std::size_t aSkip,
                                           base::Bytes aMaximum) const;

  /// Discards all chunks except those of the given versions.
  void Retain(std::vector<operators::ChunkHash> const& aRoots);

  std::size_t Size() const { return m_chunks.size(); }

private:
  using HashSet = std::unordered_set<operators::ChunkHash>;

  /// Calls aVisit for each chunk under a root, parents first; does not descend
  /// below a chunk for which it returns false.
  template<typename Visit>
  void Walk(operators::ChunkHash const& aRoot, Visit aVisit) const;

  std::unordered_map<operators::ChunkHash, operators::Chunk> m_chunks;
};

} // namespace sardinefold::entry
