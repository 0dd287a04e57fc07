#pragma once

#include "Operator/Version.h"

#include <cstddef>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace sardinefold::entry {

/// The chunks that a process holds, of the version in force and of the one
/// that is arriving.
class ChunkStore
{
public:
  void Insert(operators::Chunk aChunk);
  operators::Chunk const* Find(operators::ChunkHash const& aHash) const;

  /// Names of chunks that a version refers to and that are not here, as far as
  /// the chunks here tell; at most so many.
  std::vector<operators::ChunkHash> Missing(operators::ChunkHash const& aRoot,
                                            std::size_t aMaximum) const;
  bool IsComplete(operators::ChunkHash const& aRoot) const { return Missing(aRoot, 1).empty(); }

  /// Chunks of one version that another does not have, parents first, without
  /// the first aSkip, up to about aMaximum of text. Only chunks that are here.
  std::vector<operators::Chunk> Difference(operators::ChunkHash const& aWanted,
                                           operators::ChunkHash const& aHeld, std::size_t aSkip,
                                           base::Bytes aMaximum) const;

  /// Forgets all chunks but those of the versions given.
  void Retain(std::vector<operators::ChunkHash> const& aRoots);

  std::size_t Size() const { return m_chunks.size(); }

private:
  using HashSet = std::unordered_set<operators::ChunkHash>;

  /// Calls aVisit for each chunk under a root, parents first; does not go
  /// below a chunk for which it returns false.
  template<typename Visit>
  void Walk(operators::ChunkHash const& aRoot, Visit aVisit) const;

  std::unordered_map<operators::ChunkHash, operators::Chunk> m_chunks;
};

} // namespace sardinefold::entry
