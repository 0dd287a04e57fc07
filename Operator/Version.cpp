#include "Operator/Version.h"

#include <algorithm>
#include <utility>

namespace sardinefold::operators {

VersionRecord const* Manifest::Find(base::DocumentVersion aVersion) const
{
  auto const record = std::ranges::find(m_history, aVersion, &VersionRecord::m_version);
  return record == m_history.end() ? nullptr : &*record;
}

VersionRecord const* Manifest::Find(PublicationId const& aPublication) const
{
  auto const record = std::ranges::find(m_history, aPublication, &VersionRecord::m_publication);
  return record == m_history.end() ? nullptr : &*record;
}

void Manifest::Append(VersionRecord aRecord)
{
  m_history.push_back(std::move(aRecord));
  if (m_history.size() > kMaximumHistory) {
    m_history.erase(m_history.begin());
  }
}

} // namespace sardinefold::operators
