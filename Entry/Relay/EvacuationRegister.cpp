#include "Entry/Relay/EvacuationRegister.h"

#include <utility>

namespace sardinefold::entry {

std::vector<EvacuationChange> EvacuationRegister::OnState(EvacuationState aState,
                                                          base::Instant aNow)
{
  if (m_state && aState.m_version <= m_state->m_version) {
    return {};
  }
  bool const isRestored = m_state && aState.m_version.Era() > m_state->m_version.Era();
  if (isRestored) {
    for (auto const& domain : m_inForce) {
      m_held.try_emplace(domain, aNow + m_limits.m_restorationHold);
    }
  }
  // What the store lists again is the store's to end.
  for (auto const& domain : aState.m_domains) {
    m_held.erase(domain);
  }
  m_state = std::move(aState);
  return Update();
}

std::vector<EvacuationChange> EvacuationRegister::Expire(base::Instant aNow)
{
  auto const expired =
    std::erase_if(m_held, [aNow](auto const& aItem) { return aNow >= aItem.second; });
  return expired > 0 ? Update() : std::vector<EvacuationChange>();
}

std::vector<EvacuationChange> EvacuationRegister::Update()
{
  auto inForce = m_state ? m_state->m_domains : std::set<base::FailureDomainId>();
  for (auto const& [domain, until] : m_held) {
    inForce.insert(domain);
  }
  std::vector<EvacuationChange> changes;
  for (auto const& domain : inForce) {
    if (!m_inForce.contains(domain)) {
      changes.push_back({ domain, true });
    }
  }
  for (auto const& domain : m_inForce) {
    if (!inForce.contains(domain)) {
      changes.push_back({ domain, false });
    }
  }
  m_inForce = std::move(inForce);
  return changes;
}

} // namespace sardinefold::entry
