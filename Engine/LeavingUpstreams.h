#pragma once

#include "Base/Time.h"
#include "Engine/UpstreamNotice.h"

#include <functional>
#include <map>
#include <vector>

namespace sardinefold::engine {

/// When and how this process learned that an upstream leaves.
struct LeavingNotice
{
  NoticeSource m_source = NoticeSource::Response;
  base::Instant m_learnedAt{};
};

/// The starts of upstreams that have announced that they leave. An announcement
/// holds for as long as that start may still be listed, whatever the list says.
/// What this process has read itself excludes the upstream after the drain
/// delay; what other processes report only ranks it behind the others.
class LeavingUpstreams
{
public:
  /// Returns whether this is the first announcement, or the first that this
  /// process has read itself.
  bool OnNotice(UpstreamStart const& aStart, NoticeSource aSource, base::Instant aNow);

  bool IsEmpty() const { return m_notices.empty(); }
  LeavingNotice const* Find(UpstreamStart const& aStart) const;
  /// Whether the upstream may get no further requests, even if no other upstream
  /// can serve them. aDrainDelay is the longest time for which a leaving
  /// upstream may get new requests.
  bool IsExcluded(UpstreamStart const& aStart, base::Duration aDrainDelay,
                  base::Instant aNow) const;
  /// The starts that this process has read about after aSince.
  std::vector<UpstreamStart> ReadSince(base::Instant aSince) const;
  /// Discards old announcements of starts that are no longer known.
  void Expire(std::function<bool(UpstreamStart const&)> const& aIsKnown, base::Instant aNow);

private:
  std::map<UpstreamStart, LeavingNotice> m_notices;
};

} // namespace sardinefold::engine
