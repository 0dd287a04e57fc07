#include "Service/ClaimRetention.h"

namespace sardinefold::service {

void ClaimRetention::Record(objectstore::ObjectName const& aName, base::ObjectVersion aVersion,
                            ClaimState aState, base::Instant aNow)
{
  auto const [position, isNew] = m_claims.try_emplace(aName);
  if (!isNew && position->second.m_version == aVersion) {
    return;
  }
  auto const age = aState == ClaimState::Running ? m_limits.m_running : m_limits.m_ended;
  position->second = { aVersion, aNow + age };
  m_due.emplace(aNow + age, aName);
}

std::optional<base::ObjectVersion> ClaimRetention::Version(
  objectstore::ObjectName const& aName) const
{
  auto const found = m_claims.find(aName);
  return found != m_claims.end() ? std::optional(found->second.m_version) : std::nullopt;
}

std::vector<ClaimDeletion> ClaimRetention::TakeDue(base::Instant aNow)
{
  std::vector<ClaimDeletion> deletions;
  while (!m_due.empty() && m_due.begin()->first <= aNow) {
    auto const name = m_due.begin()->second;
    m_due.erase(m_due.begin());
    auto const found = m_claims.find(name);
    // A later version has its own, later entry.
    bool const isDue = found != m_claims.end() && found->second.m_due <= aNow;
    if (isDue) {
      deletions.push_back({ name, found->second.m_version });
      m_claims.erase(found);
    }
  }
  return deletions;
}

} // namespace sardinefold::service
