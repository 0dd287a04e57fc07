#pragma once

#include "Base/Identifiers.h"

#include <string>
#include <vector>

namespace sardinefold::objectstore {

enum class HostRole
{
  Entry,
  Upstream
};

enum class HostState
{
  Live,
  Draining
};

/// A host in the platform's list, which lags behind the actual state.
struct HostEntry
{
  base::HostId m_host;
  HostRole m_role = HostRole::Entry;
  base::FailureDomainId m_failureDomain;
  base::RegionId m_region;
  /// "address:port" of the system's process there.
  std::string m_address;
  HostState m_state = HostState::Live;

  friend bool operator==(HostEntry const&, HostEntry const&) = default;
};

using HostList = std::vector<HostEntry>;

} // namespace sardinefold::objectstore
