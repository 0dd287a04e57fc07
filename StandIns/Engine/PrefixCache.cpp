#include "StandIns/Engine/PrefixCache.h"

#include "Base/Digest.h"

#include <iterator>

namespace sardinefold::standins {

namespace {

constexpr std::size_t kBytesPerToken = 4;
constexpr std::size_t kMaximumEvents = 10'000;

} // namespace

std::vector<std::uint64_t> PrefixBlocks(std::string_view aModel, std::string_view aPrompt)
{
  constexpr std::size_t kBlockBytes = PrefixCache::kBlockTokens * kBytesPerToken;
  std::vector<std::uint64_t> blocks;
  auto hash = base::FastHash(aModel);
  while (aPrompt.size() >= kBlockBytes) {
    hash = base::FastHash(aPrompt.substr(0, kBlockBytes), hash);
    blocks.push_back(hash);
    aPrompt.remove_prefix(kBlockBytes);
  }
  return blocks;
}

std::uint64_t PrefixCache::MatchPrefix(std::vector<std::uint64_t> const& aBlocks)
{
  std::uint64_t found = 0;
  for (auto const block : aBlocks) {
    auto const at = m_positions.find(block);
    if (at == m_positions.end()) {
      break;
    }
    m_order.splice(m_order.begin(), m_order, at->second);
    ++found;
  }
  return found;
}

void PrefixCache::Store(std::string const& aModel, std::vector<std::uint64_t> const& aBlocks)
{
  for (auto const block : aBlocks) {
    if (m_positions.contains(block)) {
      continue;
    }
    m_order.push_front({ block, aModel });
    m_positions[block] = m_order.begin();
    Publish(true, m_order.front());
    if (m_order.size() > m_capacity) {
      Remove(std::prev(m_order.end()));
    }
  }
}

void PrefixCache::RemoveModel(std::string const& aModel)
{
  for (auto at = m_order.begin(); at != m_order.end();) {
    auto const next = std::next(at);
    if (at->m_model == aModel) {
      Remove(at);
    }
    at = next;
  }
}

std::vector<std::uint64_t> PrefixCache::BlocksOf(std::string const& aModel) const
{
  std::vector<std::uint64_t> blocks;
  for (auto const& entry : m_order) {
    if (entry.m_model == aModel) {
      blocks.push_back(entry.m_block);
    }
  }
  return blocks;
}

void PrefixCache::Remove(Position aPosition)
{
  Publish(false, *aPosition);
  m_positions.erase(aPosition->m_block);
  m_order.erase(aPosition);
}

void PrefixCache::Publish(bool aIsStored, Entry const& aEntry)
{
  m_events.push_back({ ++m_latestEvent, aIsStored, aEntry.m_model, aEntry.m_block });
  if (m_events.size() > kMaximumEvents) {
    m_events.pop_front();
  }
}

} // namespace sardinefold::standins
