#include "Engine/LeavingUpstreams.h"

namespace sardinefold::engine {

namespace {

/// How long an announcement is kept for a start that is not in the list. Entries
/// that lapsed return within seconds after an outage of the store.
constexpr base::Duration kRetention = std::chrono::hours(1);

} // namespace

std::string_view ToText(NoticeSource aSource)
{
  switch (aSource) {
    case NoticeSource::Response:
      return "response";
    case NoticeSource::Loader:
      return "loader";
    case NoticeSource::Gateway:
      return "gateway";
  }
  return "unknown";
}

bool LeavingUpstreams::OnNotice(UpstreamStart const& aStart, NoticeSource aSource,
                                base::Instant aNow)
{
  auto const [found, isNew] = m_notices.try_emplace(aStart, LeavingNotice{ aSource, aNow });
  auto& notice = found->second;
  bool const isUpgrade =
    aSource == NoticeSource::Response && notice.m_source != NoticeSource::Response;
  if (isUpgrade) {
    notice = { aSource, aNow };
  }
  return isNew || isUpgrade;
}

LeavingNotice const* LeavingUpstreams::Find(UpstreamStart const& aStart) const
{
  auto const found = m_notices.find(aStart);
  return found == m_notices.end() ? nullptr : &found->second;
}

bool LeavingUpstreams::IsExcluded(UpstreamStart const& aStart, base::Duration aDrainDelay,
                                  base::Instant aNow) const
{
  auto const* const notice = Find(aStart);
  return notice && notice->m_source == NoticeSource::Response &&
         aNow >= notice->m_learnedAt + aDrainDelay;
}

std::vector<UpstreamStart> LeavingUpstreams::ReadSince(base::Instant aSince) const
{
  std::vector<UpstreamStart> starts;
  for (auto const& [start, notice] : m_notices) {
    if (notice.m_source == NoticeSource::Response && notice.m_learnedAt >= aSince) {
      starts.push_back(start);
    }
  }
  return starts;
}

void LeavingUpstreams::Expire(std::function<bool(UpstreamStart const&)> const& aIsKnown,
                              base::Instant aNow)
{
  std::erase_if(m_notices, [&](auto const& aItem) {
    return aNow - aItem.second.m_learnedAt > kRetention && !aIsKnown(aItem.first);
  });
}

} // namespace sardinefold::engine
