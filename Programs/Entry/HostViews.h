#pragma once

#include "Agent/AgentDirectory.h"
#include "Base/Endpoint.h"
#include "Entry/Allowance/OwnershipPlan.h"
#include "Entry/Configuration/RelayChoice.h"
#include "ObjectStore/HostEntry.h"

#include <map>
#include <vector>

namespace sardinefold::programs {

using HostAddresses = std::map<base::HostId, base::Endpoint>;

/// Returns the upstream hosts, for the directory of agents. Hosts without a valid
/// address are left out here, in Addresses() and in EntryAddresses().
std::vector<agent::AgentHost> AgentHosts(objectstore::HostList const& aList);
/// Returns the entries, for the configuration relay.
entry::FleetView ConfigurationView(objectstore::HostList const& aList);
/// Returns the entries, for the ownership of allowances.
std::vector<entry::ListedEntry> ListedEntries(objectstore::HostList const& aList);
/// Returns the addresses of all hosts.
HostAddresses Addresses(objectstore::HostList const& aList);
/// Returns the addresses of the entries.
HostAddresses EntryAddresses(objectstore::HostList const& aList);

} // namespace sardinefold::programs
