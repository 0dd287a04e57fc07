#include "Base/Http/IdleLimit.h"

#include <algorithm>

namespace sardinefold::base {

void IdleLimit::Set(Duration aLimit, Instant aNow)
{
  if (aLimit == m_limit) {
    return;
  }
  auto const longest = std::max(aLimit, m_limit);
  std::erase_if(m_former, [&](FormerLimit const& aFormer) {
    return aFormer.m_until <= aNow || aFormer.m_limit <= longest;
  });
  if (m_limit > aLimit) {
    m_former.push_back({ m_limit, aNow + m_limit });
  }
  m_limit = aLimit;
}

Instant IdleLimit::ExpiryOf(Instant aBegan) const
{
  auto expiry = aBegan + m_limit;
  for (auto const& former : m_former) {
    expiry = std::max(expiry, std::min(aBegan + former.m_limit, former.m_until));
  }
  return expiry;
}

} // namespace sardinefold::base
