#pragma once

#include "Base/Time.h"
#include "Engine/UpstreamNotice.h"

#include <cstddef>
#include <map>
#include <optional>

namespace sardinefold::engine {

/// What the list has said about the end of an upstream's start.
enum class ListedEnd
{
  /// The entry was removed, which may also happen to an upstream that is alive.
  Removed,
  /// The upstream itself reported that it drains.
  Drained
};

/// The starts of upstreams whose leaving the list has acknowledged. A store that
/// comes back from a copy may list them once more.
class LeftUpstreams
{
public:
  void OnDrained(UpstreamStart const& aStart, base::Instant aNow);
  void OnRemoved(UpstreamStart const& aStart, base::Instant aNow);
  /// Another process knows that the start drained before the list came from a copy.
  void OnDrainedBefore(UpstreamStart const& aStart, base::Instant aNow);
  /// The list that follows comes from a copy.
  void OnStoreRestored() { ++m_restorations; }
  /// The upstream is alive.
  void Forget(UpstreamStart const& aStart) { m_ends.erase(aStart); }

  /// The end of the start, if it was acknowledged before the last restoration. In
  /// between, the list's latest word counts.
  std::optional<ListedEnd> FindLost(UpstreamStart const& aStart) const;
  void Expire(base::Instant aNow);
  std::size_t Size() const { return m_ends.size(); }

private:
  struct End
  {
    ListedEnd m_end = ListedEnd::Removed;
    /// Number of restorations before it.
    unsigned m_restorations = 0;
    base::Instant m_at{};
    /// Whether the restoration before which it was acknowledged was seen elsewhere.
    bool m_isOfOtherProcess = false;
  };

  void Record(UpstreamStart const& aStart, ListedEnd aEnd, base::Instant aNow);

  std::map<UpstreamStart, End> m_ends;
  unsigned m_restorations = 0;
};

} // namespace sardinefold::engine
