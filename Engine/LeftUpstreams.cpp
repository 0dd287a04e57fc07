#include "Engine/LeftUpstreams.h"

#include <algorithm>

namespace sardinefold::engine {

namespace {

/// A copy is some seconds old when the store comes back from it.
constexpr base::Duration kRetention = std::chrono::minutes(10);
/// Beyond this number the oldest are discarded.
constexpr std::size_t kMaximumCount = 4096;

} // namespace

void LeftUpstreams::Record(UpstreamStart const& aStart, ListedEnd aEnd, base::Instant aNow)
{
  m_ends.insert_or_assign(aStart, End{ aEnd, m_restorations, aNow });
  if (m_ends.size() > kMaximumCount) {
    m_ends.erase(
      std::ranges::min_element(m_ends, {}, [](auto const& aItem) { return aItem.second.m_at; }));
  }
}

void LeftUpstreams::OnDrained(UpstreamStart const& aStart, base::Instant aNow)
{
  if (FindLost(aStart) != ListedEnd::Drained) {
    Record(aStart, ListedEnd::Drained, aNow);
  }
}

void LeftUpstreams::OnRemoved(UpstreamStart const& aStart, base::Instant aNow)
{
  auto const found = m_ends.find(aStart);
  if (found == m_ends.end() || found->second.m_end != ListedEnd::Drained) {
    Record(aStart, ListedEnd::Removed, aNow);
  }
}

void LeftUpstreams::OnDrainedBefore(UpstreamStart const& aStart, base::Instant aNow)
{
  if (FindLost(aStart) != ListedEnd::Drained) {
    Record(aStart, ListedEnd::Drained, aNow);
    m_ends.at(aStart).m_isOfOtherProcess = true;
  }
}

std::optional<ListedEnd> LeftUpstreams::FindLost(UpstreamStart const& aStart) const
{
  auto const found = m_ends.find(aStart);
  bool const isLost = found != m_ends.end() && (found->second.m_isOfOtherProcess ||
                                                found->second.m_restorations < m_restorations);
  return isLost ? std::optional(found->second.m_end) : std::nullopt;
}

void LeftUpstreams::Expire(base::Instant aNow)
{
  std::erase_if(m_ends,
                [aNow](auto const& aItem) { return aNow - aItem.second.m_at > kRetention; });
}

} // namespace sardinefold::engine
