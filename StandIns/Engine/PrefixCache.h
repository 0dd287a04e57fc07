#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardinefold::standins {

/// A change of the prefix cache that the engine publishes.
struct CacheEvent
{
  std::uint64_t m_sequence;
  bool m_isStored;
  std::string m_model;
  std::uint64_t m_block;
};

/// Returns the hashes of a prompt's blocks. Each hash covers its block and all
/// preceding ones. A trailing partial block is not cached.
std::vector<std::uint64_t> PrefixBlocks(std::string_view aModel, std::string_view aPrompt);

/// Prompt prefixes that an engine has cached, with least-recently-used
/// eviction.
class PrefixCache
{
public:
  /// Tokens per block.
  static constexpr std::uint64_t kBlockTokens = 64;

  explicit PrefixCache(std::uint64_t aCapacityBlocks)
    : m_capacity(aCapacityBlocks)
  {
  }

  /// Returns how many of the leading blocks are cached, and marks them as
  /// recently used.
  std::uint64_t MatchPrefix(std::vector<std::uint64_t> const& aBlocks);
  void Store(std::string const& aModel, std::vector<std::uint64_t> const& aBlocks);
  void RemoveModel(std::string const& aModel);

  std::vector<std::uint64_t> BlocksOf(std::string const& aModel) const;
  std::uint64_t Size() const { return m_order.size(); }
  std::deque<CacheEvent> const& Events() const { return m_events; }

private:
  struct Entry
  {
    std::uint64_t m_block;
    std::string m_model;
  };
  using Position = std::list<Entry>::iterator;

  void Publish(bool aIsStored, Entry const& aEntry);
  void Remove(Position aPosition);

  std::uint64_t m_capacity;
  // Most recently used first.
  std::list<Entry> m_order;
  std::unordered_map<std::uint64_t, Position> m_positions;
  std::deque<CacheEvent> m_events;
  std::uint64_t m_latestEvent = 0;
};

} // namespace sardinefold::standins
