#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace sardinefold::base {

/// Limits agreed between the site and its platform that affect the decisions of
/// this system.
struct SiteBounds
{
  /// Longest time for which a draining upstream may still receive new requests.
  Duration m_maximumDrainDelay = std::chrono::seconds(2);
  /// Interval in which upstreams confirm their entries in the object store.
  Duration m_heartbeatInterval = std::chrono::milliseconds(1200);
  /// Time from the termination signal until the process is killed.
  Duration m_stopGrace = std::chrono::seconds(8);
  /// Number of retries allowed per request to a deployment, over all processes.
  double m_retryRatio = 0.2;
  /// Number of further retries allowed in each window, over all processes.
  double m_retryAllowance = 50;
  /// A loader that takes over an engine from another host issues no order for this
  /// long, since an order of its predecessor may still be in flight.
  Duration m_leaseTime = std::chrono::seconds(3);
  /// Number of concurrent loads from the weight store that run at full speed.
  unsigned m_parallelLoads = 4;
  /// Longest time for which the upstreams of an evacuated failure domain may still
  /// receive new requests. Absent where failure domains are not evacuated.
  std::optional<Duration> m_maximumEvacuationDelay;
  /// An upstream that is warming up may get this many times its own rate of requests,
  /// and m_warmUpAllowance more, in any second, from all processes together.
  double m_warmUpOverage = 1;
  double m_warmUpAllowance = 0;
};

/// The host's configuration of one process: its location, endpoints and limits.
struct ProcessProfile
{
  HostId m_host;
  FailureDomainId m_failureDomain;
  RegionId m_region;
  /// The regions of the site's failure domains, as far as the settings name them.
  std::map<FailureDomainId, RegionId> m_regions;
  std::string m_address;
  /// Endpoint for callers. Absent on hosts with an engine.
  std::optional<Endpoint> m_callers;
  /// Endpoint of the load balancer's readiness check.
  std::optional<Endpoint> m_readiness;
  /// First port for messages between the system's processes. It is the same on
  /// all hosts.
  std::uint16_t m_peerPort = 0;
  Endpoint m_objectStore;
  /// The engine on this host. Absent on hosts without one.
  std::optional<Endpoint> m_engine;
  std::optional<DeploymentId> m_engineDeployment;
  SiteBounds m_bounds;
  /// Part of a core that the process may use.
  double m_processorShare = 1;
  /// A process that uses more memory is killed.
  Bytes m_memoryLimit{ 256 * 1024 * 1024 };
  /// Most descriptors that the process may have open.
  std::size_t m_descriptorLimit = 4096;
};

} // namespace sardinefold::base
