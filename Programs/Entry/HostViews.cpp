#include "Programs/Entry/HostViews.h"

namespace sardinefold::programs {

namespace {

bool IsEntry(objectstore::HostEntry const& aHost)
{
  return aHost.m_role == objectstore::HostRole::Entry;
}

bool IsDraining(objectstore::HostEntry const& aHost)
{
  return aHost.m_state == objectstore::HostState::Draining;
}

} // namespace

std::vector<agent::AgentHost> AgentHosts(objectstore::HostList const& aList)
{
  std::vector<agent::AgentHost> hosts;
  for (auto const& host : aList) {
    auto const endpoint = base::Endpoint::Parse(host.m_address);
    if (!IsEntry(host) && endpoint) {
      hosts.push_back({ host.m_host, host.m_failureDomain, *endpoint, IsDraining(host) });
    }
  }
  return hosts;
}

entry::FleetView ConfigurationView(objectstore::HostList const& aList)
{
  entry::FleetView view;
  for (auto const& host : aList) {
    if (IsEntry(host)) {
      view.m_entries.push_back({ host.m_host, host.m_failureDomain });
    }
  }
  return view;
}

std::vector<entry::ListedEntry> ListedEntries(objectstore::HostList const& aList)
{
  std::vector<entry::ListedEntry> entries;
  for (auto const& host : aList) {
    if (IsEntry(host)) {
      entries.push_back({ host.m_host, host.m_failureDomain, IsDraining(host) });
    }
  }
  return entries;
}

HostAddresses Addresses(objectstore::HostList const& aList)
{
  HostAddresses addresses;
  for (auto const& host : aList) {
    if (auto const endpoint = base::Endpoint::Parse(host.m_address)) {
      addresses.emplace(host.m_host, *endpoint);
    }
  }
  return addresses;
}

HostAddresses EntryAddresses(objectstore::HostList const& aList)
{
  auto addresses = Addresses(aList);
  for (auto const& host : aList) {
    if (!IsEntry(host)) {
      addresses.erase(host.m_host);
    }
  }
  return addresses;
}

} // namespace sardinefold::programs
