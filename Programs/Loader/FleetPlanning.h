#pragma once

#include "Agent/Fleet/CrashNewsBoard.h"
#include "Agent/Fleet/FleetMessages.h"
#include "Base/Digest.h"
#include "Base/ProcessProfile.h"
#include "Engine/RequestLimitSharing.h"
#include "Engine/SwapPlanner.h"
#include "Entry/Allowance/GrantLedger.h"
#include "Programs/FleetMessenger.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace sardinefold::programs {

/// The planner role of a loader. It is active while gateways report to this
/// loader as their planner.
class FleetPlanning
{
public:
  FleetPlanning(base::ProcessProfile const& aProfile, FleetMessenger& aMessenger);

  void SetSpec(base::DeploymentId const& aDeployment, operators::EngineSpec aSpec);
  /// Handles the report of a gateway that uses this loader as its planner.
  void OnReport(agent::GatewayReport const& aReport, base::Endpoint const& aSender,
                base::Instant aNow);
  /// Records that a gateway is running, whichever planner it uses.
  void OnPresence(agent::GatewayPresence const& aPresence, base::Instant aNow);
  void OnStatus(agent::EngineStatus const& aStatus, base::Endpoint const& aSender,
                base::Instant aNow);
  /// Records that a loader's last status still applies. Returns false if that
  /// status was not received here.
  bool OnHeartbeat(agent::EngineHeartbeat const& aHeartbeat, base::Instant aNow);
  /// Requests swaps from loaders, and sends each gateway the levels of the allowances and
  /// its permits for upstreams with request limits.
  void Tick(base::Instant aNow);

private:
  struct Gateway
  {
    base::Endpoint m_endpoint;
    base::FailureDomainId m_failureDomain;
    base::IncarnationId m_incarnation;
    double m_processorShare = 0;
    /// Whether it has started, or chosen this planner, since the last summary.
    bool m_isNew = true;
    std::vector<engine::UpstreamStart> m_leaving;
    /// As in its last complete report.
    std::vector<engine::UpstreamStart> m_drained;
    /// When the object store last responded to this gateway.
    base::Instant m_storeLastContactAt{};
    base::Instant m_lastContactAt{};
    /// As in its latest report that names them.
    std::optional<entry::EvacuationState> m_evacuations;
  };
  struct Loader
  {
    base::Endpoint m_endpoint;
    base::Instant m_lastContactAt{};
    base::IncarnationId m_incarnation;
    /// Number of the loader's last status.
    std::uint64_t m_number = 0;
  };

  std::map<base::HostId, base::Endpoint> NeighboursIn(base::FailureDomainId const& aDomain,
                                                      base::Instant aNow) const;
  agent::DomainAggregators Aggregators(base::Instant aNow) const;
  void OnEvacuations(entry::EvacuationState const& aState, base::HostId const& aSource);
  /// Whether the gateway follows evacuations and does not know those that another one
  /// knows.
  bool LacksEvacuations(Gateway const& aGateway) const;
  void Expire(base::Instant aNow);
  void SendSummaries(base::Instant aNow);
  void SendNews(base::Instant aNow);
  void UpdateRequestLimits(base::Instant aNow);
  static bool IsReporting(Gateway const& aGateway, base::Instant aNow);

  base::ProcessProfile const& m_profile;
  FleetMessenger& m_messenger;
  engine::SwapPlanner m_planner;
  std::map<base::HostId, Gateway> m_gateways;
  std::map<base::HostId, Loader> m_loaders;
  std::map<base::HostId, base::Instant> m_lastPresence;
  /// The newest catalog that any gateway has had in force.
  base::CatalogVersion m_newestCatalog;
  /// The evacuations at the latest version of the store that any gateway has reported.
  std::optional<entry::EvacuationState> m_evacuations;
  entry::GrantLedger m_grants;
  engine::RequestLimitSharing m_requestLimits;
  agent::CrashNewsBoard<base::FingerprintId> m_requestNews;
  agent::CrashNewsBoard<base::PromptPartId> m_partNews;
  unsigned m_ticks = 0;
};

} // namespace sardinefold::programs
