#pragma once

#include "Agent/Fleet/DomainPresenceBoard.h"
#include "Programs/Gateway/DomainExchange.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/PlannerSelector.h"
#include "Programs/Gateway/PoolSelector.h"
#include "Programs/Gateway/RequestLimitExchange.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace sardinefold::programs {

/// Reports a gateway's presence to the loaders, by itself or through the aggregator
/// of its failure domain, and its demand and the tokens that it has granted to the
/// planner, which is one of the loaders. Takes permits for upstreams with request limits from
/// there.
class FleetReporter
{
public:
  FleetReporter(GatewayState& aState, DomainExchange<FleetMessenger> const& aDomain,
                base::IncarnationId aIncarnation)
    : m_state(aState)
    , m_domain(aDomain)
    , m_incarnation(std::move(aIncarnation))
  {
  }

  base::IncarnationId const& Incarnation() const { return m_incarnation; }

  void OnLoader(base::HostId const& aHost, base::Endpoint const& aEndpoint, bool aCanOrder,
                unsigned aGatewaysPresent, base::Instant aNow)
  {
    m_planner.OnLoader(aHost, aEndpoint, aCanOrder, aNow);
    m_state.m_allowance.OnProcessCount(aGatewaysPresent);
    m_state.m_directory.WarmUps().OnProcessCount(aGatewaysPresent, aNow);
    m_state.m_directory.RequestLimits().OnProcessCount(aGatewaysPresent, aNow);
    if (!m_state.m_gatewaysPresent && aGatewaysPresent > 0) {
      m_state.OnGatewaysPresent(aGatewaysPresent);
    }
  }

  void OnSummary(base::Endpoint const& aPlanner, agent::PlannerSummary const& aSummary,
                 base::Instant aNow)
  {
    m_planner.OnSummary(aPlanner, aNow);
    m_pool.OnSummary(aPlanner, aNow);
    m_summaryAt = aNow;
    if (m_pool.IsPool(aPlanner)) {
      m_state.m_allowance.OnSummary(aSummary.m_allowance, m_incarnation, aNow);
    }
    if (aPlanner == m_lastPlanner) {
      bool const hasPermits =
        m_requestLimits.OnSummary(m_state.m_directory.RequestLimits(), aSummary, aNow);
      if (hasPermits) {
        m_state.NotifyAll();
      }
    }
  }

  /// Called when a new catalog is in force.
  void OnCatalog()
  {
    m_engineSpecs = operators::EngineSpecsDigest(m_state.m_catalog->Catalog());
    m_mustAnnounceToAll = true;
  }

  /// A gateway of the failure domain announced itself to this one.
  void OnMember(agent::GatewayPresence const& aPresence, base::Endpoint const& aOrigin,
                base::Instant aNow)
  {
    m_hasMemberNews = m_members.OnPresence(aPresence, aOrigin, aNow) || m_hasMemberNews;
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
    m_state.m_allowance.Tick(aNow);
    bool const isForAll = m_ticks++ % kPresenceTicks == 0 || isNewPlanner || m_mustAnnounceToAll;
    m_mustAnnounceToAll = false;
    Announce(isForAll, aNow);
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
    m_completeReportsDue = aIsFirst ? kFirstCompleteReports : m_completeReportsDue;
    bool const isComplete = m_ticks % kCompleteReportTicks == 0 || m_completeReportsDue > 0;
    bool const repeatsCrashes = m_ticks % kCrashRepeatTicks == 0 || m_completeReportsDue > 0;
    m_completeReportsDue -= m_completeReportsDue > 0 ? 1 : 0;
    agent::GatewayReport report{ m_state.m_profile.m_host,
                                 m_incarnation,
                                 m_state.m_profile.m_failureDomain,
                                 m_state.m_profile.m_processorShare,
                                 isComplete,
                                 {},
                                 {},
                                 m_state.m_suspects.CrashesToReport(repeatsCrashes, aNow),
                                 aStoreAge,
                                 m_state.LeavingToReport(aNow),
                                 isComplete ? m_state.m_directory.DrainedDespiteList()
                                            : std::vector<engine::UpstreamStart>(),
                                 m_state.m_suspectParts.CrashesToReport(repeatsCrashes, aNow),
                                 m_state.m_suspectParts.AcquittalsToReport(aNow),
                                 EvacuationsToReport(isComplete) };
    report.m_versionedDemand = m_state.m_versionedDemand;
    report.m_acquittals = m_state.m_suspects.AcquittalsToReport(aNow);
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
    report.m_requestLimits =
      m_requestLimits.DemandsToReport(m_state.m_directory.RequestLimits(), aNow);
    auto const pool = m_pool.Choose(aPlanner, m_state.m_allowance.IsFresh(aNow), aNow);
    if (pool.m_planner && pool.m_planner != aPlanner) {
      m_state.m_messenger.Send(aPlanner, report);
      // Only one planner loads models for this gateway's requests and grants it permits.
      report.m_isComplete = true;
      report.m_demand.clear();
      report.m_versionedDemand.clear();
      report.m_requestLimits.clear();
    }
    if (pool.m_planner) {
      report.m_allowance = MakeAllowanceReport(pool.m_isNew, aNow);
      m_state.m_messenger.Send(*pool.m_planner, report);
    }
  }

  entry::AllowanceReport MakeAllowanceReport(bool aIsNewPlanner, base::Instant aNow)
  {
    auto report = m_state.m_allowance.MakeReport(aIsNewPlanner, aNow);
    report.m_isLast = m_state.m_hasStoppedGranting;
    report.m_catalog =
      m_state.m_catalog ? m_state.m_catalog->Catalog().m_version : base::CatalogVersion();
    return report;
  }

  /// Returns the evacuations in complete reports, and for some reports after a change.
  std::optional<entry::EvacuationState> EvacuationsToReport(bool aIsComplete)
  {
    auto const& state = m_state.m_evacuations.State();
    if (!state) {
      return std::nullopt;
    }
    if (state->m_domains != m_reportedEvacuations) {
      m_reportedEvacuations = state->m_domains;
      m_evacuationRepeats = kEvacuationRepeats;
    }
    bool const isDue = aIsComplete || m_evacuationRepeats > 0;
    m_evacuationRepeats -= m_evacuationRepeats > 0 ? 1 : 0;
    return isDue ? state : std::nullopt;
  }

  agent::GatewayPresence MakePresence() const
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
    presence.m_storeEra = m_storeEra;
    return presence;
  }

  /// Announces this gateway to the aggregators of its failure domain, and the gateways
  /// of the domain to the loaders if this gateway does so; without an aggregator, this
  /// gateway alone to the loaders. Loaders of new engines learn of it at once.
  void Announce(bool aIsForAll, base::Instant aNow)
  {
    bool const isAlone = m_domain.Duty(aNow) == agent::DomainDuty::Alone;
    if (!isAlone) {
      base::Endpoint const self{ m_state.m_profile.m_address, m_state.m_profile.m_peerPort };
      OnMember(MakePresence(), self, aNow);
      if (aIsForAll) {
        auto receivers = m_domain.Aggregators();
        std::erase(receivers, self);
        m_state.m_messenger.SendToEach(receivers, MakePresence());
      }
    }
    bool const isSpeaking = isAlone || m_domain.IsSending(aNow);
    bool const isDueForAll = aIsForAll || std::exchange(m_hasMemberNews, false) ||
                             isSpeaking != std::exchange(m_wasSpeaking, isSpeaking);
    auto const revision = m_state.m_directory.Revision();
    bool const isListNew = revision != std::exchange(m_announcedRevision, revision);
    if (!isSpeaking || (!isDueForAll && !isListNew)) {
      return;
    }
    for (auto& [domain, engines] : EnginesToAnnounceTo(isDueForAll)) {
      std::vector<agent::MulticastReceiver> receivers;
      for (auto const& [endpoint, identity] : engines) {
        receivers.push_back({ { endpoint.m_address, m_state.m_profile.m_peerPort }, domain });
      }
      Multicast(receivers, isAlone ? PresenceAlone(std::move(engines))
                                   : PresenceOfDomain(std::move(engines), aNow));
    }
  }

  /// Returns all engines by failure domain, or those whose loaders have not been told
  /// of their present start.
  std::map<base::FailureDomainId, Engines> EnginesToAnnounceTo(bool aIsForAll)
  {
    Engines known;
    std::map<base::FailureDomainId, Engines> announcements;
    for (auto const& entry : m_state.m_directory.Entries()) {
      if (!m_state.IsEngine(entry.m_deployment)) {
        continue;
      }
      agent::EngineIdentity const identity{ entry.m_instance, entry.m_startedAt, entry.m_version };
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
    return announcements;
  }

  agent::FleetMessage PresenceAlone(Engines aEngines) const
  {
    auto presence = MakePresence();
    presence.m_engines = std::move(aEngines);
    return presence;
  }

  agent::FleetMessage PresenceOfDomain(Engines aEngines, base::Instant aNow)
  {
    return agent::DomainPresence{ m_state.m_profile.m_failureDomain, m_members.Gateways(aNow),
                                  m_domain.Aggregators(), std::move(aEngines) };
  }

  void Multicast(std::vector<agent::MulticastReceiver> const& aReceivers,
                 agent::FleetMessage const& aMessage)
  {
    m_state.m_messenger.Multicast(m_state.m_profile.m_failureDomain, aReceivers, aMessage);
  }

  /// Changed evacuations are listed in this many reports, as messages may be lost.
  static constexpr unsigned kEvacuationRepeats = 10;
  /// The planner keeps crashes, so that they are repeated only for one that has started
  /// or lost a message.
  static constexpr unsigned kCrashRepeatTicks = 50;
  /// A new planner knows nothing of this gateway before a complete report.
  static constexpr unsigned kFirstCompleteReports = 2;

  GatewayState& m_state;
  DomainExchange<FleetMessenger> const& m_domain;
  base::IncarnationId m_incarnation;
  PlannerSelector m_planner;
  PoolSelector m_pool;
  RequestLimitExchange m_requestLimits;
  std::optional<base::Endpoint> m_lastPlanner;
  base::Instant m_summaryAt{};
  std::map<base::ModelId, unsigned> m_reportedWaiting;
  std::set<base::FailureDomainId> m_reportedEvacuations;
  /// In how many further reports the evacuations are listed.
  unsigned m_evacuationRepeats = 0;
  unsigned m_completeReportsDue = 0;
  /// The gateways of the failure domain that announce themselves to this one.
  agent::DomainPresenceBoard m_members;
  bool m_hasMemberNews = false;
  bool m_wasSpeaking = false;
  std::uint64_t m_announcedRevision = 0;
  Engines m_announced;
  std::uint64_t m_engineSpecs = 0;
  base::StoreEra m_storeEra;
  bool m_mustAnnounceToAll = true;
  unsigned m_ticks = 0;
};

} // namespace sardinefold::programs
