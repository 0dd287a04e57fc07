#pragma once

#include "Agent/Fleet/FleetMessages.h"
#include "Base/Digest.h"
#include "Base/ProcessProfile.h"
#include "Engine/SwapPlanner.h"
#include "Entry/Allowance/GrantLedger.h"
#include "Programs/FleetPost.h"

#include <map>

namespace sardinefold::programs {

/// The planner's part of a loader: it is in use while gateways report to this
/// loader as their planner.
class FleetPlanning
{
public:
  FleetPlanning(base::ProcessProfile const& aProfile, FleetPost& aPost);

  void SetSpec(base::DeploymentId const& aDeployment, operators::EngineSpec aSpec);
  /// A gateway took this loader for the planner.
  void OnReport(agent::GatewayReport const& aReport, base::Endpoint const& aSender,
                base::Instant aNow);
  /// A gateway is there, whomever it takes for the planner.
  void OnPresence(base::HostId const& aGateway, base::Instant aNow);
  void OnStatus(agent::EngineStatus const& aStatus, base::Endpoint const& aSender,
                base::Instant aNow);
  /// What a loader told last still holds. False if it is not known here.
  bool OnAlive(agent::EngineHeartbeat const& aAlive, base::Instant aNow);
  /// Asks loaders for swaps and tells gateways of one another's grants.
  void Tick(base::Instant aNow);

private:
  struct Gateway
  {
    base::Endpoint m_endpoint;
    base::FailureDomainId m_failureDomain;
    std::vector<agent::CrashReport> m_crashes;
    /// When the object store last answered it.
    base::Instant m_storeHeardAt{};
    base::Instant m_heardAt{};
  };
  struct Loader
  {
    base::Endpoint m_endpoint;
    base::Instant m_heardAt{};
    /// Number of its last status.
    std::uint64_t m_number = 0;
  };

  std::map<base::HostId, base::Endpoint> NeighboursIn(base::FailureDomainId const& aDomain,
                                                      base::Instant aNow) const;
  void Expire(base::Instant aNow);
  void SendSummaries(base::Instant aNow);
  static bool IsReporting(Gateway const& aGateway, base::Instant aNow);

  base::ProcessProfile const& m_profile;
  FleetPost& m_post;
  engine::SwapPlanner m_planner;
  std::map<base::HostId, Gateway> m_gateways;
  std::map<base::HostId, Loader> m_loaders;
  std::map<base::HostId, base::Instant> m_present;
  entry::GrantLedger m_grants;
  /// Names this planner's sums; those of another start from elsewhere.
  std::string m_epoch;
  unsigned m_ticks = 0;
};

} // namespace sardinefold::programs
