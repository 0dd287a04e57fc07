#pragma once

#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/PlannerSelector.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace sardinefold::programs {

/// Reports a gateway's presence to the loaders, and its demand and the tokens that
/// it has granted to the planner, which is one of the loaders.
class FleetReporter
{
public:
  FleetReporter(GatewayState& aState, base::IncarnationId aIncarnation)
    : m_state(aState)
    , m_incarnation(std::move(aIncarnation))
  {
  }

  base::IncarnationId const& Incarnation() const { return m_incarnation; }

  void OnLoader(base::HostId const& aHost, base::Endpoint const& aEndpoint, bool aCanOrder,
                unsigned aGatewaysPresent, base::Instant aNow)
  {
    m_planner.OnLoader(aHost, aEndpoint, aCanOrder, aNow);
    m_state.m_allowance.OnProcessCount(aGatewaysPresent);
    if (!m_state.m_gatewaysPresent && aGatewaysPresent > 0) {
      m_state.OnGatewaysPresent(aGatewaysPresent);
    }
  }

  void OnSummary(base::Endpoint const& aPlanner, base::Instant aNow)
  {
    m_planner.OnSummary(aPlanner, aNow);
    m_summaryAt = aNow;
  }

  /// Called when a new catalog is in force.
  void OnCatalog()
  {
    m_engineSpecs = operators::EngineSpecsDigest(m_state.m_catalog->Catalog());
    m_mustAnnounceToAll = true;
  }

  base::Duration PlannerAge(base::Instant aNow) const { return aNow - m_summaryAt; }

  /// To be called ten times a second. aStoreAge is the time since the store last
  /// responded.
  void Report(base::Duration aStoreAge, base::StoreEra aStoreEra, base::Instant aNow)
  {
    m_mustAnnounceToAll = m_mustAnnounceToAll || aStoreEra > m_storeEra;
    m_storeEra = std::max(m_storeEra, aStoreEra);
    constexpr unsigned kPresenceTicks = 10;
    auto const planner = m_planner.Planner(aNow);
    bool const isNewPlanner = planner != m_lastPlanner;
    if (isNewPlanner) {
      base::log::Info("planner chosen", { { "planner", planner ? planner->Text() : "" } });
    }
    m_lastPlanner = planner;
    bool const isForAll = m_ticks++ % kPresenceTicks == 0 || isNewPlanner || m_mustAnnounceToAll;
    m_mustAnnounceToAll = false;
    SendPresence(isForAll);
    if (planner) {
      SendReport(*planner, isNewPlanner, aStoreAge, aNow);
    }
  }

private:
  using Engines = std::map<base::Endpoint, agent::EngineIdentity>;

  /// Reports all demand once a second, and only changes in between.
  void SendReport(base::Endpoint const& aPlanner, bool aIsFirst, base::Duration aStoreAge,
                  base::Instant aNow)
  {
    constexpr unsigned kCompleteReportTicks = 10;
    bool const isComplete = m_ticks % kCompleteReportTicks == 0 || aIsFirst;
    agent::GatewayReport report{ m_state.m_profile.m_host,
                                 m_incarnation,
                                 m_state.m_profile.m_failureDomain,
                                 isComplete,
                                 {},
                                 m_state.m_allowance.Granted(),
                                 m_state.CrashesToReport(aNow),
                                 aStoreAge,
                                 m_state.LeavingToReport(aNow),
                                 m_state.m_suspectParts.CrashesToReport(isComplete, aNow),
                                 m_state.m_suspectParts.AcquittalsToReport(aNow) };
    std::map<base::ModelId, unsigned> waiting;
    for (auto& demand : m_state.m_demand.Summary(aNow)) {
      if (demand.m_waiting > 0) {
        waiting[demand.m_model] = demand.m_waiting;
      }
      bool const hasChanged = demand.m_waiting > 0 || m_reportedWaiting.contains(demand.m_model);
      if (isComplete || hasChanged) {
        report.m_demand.push_back(std::move(demand));
      }
    }
    m_reportedWaiting = std::move(waiting);
    m_state.m_messenger.Send(aPlanner, report);
  }

  /// Announces this gateway to the loaders of new engines at once, and to all
  /// loaders if aIsForAll.
  void SendPresence(bool aIsForAll)
  {
    Engines known;
    std::map<base::FailureDomainId, Engines> announcements;
    for (auto const& entry : m_state.m_directory.Entries()) {
      if (!IsEngine(entry.m_deployment)) {
        continue;
      }
      agent::EngineIdentity const identity{ entry.m_instance, entry.m_startedAt };
      // The list may still contain an earlier engine at the same address.
      auto const earlier = known.find(entry.m_endpoint);
      if (earlier != known.end() && earlier->second.m_startedAt >= identity.m_startedAt) {
        continue;
      }
      known.insert_or_assign(entry.m_endpoint, identity);
      auto const before = m_announced.find(entry.m_endpoint);
      if (aIsForAll || before == m_announced.end() || before->second != identity) {
        announcements[entry.m_failureDomain].insert_or_assign(entry.m_endpoint, identity);
      }
    }
    m_announced = std::move(known);
    for (auto& [domain, engines] : announcements) {
      SendPresence(domain, std::move(engines));
    }
  }

  void SendPresence(base::FailureDomainId const& aDomain, Engines aEngines)
  {
    agent::GatewayPresence presence;
    presence.m_host = m_state.m_profile.m_host;
    presence.m_incarnation = m_incarnation;
    presence.m_failureDomain = m_state.m_profile.m_failureDomain;
    presence.m_planner = m_lastPlanner.value_or(base::Endpoint{ m_state.m_profile.m_address, 0 });
    presence.m_engineSpecs = m_engineSpecs;
    if (m_state.m_catalog) {
      presence.m_catalog = m_state.m_catalog->Catalog().m_version;
    }
    std::vector<agent::MulticastReceiver> receivers;
    for (auto const& [endpoint, identity] : aEngines) {
      receivers.push_back({ { endpoint.m_address, m_state.m_profile.m_peerPort }, aDomain });
    }
    presence.m_engines = std::move(aEngines);
    presence.m_storeEra = m_storeEra;
    m_state.m_messenger.Multicast(m_state.m_profile.m_failureDomain, receivers, presence);
  }

  bool IsEngine(base::DeploymentId const& aDeployment) const
  {
    auto const* const deployment =
      m_state.m_catalog ? m_state.m_catalog->FindDeployment(aDeployment) : nullptr;
    return deployment && deployment->m_engine;
  }

  GatewayState& m_state;
  base::IncarnationId m_incarnation;
  PlannerSelector m_planner;
  std::optional<base::Endpoint> m_lastPlanner;
  base::Instant m_summaryAt{};
  std::map<base::ModelId, unsigned> m_reportedWaiting;
  Engines m_announced;
  std::uint64_t m_engineSpecs = 0;
  base::StoreEra m_storeEra;
  bool m_mustAnnounceToAll = true;
  unsigned m_ticks = 0;
};

} // namespace sardinefold::programs
