#include "Programs/Loader/FleetPlanning.h"

#include "Base/Log.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>

namespace sardinefold::programs {

namespace {

/// Gateways report to their planner ten times a second. One that has not
/// reported for this long has chosen another planner or is unreachable.
constexpr base::Duration kReportTimeout = std::chrono::milliseconds(700);
/// A gateway without any message for this long does not count as running.
constexpr base::Duration kGatewayTimeout = std::chrono::seconds(4);
/// How long what is known of an unresponsive gateway is kept.
constexpr base::Duration kGatewayRetention = std::chrono::seconds(60);
/// Loaders send a heartbeat every 0.8 s. One that is silent for this long is given
/// nothing new to do.
constexpr base::Duration kLoaderSilence = std::chrono::milliseconds(1500);
/// After this time without any message its engine is taken to be gone. A load from the
/// weight store takes about as long, so that little is gained by loading elsewhere
/// earlier.
constexpr base::Duration kLoaderTimeout = std::chrono::seconds(6);

/// A crash of an upstream accuses all requests that it was running, so that there are
/// many at a time.
constexpr agent::CrashNewsLimits kRequestNewsLimits{ .m_newTime = std::chrono::milliseconds(300),
                                                     .m_maximumReported = 200 };

constexpr std::size_t kEpochBytes = 6;
/// Only one summary in this many carries the list of neighbours.
constexpr unsigned kTicksPerNeighbourList = 5;
constexpr unsigned kTicksPerDrainedList = 10;

} // namespace

FleetPlanning::FleetPlanning(base::ProcessProfile const& aProfile, FleetMessenger& aMessenger)
  : m_profile(aProfile)
  , m_messenger(aMessenger)
  , m_planner({ .m_parallelStoreLoads = aProfile.m_bounds.m_parallelLoads })
  , m_grants(base::RandomHex(kEpochBytes))
  , m_requestNews(kRequestNewsLimits)
{
}

void FleetPlanning::SetSpec(base::DeploymentId const& aDeployment, operators::EngineSpec aSpec)
{
  m_planner.SetSpec(aDeployment, std::move(aSpec));
}

void FleetPlanning::OnReport(agent::GatewayReport const& aReport, base::Endpoint const& aSender,
                             base::Instant aNow)
{
  auto& gateway = m_gateways[aReport.m_host];
  m_grants.OnReport(aReport.m_host, aReport.m_incarnation, aReport.m_allowance, aNow);
  gateway.m_isNew = gateway.m_isNew || gateway.m_incarnation != aReport.m_incarnation ||
                    !IsReporting(gateway, aNow);
  gateway.m_incarnation = aReport.m_incarnation;
  gateway.m_processorShare = aReport.m_processorShare;
  m_requestNews.OnReport(aReport.m_crashes, aReport.m_acquittals, aNow);
  m_partNews.OnReport(aReport.m_partCrashes, aReport.m_partAcquittals, aNow);
  gateway.m_endpoint = aSender;
  gateway.m_failureDomain = aReport.m_failureDomain;
  gateway.m_leaving = aReport.m_leaving;
  if (aReport.m_isComplete) {
    gateway.m_drained = aReport.m_drained;
  }
  if (aReport.m_evacuations) {
    gateway.m_evacuations = aReport.m_evacuations;
    OnEvacuations(*aReport.m_evacuations, aReport.m_host);
  }
  gateway.m_storeLastContactAt = aNow - aReport.m_storeAge;
  gateway.m_lastContactAt = aNow;
  m_lastPresence[aReport.m_host] = aNow;
  m_planner.OnDemand(aReport.m_host, aReport.m_demand, aReport.m_isComplete);
  m_planner.OnVersionedDemand(aReport.m_host, aReport.m_versionedDemand);
  m_requestLimits.OnDemands(aReport.m_host, aReport.m_requestLimits, aNow);
  if (aReport.m_allowance.m_isJoining) {
    // A gateway that has started refuses requests until it knows the levels; before
    // that it must know which requests crash upstreams.
    agent::PlannerNews known;
    known.m_crashes = m_requestNews.AllCrashes(aNow);
    known.m_partCrashes = m_partNews.AllCrashes(aNow);
    if (!known.IsEmpty()) {
      m_messenger.Send(aSender, known);
    }
    agent::PlannerSummary summary;
    summary.m_gatewaysPresent = static_cast<unsigned>(m_lastPresence.size());
    summary.m_allowance = m_grants.SummaryFor(aReport.m_host);
    summary.m_catalog = m_newestCatalog;
    m_messenger.Send(aSender, summary);
  }
}

void FleetPlanning::OnEvacuations(entry::EvacuationState const& aState, base::HostId const& aSource)
{
  if (m_evacuations && aState.m_version <= m_evacuations->m_version) {
    return;
  }
  auto const before = m_evacuations ? m_evacuations->m_domains : std::set<base::FailureDomainId>();
  m_evacuations = aState;
  if (before != aState.m_domains) {
    std::string domains;
    for (auto const& domain : aState.m_domains) {
      domains += (domains.empty() ? "" : " ") + domain.Text();
    }
    base::log::Info("evacuated failure domains changed",
                    { { "failure_domains", domains },
                      { "version", std::to_string(aState.m_version.Value()) },
                      { "source", aSource.Text() } });
    m_planner.SetEvacuated(aState.m_domains);
  }
}

bool FleetPlanning::LacksEvacuations(Gateway const& aGateway) const
{
  return aGateway.m_evacuations && m_evacuations &&
         aGateway.m_evacuations->m_version < m_evacuations->m_version &&
         aGateway.m_evacuations->m_domains != m_evacuations->m_domains;
}

void FleetPlanning::OnPresence(agent::GatewayPresence const& aPresence, base::Instant aNow)
{
  m_lastPresence[aPresence.m_host] = aNow;
  m_grants.OnPresence(aPresence.m_host, aPresence.m_incarnation, aNow);
  m_newestCatalog = std::max(m_newestCatalog, aPresence.m_catalog);
}

void FleetPlanning::OnStatus(agent::EngineStatus const& aStatus, base::Endpoint const& aSender,
                             base::Instant aNow)
{
  auto& loader = m_loaders[aStatus.m_host];
  if (loader.m_incarnation == aStatus.m_incarnation && loader.m_number > aStatus.m_number) {
    return;
  }
  loader = { aSender, aNow, aStatus.m_incarnation, aStatus.m_number };
  if (!aStatus.m_canOrder) {
    m_planner.RemoveEngine(aStatus.m_host);
    return;
  }
  m_planner.OnEngine({ aStatus.m_host, aStatus.m_deployment, aStatus.m_models, aStatus.m_copies,
                       aStatus.m_change.m_loading, aStatus.m_change.m_readyIn,
                       aStatus.m_change.m_unloading, aStatus.m_leavingStart.has_value(),
                       aStatus.m_failureDomain, aStatus.m_version },
                     aNow);
}

bool FleetPlanning::OnHeartbeat(agent::EngineHeartbeat const& aHeartbeat, base::Instant aNow)
{
  auto const found = m_loaders.find(aHeartbeat.m_host);
  if (found == m_loaders.end() || found->second.m_incarnation != aHeartbeat.m_incarnation ||
      found->second.m_number < aHeartbeat.m_number) {
    return false;
  }
  found->second.m_lastContactAt = aNow;
  m_planner.SetReporting(aHeartbeat.m_host);
  return true;
}

std::map<base::HostId, base::Endpoint> FleetPlanning::NeighboursIn(
  base::FailureDomainId const& aDomain, base::Instant aNow) const
{
  std::map<base::HostId, base::Endpoint> neighbours;
  for (auto const& [host, gateway] : m_gateways) {
    if (gateway.m_failureDomain == aDomain && IsReporting(gateway, aNow)) {
      neighbours.emplace(host, gateway.m_endpoint);
    }
  }
  return neighbours;
}

agent::DomainAggregators FleetPlanning::Aggregators(base::Instant aNow) const
{
  std::vector<agent::AggregatorCandidate> candidates;
  for (auto const& [host, gateway] : m_gateways) {
    if (IsReporting(gateway, aNow)) {
      candidates.push_back(
        { host, gateway.m_endpoint, gateway.m_failureDomain, gateway.m_processorShare });
    }
  }
  return agent::ChooseAggregators(std::move(candidates));
}

void FleetPlanning::Expire(base::Instant aNow)
{
  for (auto const& [host, gateway] : m_gateways) {
    if (!IsReporting(gateway, aNow)) {
      m_planner.RemoveGateway(host);
    }
  }
  std::erase_if(m_gateways, [&](auto const& aItem) {
    return aNow - aItem.second.m_lastContactAt > kGatewayRetention;
  });
  std::erase_if(m_lastPresence,
                [&](auto const& aItem) { return aNow - aItem.second > kGatewayTimeout; });
  std::erase_if(m_loaders, [&](auto const& aItem) {
    auto const silence = aNow - aItem.second.m_lastContactAt;
    if (silence > kLoaderSilence) {
      m_planner.SetSilent(aItem.first);
    }
    if (silence <= kLoaderTimeout) {
      return false;
    }
    m_planner.RemoveEngine(aItem.first);
    return true;
  });
}

void FleetPlanning::SendNews(base::Instant aNow)
{
  auto requestNews = m_requestNews.TakeDue(aNow);
  auto partNews = m_partNews.TakeDue(aNow);
  agent::PlannerNews news{ std::move(requestNews.m_crashes),
                           {},
                           {},
                           std::move(partNews.m_crashes),
                           std::move(partNews.m_acquittals),
                           std::move(requestNews.m_acquittals) };
  std::set<engine::UpstreamStart> leaving;
  std::set<engine::UpstreamStart> drained;
  std::vector<base::Endpoint> receivers;
  std::vector<base::Endpoint> newReceivers;
  for (auto& [host, gateway] : m_gateways) {
    if (!IsReporting(gateway, aNow)) {
      continue;
    }
    leaving.insert(gateway.m_leaving.begin(), gateway.m_leaving.end());
    drained.insert(gateway.m_drained.begin(), gateway.m_drained.end());
    bool const isNew = std::exchange(gateway.m_isNew, false);
    (isNew ? newReceivers : receivers).push_back(gateway.m_endpoint);
  }
  news.m_leaving.assign(leaving.begin(), leaving.end());
  if (m_ticks % kTicksPerDrainedList == 0) {
    news.m_drained.assign(drained.begin(), drained.end());
  }
  if (!news.IsEmpty()) {
    m_messenger.SendToEach(receivers, news);
  }
  // A gateway that has started knows nothing of what was before.
  news.m_drained.assign(drained.begin(), drained.end());
  news.m_crashes = m_requestNews.AllCrashes(aNow);
  news.m_partCrashes = m_partNews.AllCrashes(aNow);
  if (!news.IsEmpty()) {
    m_messenger.SendToEach(newReceivers, news);
  }
}

void FleetPlanning::UpdateRequestLimits(base::Instant aNow)
{
  m_requestLimits.Update(m_lastPresence.size(), aNow);
  for (auto const& change : m_requestLimits.TakeChanges(aNow)) {
    base::log::Info("request limit changed",
                    { { "upstream", change.m_start.m_instance.Text() },
                      { "limit", change.m_limit ? std::to_string(change.m_limit->Value()) : "" },
                      { "age_ms", std::to_string(base::ToMilliseconds(change.m_age)) } });
  }
}

void FleetPlanning::SendSummaries(base::Instant aNow)
{
  m_grants.Advance(aNow);
  std::vector<std::pair<base::HostId const*, Gateway const*>> reporting;
  for (auto const& [host, gateway] : m_gateways) {
    if (IsReporting(gateway, aNow)) {
      reporting.emplace_back(&host, &gateway);
    }
  }
  bool const listsNeighbours = m_ticks % kTicksPerNeighbourList == 0;
  auto const aggregators = listsNeighbours ? Aggregators(aNow) : agent::DomainAggregators();
  for (auto const& [host, gateway] : reporting) {
    agent::PlannerSummary summary;
    summary.m_gatewaysPresent = static_cast<unsigned>(m_lastPresence.size());
    summary.m_allowance = m_grants.SummaryFor(*host);
    summary.m_forecasts = m_planner.ForecastsFor(*host, aNow);
    summary.m_versionedForecasts = m_planner.VersionedForecastsFor(*host, aNow);
    summary.m_requestLimits = m_requestLimits.GrantsFor(*host, aNow);
    summary.m_aggregators = aggregators;
    summary.m_catalog = m_newestCatalog;
    if (LacksEvacuations(*gateway)) {
      summary.m_evacuations = m_evacuations;
    }
    if (listsNeighbours) {
      summary.m_neighbours = NeighboursIn(gateway->m_failureDomain, aNow);
    }
    for (auto const& [otherHost, other] : reporting) {
      if (otherHost != host) {
        auto const age = aNow - other->m_storeLastContactAt;
        summary.m_storeAge = std::min(summary.m_storeAge.value_or(age), age);
      }
    }
    m_messenger.Send(gateway->m_endpoint, summary);
  }
}

bool FleetPlanning::IsReporting(Gateway const& aGateway, base::Instant aNow)
{
  return aNow - aGateway.m_lastContactAt <= kReportTimeout;
}

void FleetPlanning::Tick(base::Instant aNow)
{
  Expire(aNow);
  bool const isPlanner = std::ranges::any_of(
    m_gateways, [&](auto const& aItem) { return IsReporting(aItem.second, aNow); });
  if (!isPlanner) {
    return;
  }
  auto const swaps = m_planner.Plan(aNow);
  UpdateRequestLimits(aNow);
  SendSummaries(aNow);
  SendNews(aNow);
  ++m_ticks;
  for (auto const& swap : swaps) {
    auto const loader = m_loaders.find(swap.m_loader);
    if (loader == m_loaders.end()) {
      continue;
    }
    agent::SwapRequest const request{ swap.m_load, swap.m_unload };
    m_messenger.Send(loader->second.m_endpoint, request);
    base::log::Info("swap planned",
                    { { "loader", swap.m_loader.Text() },
                      { "load", swap.m_load.Text() },
                      { "unload", swap.m_unload.empty() ? "" : swap.m_unload.front().Text() } });
  }
}

} // namespace sardinefold::programs
