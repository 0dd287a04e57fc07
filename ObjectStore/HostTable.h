#pragma once

#include "ObjectStore/HostEntry.h"

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace sardinefold::objectstore {

/// The host is new, or any of its fields but its state has changed.
struct HostAppeared
{
  HostEntry m_entry;
};
/// The host will go away; it must get no new work.
struct HostDraining
{
  base::HostId m_host;
};
/// The host is no longer listed.
struct HostRemoved
{
  base::HostId m_host;
};
using HostChange = std::variant<HostAppeared, HostDraining, HostRemoved>;

/// The hosts as the latest list shows them.
class HostTable
{
public:
  /// Takes over a list; the changes against the one before.
  std::vector<HostChange> Apply(HostList const& aList);
  /// Hosts of a role, those that leave included.
  std::uint32_t Count(HostRole aRole) const;
  std::map<base::HostId, HostEntry> const& Hosts() const { return m_hosts; }

private:
  std::map<base::HostId, HostEntry> m_hosts;
};

} // namespace sardinefold::objectstore
