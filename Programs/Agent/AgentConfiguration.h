#pragma once

#include "Base/Http/HttpBudgetLimits.h"
#include "Base/Http/HttpMessage.h"
#include "Base/Identifiers.h"
#include "Base/Settings.h"
#include "ObjectStore/FleetShare.h"
#include "Operator/Document.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace sardinefold::programs {

/// The parsed settings of sardinefold-agent.
struct AgentConfiguration
{
  base::Endpoint m_listen;
  base::Endpoint m_upstreamAddress;
  operators::UpstreamKind m_upstreamKind = operators::UpstreamKind::Engine;
  base::UpstreamId m_upstream;
  base::HostId m_host;
  base::FailureDomainId m_failureDomain;
  std::vector<base::Endpoint> m_platform;
  std::string m_fleetSecret;
  /// Numbers of processes among which the platform's call rates are divided.
  objectstore::FleetSize m_fleetSize;
  std::size_t m_concurrency = 1;
  std::size_t m_maximumWaiting = 0;
  base::Duration m_drainTimeout{};
  /// Longest time from the start of a request to the end of its response.
  base::Duration m_responseTimeout = std::chrono::minutes(10);
  base::HttpBudgetLimits m_budget;
  /// Memory that the process may use.
  base::Bytes m_memoryLimit{ 1024LL * 1024 * 1024 };

  static base::SettingsTable Table();
  /// Parses the settings. An error names the setting that is invalid.
  static tl::expected<AgentConfiguration, base::SettingsError> Create(
    base::Settings const& aSettings);
};

} // namespace sardinefold::programs
