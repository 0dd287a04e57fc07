#include "Entry/Configuration/ChunkStore.h"

#include <utility>

namespace sardinefold::entry {

using operators::Chunk;
using operators::ChunkHash;

void ChunkStore::Insert(Chunk aChunk)
{
  auto const hash = aChunk.m_hash;
  m_chunks.emplace(hash, std::move(aChunk));
}

Chunk const* ChunkStore::Find(ChunkHash const& aHash) const
{
  auto const chunk = m_chunks.find(aHash);
  return chunk == m_chunks.end() ? nullptr : &chunk->second;
}

std::vector<ChunkHash> ChunkStore::Missing(ChunkHash const& aRoot, std::size_t aMaximum) const
{
  std::vector<ChunkHash> missing;
  Walk(aRoot, [&](ChunkHash const& aHash, Chunk const* aChunk) {
    if (!aChunk && missing.size() < aMaximum) {
      missing.push_back(aHash);
    }
    return missing.size() < aMaximum;
  });
  return missing;
}

std::vector<Chunk> ChunkStore::Difference(ChunkHash const& aWanted, ChunkHash const& aHeld,
                                          std::size_t aSkip, base::Bytes aMaximum) const
{
  HashSet held;
  if (!aHeld.IsEmpty()) {
    Walk(aHeld, [&](ChunkHash const& aHash, Chunk const*) { return held.insert(aHash).second; });
  }
  std::vector<Chunk> difference;
  std::size_t skipped = 0;
  std::size_t size = 0;
  auto const limit = static_cast<std::size_t>(aMaximum.Value());
  Walk(aWanted, [&](ChunkHash const& aHash, Chunk const* aChunk) {
    if (!aChunk || held.contains(aHash) || size >= limit) {
      return false;
    }
    if (skipped++ < aSkip) {
      return true;
    }
    difference.push_back(*aChunk);
    size += aChunk->m_text.size();
    return true;
  });
  return difference;
}

void ChunkStore::Retain(std::vector<ChunkHash> const& aRoots)
{
  HashSet kept;
  for (auto const& root : aRoots) {
    Walk(root, [&](ChunkHash const& aHash, Chunk const*) { return kept.insert(aHash).second; });
  }
  std::erase_if(m_chunks, [&](auto const& aEntry) { return !kept.contains(aEntry.first); });
}

template<typename Visit>
void ChunkStore::Walk(ChunkHash const& aRoot, Visit aVisit) const
{
  std::vector<ChunkHash> open{ aRoot };
  HashSet seen;
  while (!open.empty()) {
    auto const hash = std::move(open.back());
    open.pop_back();
    auto const* chunk = Find(hash);
    if (!seen.insert(hash).second || !aVisit(hash, chunk) || !chunk) {
      continue;
    }
    open.insert(open.end(), chunk->m_children.begin(), chunk->m_children.end());
  }
}

} // namespace sardinefold::entry
