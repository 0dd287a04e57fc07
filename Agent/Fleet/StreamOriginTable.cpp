#include "Agent/Fleet/StreamOriginTable.h"

namespace sardinefold::agent {

void StreamOriginTable::Record(StreamOrigin const& aOrigin, base::Instant aNow)
{
  auto const [found, isNew] =
    m_entries.try_emplace(aOrigin.m_request, Entry{ aOrigin, aNow, false, m_order.end() });
  auto& entry = found->second;
  if (isNew) {
    entry.m_place = m_order.insert(m_order.end(), aOrigin.m_request);
  } else {
    m_order.splice(m_order.end(), m_order, entry.m_place);
  }
  entry.m_isAmbiguous = entry.m_isAmbiguous || entry.m_origin != aOrigin;
  entry.m_toldAt = aNow;
  Expire(aNow);
}

std::optional<StreamOrigin> StreamOriginTable::Find(base::RequestId const& aRequest,
                                                    base::Instant aNow) const
{
  auto const found = m_entries.find(aRequest);
  bool const isKnown = found != m_entries.end() && !found->second.m_isAmbiguous &&
                       aNow - found->second.m_toldAt <= m_limits.m_retention;
  return isKnown ? std::optional(found->second.m_origin) : std::nullopt;
}

void StreamOriginTable::Expire(base::Instant aNow)
{
  while (!m_order.empty()) {
    auto const oldest = m_entries.find(m_order.front());
    bool const isKept = m_entries.size() <= m_limits.m_maximumCount &&
                        aNow - oldest->second.m_toldAt <= m_limits.m_retention;
    if (isKept) {
      return;
    }
    m_order.pop_front();
    m_entries.erase(oldest);
  }
}

} // namespace sardinefold::agent
