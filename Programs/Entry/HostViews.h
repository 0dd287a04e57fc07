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

/// The upstream hosts, for the directory of agents. Hosts without an address
/// that can be used are left out here and below.
std::vector<agent::AgentHost> AgentHosts(objectstore::HostList const& aList);
/// The entries, for the configuration relay.
entry::FleetView ConfigurationView(objectstore::HostList const& aList);
/// The entries, for the ownership of allowances.
std::vector<entry::ListedEntry> ListedEntries(objectstore::HostList const& aList);
/// Where all hosts are.
HostAddresses Addresses(objectstore::HostList const& aList);
/// Where the entries are.
HostAddresses EntryAddresses(objectstore::HostList const& aList);

} // namespace sardinefold::programs
