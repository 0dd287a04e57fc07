#pragma once

#include "Base/Endpoint.h"
#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <optional>
#include <string>

namespace sardinefold::base {

/// Bounds that the site has agreed with the platform, as far as decisions of
/// this system depend on them.
struct SiteBounds
{
  /// A leaving upstream gets no new request later than this.
  Duration m_maximumDrainDelay = std::chrono::seconds(2);
  /// From the signal to stop until the process is ended by force.
  Duration m_stopGrace = std::chrono::seconds(8);
  /// Retries allowed for each request to a deployment, over all processes.
  double m_retryRatio = 0.2;
  /// Retries allowed besides, in each window, over all processes.
  double m_retryAllowance = 50;
  /// Time in which orders of two hosts to one engine count as given by turns.
  Duration m_leaseTime = std::chrono::seconds(3);
  /// Loads of weights from the store that run at full speed side by side.
  unsigned m_parallelLoads = 4;
};

/// What the host tells a process of the system about its place.
struct ProcessProfile
{
  HostId m_host;
  FailureDomainId m_failureDomain;
  std::string m_address;
  /// Where callers connect; absent beside an engine.
  std::optional<Endpoint> m_callers;
  /// Where the balancer asks whether callers may come.
  std::optional<Endpoint> m_readiness;
  /// First port for messages among the system's processes; the same on all
  /// hosts.
  std::uint16_t m_peerPort = 0;
  Endpoint m_objectStore;
  /// The engine on the same host; absent elsewhere.
  std::optional<Endpoint> m_engine;
  std::optional<DeploymentId> m_engineDeployment;
  SiteBounds m_bounds;
  /// A process that uses more is ended.
  Bytes m_memoryLimit{ 256 * 1024 * 1024 };
};

} // namespace sardinefold::base
