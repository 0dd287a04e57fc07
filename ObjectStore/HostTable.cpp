#include "ObjectStore/HostTable.h"

namespace sardinefold::objectstore {

namespace {

bool IsSameProcess(HostEntry aLeft, HostEntry const& aRight)
{
  aLeft.m_state = aRight.m_state;
  return aLeft == aRight;
}

} // namespace

std::vector<HostChange> HostTable::Apply(HostList const& aList)
{
  std::vector<HostChange> changes;
  std::map<base::HostId, HostEntry> hosts;
  for (auto const& entry : aList) {
    hosts.insert_or_assign(entry.m_host, entry);
  }
  for (auto const& [host, entry] : m_hosts) {
    if (!hosts.contains(host)) {
      changes.emplace_back(HostRemoved{ host });
    }
  }
  for (auto const& [host, entry] : hosts) {
    auto const before = m_hosts.find(host);
    bool const isNew = before == m_hosts.end() || !IsSameProcess(before->second, entry);
    // A host that was draining and is live again accepts work again.
    bool const hasReturned =
      !isNew && before->second.m_state == HostState::Draining && entry.m_state == HostState::Live;
    if (isNew || hasReturned) {
      changes.emplace_back(HostAppeared{ entry });
    }
    bool const wasDraining = !isNew && before->second.m_state == HostState::Draining;
    if (entry.m_state == HostState::Draining && !wasDraining) {
      changes.emplace_back(HostDraining{ host });
    }
  }
  m_hosts = std::move(hosts);
  return changes;
}

std::uint32_t HostTable::Count(HostRole aRole) const
{
  std::uint32_t count = 0;
  for (auto const& [host, entry] : m_hosts) {
    count += entry.m_role == aRole ? 1U : 0U;
  }
  return count;
}

} // namespace sardinefold::objectstore
