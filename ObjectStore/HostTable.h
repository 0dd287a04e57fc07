#pragma once

#include "ObjectStore/HostEntry.h"

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

namespace sardinefold::objectstore {

/// The host is new, works again after draining, or has changed in a field other
/// than its state.
struct HostAppeared
{
  HostEntry m_entry;
};
/// The host will be removed; it must get no new work.
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

/// The hosts in the latest list.
class HostTable
{
public:
  /// Replaces the list and returns the changes from the previous one.
  std::vector<HostChange> Apply(HostList const& aList);
  /// The number of hosts of a role, including draining ones.
  std::uint32_t Count(HostRole aRole) const;
  std::map<base::HostId, HostEntry> const& Hosts() const { return m_hosts; }

private:
  std::map<base::HostId, HostEntry> m_hosts;
};

} // namespace sardinefold::objectstore
