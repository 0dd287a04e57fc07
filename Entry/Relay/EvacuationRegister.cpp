#include "Entry/Relay/EvacuationRegister.h"

#include <algorithm>
#include <utility>

namespace sardinefold::entry {

std::vector<EvacuationChange> EvacuationRegister::OnState(EvacuationState aState,
                                                          std::optional<base::Instant> aHeldAt,
                                                          base::Instant aNow)
{
  if (m_state && aState.m_version < m_state->m_version) {
    return {};
  }
  auto const end = m_heldAt ? *m_heldAt + m_limits.m_lastUse : aNow;
  if (aHeldAt) {
    m_heldAt = std::max(m_heldAt.value_or(*aHeldAt), *aHeldAt);
  }
  if (m_state && aState.m_version == m_state->m_version) {
    return {};
  }
  bool const isRestored = m_state && aState.m_version.Era() > m_state->m_version.Era();
  if (isRestored) {
    for (auto const& [domain, domainEnd] : m_inForce) {
      if (!m_ending.contains(domain)) {
        m_held.try_emplace(domain, aNow + m_limits.m_restorationHold);
      }
    }
  }
  if (m_state && !isRestored) {
    for (auto const& domain : m_state->m_domains) {
      m_ending.try_emplace(domain, Ending{ aState.m_version, aNow + m_limits.m_maximumListLag });
    }
  }
  // What the store lists again is the store's to end.
  for (auto const& domain : aState.m_domains) {
    m_held.erase(domain);
    m_ending.erase(domain);
  }
  m_state = std::move(aState);
  return Update(end);
}

std::vector<EvacuationChange> EvacuationRegister::Expire(base::ObjectVersion aListVersion,
                                                         base::Instant aNow)
{
  auto const expired =
    std::erase_if(m_held, [aNow](auto const& aItem) { return aNow >= aItem.second; }) +
    std::erase_if(m_ending, [&](auto const& aItem) {
      return aListVersion >= aItem.second.m_version || aNow >= aItem.second.m_until;
    });
  return expired > 0 ? Update(aNow) : std::vector<EvacuationChange>();
}

std::vector<EvacuationChange> EvacuationRegister::Update(base::Instant aEnd)
{
  auto domains = m_state ? m_state->m_domains : std::set<base::FailureDomainId>();
  for (auto const& [domain, until] : m_held) {
    domains.insert(domain);
  }
  for (auto const& [domain, ending] : m_ending) {
    domains.insert(domain);
  }
  std::vector<EvacuationChange> changes;
  for (auto const& domain : domains) {
    if (m_inForce.try_emplace(domain, aEnd).second) {
      changes.push_back({ domain, true, aEnd });
    }
  }
  std::erase_if(m_inForce, [&](auto const& aItem) {
    bool const hasEnded = !domains.contains(aItem.first);
    if (hasEnded) {
      changes.push_back({ aItem.first, false, {} });
    }
    return hasEnded;
  });
  return changes;
}

} // namespace sardinefold::entry
