#include "Agent/Placement/Placement.h"

#include <algorithm>

namespace sardinefold::agent {

Holder const* Placement::Find(base::UpstreamId const& aUpstream) const
{
  auto const found = std::ranges::find(m_holders, aUpstream, &Holder::m_upstream);
  return found == m_holders.end() ? nullptr : &*found;
}

bool Placement::Remove(base::UpstreamId const& aUpstream)
{
  auto const found = std::ranges::find(m_holders, aUpstream, &Holder::m_upstream);
  if (found == m_holders.end() || found->m_state != HolderState::Revoking) {
    return false;
  }
  m_holders.erase(found);
  return true;
}

} // namespace sardinefold::agent
