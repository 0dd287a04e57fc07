#pragma once

#include "Agent/CrashRegistry.h"
#include "Agent/RetryBudget.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Base/ProcessProfile.h"
#include "Base/Signal.h"
#include "Caller/CatalogIndex.h"
#include "Caller/ResponseMemoryBudget.h"
#include "Caller/StopPolicy.h"
#include "Caller/WaitPolicy.h"
#include "Engine/DemandTracker.h"
#include "Engine/UpstreamDirectory.h"
#include "Entry/Allowance/SharedAllowance.h"
#include "Entry/Relay/CatalogProgress.h"
#include "Entry/Relay/EvacuationRegister.h"
#include "Programs/FleetMessenger.h"
#include "Programs/Gateway/Attempt.h"
#include "Programs/Gateway/OpenRequests.h"
#include "Programs/Gateway/StoreFollowerTiming.h"
#include "Programs/Gateway/StreamOriginExchange.h"
#include "Programs/Gateway/SubjectStateLog.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace sardinefold::programs {

/// The state that the sessions of a gateway share.
struct GatewayState
{
  GatewayState(base::EventLoop& aLoop, base::ProcessProfile aProfile, std::uint64_t aSeed)
    : m_loop(aLoop)
    , m_profile(std::move(aProfile))
    , m_followsEvacuations(m_profile.m_bounds.m_maximumEvacuationDelay.has_value())
    , m_http(aLoop, EngineClientLimits(m_profile))
    , m_responseMemory(ResponseMemoryOf(m_profile.m_memoryLimit))
    , m_evacuations(EvacuationPolicy(m_profile.m_bounds))
    , m_directory(DirectoryPolicy(m_profile.m_bounds), m_profile.m_failureDomain, aSeed)
    , m_demand(aLoop.Now())
    , m_allowance({}, aSeed)
    , m_suspects(agent::CrashLimits::ForRequests(), aSeed)
    , m_suspectParts({}, aSeed)
    , m_suspectSignal(aLoop.Context())
    , m_messenger(aLoop)
    , m_streamOrigins(aLoop, m_messenger)
  {
  }

  static entry::EvacuationLimits EvacuationPolicy(base::SiteBounds const& aBounds)
  {
    entry::EvacuationLimits limits;
    limits.m_lastUse = StoreFollowerTiming::EvacuationAge(aBounds);
    return limits;
  }

  static engine::DirectoryLimits DirectoryPolicy(base::SiteBounds const& aBounds)
  {
    engine::DirectoryLimits limits;
    limits.m_maximumDrainDelay = aBounds.m_maximumDrainDelay;
    // A removal takes up to a drain delay to arrive here.
    limits.m_silenceTime = 3 * aBounds.m_heartbeatInterval + aBounds.m_maximumDrainDelay;
    return limits;
  }

  static base::HttpClientLimits EngineClientLimits(base::ProcessProfile const& aProfile = {})
  {
    // Callers, requests under way, the store and files need the larger part.
    constexpr std::size_t kIdleShare = 4;
    constexpr base::Bytes kHeaderBytes{ 8 * 1024 };
    base::HttpClientLimits limits;
    limits.m_headerBytes = kHeaderBytes;
    limits.m_idle.m_total = aProfile.m_descriptorLimit / kIdleShare;
    // Shorter than the idle timeout of every server in the fleet.
    limits.m_idle.m_timeout = std::chrono::seconds(4);
    // Connecting within a site takes a few milliseconds; a lost packet is
    // retransmitted within a second.
    limits.m_connectTimeout = agent::CrashLimits().m_connectTimeout;
    // Allows for two consecutive lost segments; callers abandon a stream that
    // stalls for two seconds.
    limits.m_acknowledgeTimeout = std::chrono::milliseconds(1000);
    return limits;
  }

  /// The part of the process's memory for buffered responses. They may take twice
  /// their size while they grow, and connections, the catalog and the list of
  /// upstreams need the larger part.
  static base::Bytes ResponseMemoryOf(base::Bytes aMemory)
  {
    constexpr std::int64_t kShare = 8;
    return base::Bytes(aMemory.Value() / kShare);
  }

  /// Records that an upstream closed the connection while a request that was sent at
  /// aSentAt was in flight.
  void RecordCrash(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream,
                   base::Instant aSentAt, base::Instant aNow)
  {
    m_suspects.OnCrash({ aFingerprint }, aUpstream, aSentAt, aNow);
    OnRequestChanges("own");
  }

  /// Handles the news of other gateways on requests that may crash upstreams.
  void OnRequestNews(std::vector<agent::RequestCrashReport> const& aCrashes,
                     std::vector<agent::RequestAcquittal> const& aAcquittals,
                     base::Endpoint const& aToldBy)
  {
    m_suspects.OnAcquittals(aAcquittals, m_loop.Now());
    for (auto const& crash : m_suspects.OnCrashReports(aCrashes, m_loop.Now())) {
      base::log::Warning("request may have ended its upstream",
                         { { "fingerprint", crash.m_subject.Text() },
                           { "upstream", crash.m_upstream.Text() },
                           { "told_by", aToldBy.Text() } });
    }
    OnRequestChanges(aToldBy.Text());
  }

  void OnRequestChanges(std::string const& aToldBy)
  {
    RecordStateChanges(m_suspects, kRequestStateNames, aToldBy, m_metrics);
  }

  void RecordSent(Attempt const& aAttempt)
  {
    m_directory.OnSent(aAttempt.m_upstream.m_instance, aAttempt.m_upstream.m_work);
    m_suspectParts.OnSent(aAttempt.m_parts);
    if (aAttempt.m_isSuspected) {
      m_directory.OnSuspectedSent(aAttempt.m_upstream.m_instance);
    }
  }

  /// Records that the answer of an attempt begins, or that the attempt ends without
  /// one.
  void RecordAnswered(Attempt const& aAttempt)
  {
    m_suspectParts.OnAnswered(aAttempt.m_parts);
    if (aAttempt.m_isSuspected) {
      m_directory.OnSuspectedAnswered(aAttempt.m_upstream.m_instance);
    }
    m_suspectSignal.Notify();
  }

  /// Records that an upstream began to answer.
  void RecordBeginning(Attempt const& aAttempt)
  {
    RecordAnswerTime(aAttempt);
    m_suspectParts.OnBegun(aAttempt.m_parts, IncarnationOf(aAttempt.m_upstream), aAttempt.m_sentAt,
                           m_loop.Now());
    OnPartChanges("own");
  }

  /// Compares the time of an answer with the estimate that its upstream was chosen by.
  void RecordAnswerTime(Attempt const& aAttempt)
  {
    auto const time = m_loop.Now() - aAttempt.m_sentAt;
    m_directory.OnAnswerTime(aAttempt.m_upstream, time);
    if (auto const expected = aAttempt.m_upstream.m_loadEstimate.m_answerTime) {
      bool const isLater = time > 2 * *expected;
      bool const isEarlier = 2 * time < *expected;
      m_metrics
        .Counter("sardinefold_gateway_answer_estimates_total",
                 "Answers by when they began, beside the estimate at the choice.",
                 { { "outcome", isLater     ? "later"
                                : isEarlier ? "earlier"
                                            : "as expected" } })
        .Increment();
    }
  }

  /// Handles the news of other gateways on prompt parts.
  void OnPartNews(std::vector<agent::PartCrashReport> const& aCrashes,
                  std::vector<agent::PartAcquittal> const& aAcquittals,
                  base::Endpoint const& aToldBy)
  {
    m_suspectParts.OnAcquittals(aAcquittals, m_loop.Now());
    m_suspectParts.OnCrashReports(aCrashes, m_loop.Now());
    OnPartChanges(aToldBy.Text());
  }

  void ExpireSuspects()
  {
    m_suspects.Tick(m_loop.Now());
    OnRequestChanges("own");
    m_suspectParts.Tick(m_loop.Now());
    OnPartChanges("own");
  }

  /// Wakes the requests that wait for a prompt part if one changed its state.
  void OnPartChanges(std::string const& aToldBy)
  {
    if (RecordStateChanges(m_suspectParts, kPartStateNames, aToldBy, m_metrics)) {
      NotifyAll();
    }
  }

  void RecordFailure(engine::UpstreamChoice const& aUpstream, std::string_view aReason)
  {
    LogPause(aUpstream, aReason, m_directory.OnFailed(aUpstream.m_instance, m_loop.Now()));
  }

  /// Closes the idle connections to upstreams that are out of use or have started again.
  void CloseUnusedConnections()
  {
    for (auto const& endpoint : m_directory.TakeEndedEndpoints()) {
      m_http.CloseIdle(endpoint);
    }
  }

  /// Records that an upstream did not respond, or did not complete its response,
  /// in time.
  void RecordUnresponsive(engine::UpstreamChoice const& aUpstream, std::string_view aReason)
  {
    LogPause(aUpstream, aReason, m_directory.OnStuck(aUpstream.m_instance, m_loop.Now()));
    m_http.CloseIdle(aUpstream.m_endpoint);
  }

  static void LogPause(engine::UpstreamChoice const& aUpstream, std::string_view aReason,
                       std::optional<base::Duration> aPause)
  {
    if (aPause) {
      base::log::Warning("upstream paused",
                         { { "upstream", aUpstream.m_instance.Text() },
                           { "reason", std::string(aReason) },
                           { "pause_ms", std::to_string(base::ToMilliseconds(*aPause)) } });
    }
  }

  /// Accuses the parts of an attempt whose connection was closed. One that had
  /// begun shows only that the upstream may have crashed for another reason.
  void RecordPartCrash(Attempt const& aAttempt, bool aHasBegun)
  {
    if (aHasBegun || aAttempt.m_parts.empty()) {
      return;
    }
    m_suspectParts.OnCrash(aAttempt.m_parts, IncarnationOf(aAttempt.m_upstream), aAttempt.m_sentAt,
                           m_loop.Now());
    OnPartChanges("own");
  }

  /// Records that an attempt failed with a transport error. aEnd is the deadline
  /// of the request.
  void RecordTransportFailure(base::HttpFailure const& aFailure, Attempt const& aAttempt,
                              bool aHasBegun, base::Instant aEnd)
  {
    auto const& upstream = aAttempt.m_upstream;
    using Kind = base::HttpFailure::Kind;
    if (aFailure.m_kind == Kind::Withdrawn) {
      return;
    }
    auto const now = m_loop.Now();
    bool const isUnresponsive =
      now < aEnd && !aFailure.m_isConnectionRefused &&
      (aFailure.m_kind == Kind::TimedOut || aFailure.m_kind == Kind::ConnectFailed);
    if (isUnresponsive || aFailure.m_kind == Kind::TooLarge) {
      RecordUnresponsive(upstream, ToText(aFailure.m_kind));
      return;
    }
    RecordFailure(upstream, ToText(aFailure.m_kind));
    // A connection that closes without a response may mean that the upstream has
    // crashed.
    if (aFailure.m_kind == Kind::ConnectionClosed) {
      RecordCrash(aAttempt.m_fingerprint, IncarnationOf(upstream), aAttempt.m_sentAt, now);
      RecordPartCrash(aAttempt, aHasBegun);
    }
  }

  /// Records that an upstream responded.
  void RecordResponse(Attempt const& aAttempt, bool aIsServed)
  {
    std::vector<base::FingerprintId> served;
    if (aIsServed) {
      served.push_back(aAttempt.m_fingerprint);
    }
    m_suspects.OnBegun(served, IncarnationOf(aAttempt.m_upstream), aAttempt.m_sentAt, m_loop.Now());
    OnRequestChanges("own");
    if (aIsServed) {
      m_directory.OnServed(aAttempt.m_upstream.m_instance);
    }
  }

  /// Identifies one run of an upstream, as a restart keeps the upstream's name.
  static base::UpstreamId IncarnationOf(engine::UpstreamChoice const& aUpstream)
  {
    return base::UpstreamId::FromValidated(aUpstream.m_instance.Text() + "-" +
                                           std::to_string(aUpstream.m_startedAt));
  }

  /// Returns when the model of a request is expected to be loaded where it may run, if a
  /// forecast is known.
  std::optional<caller::ModelForecast> ForecastFor(engine::UpstreamQuery const& aQuery) const
  {
    if (!aQuery.m_model) {
      return std::nullopt;
    }
    if (aQuery.m_version) {
      auto const found = m_versionedForecasts.find({ *aQuery.m_model, *aQuery.m_version });
      return found == m_versionedForecasts.end() ? std::nullopt : std::optional(found->second);
    }
    auto const found = m_modelForecasts.find(*aQuery.m_model);
    return found == m_modelForecasts.end() ? std::nullopt : std::optional(found->second);
  }

  /// Returns the upstreams to report to the planner as leaving. Each one is
  /// reported several times, since messages may be lost.
  std::vector<engine::UpstreamStart> LeavingToReport(base::Instant aNow) const
  {
    static constexpr base::Duration kReportTime = std::chrono::milliseconds(500);
    return m_directory.Leaving().ReadSince(aNow - kReportTime);
  }

  /// The signal that wakes requests waiting for a model.
  base::Signal& ModelSignal(base::ModelId const& aModel)
  {
    auto& signal = m_modelSignals[aModel];
    if (!signal) {
      signal = std::make_unique<base::Signal>(m_loop.Context());
    }
    return *signal;
  }

  /// Whether the upstreams of the deployment are engines, which have loaders.
  bool IsEngine(base::DeploymentId const& aDeployment) const
  {
    auto const* const deployment = m_catalog ? m_catalog->FindDeployment(aDeployment) : nullptr;
    return deployment && deployment->m_engine;
  }

  /// Whether all known upstreams of the deployment run the same software.
  bool HasOneVersion(base::DeploymentId const& aDeployment) const
  {
    std::set<base::SoftwareVersion> versions;
    for (auto const& entry : m_directory.Entries()) {
      if (entry.m_deployment == aDeployment) {
        versions.insert(entry.m_version);
      }
    }
    return versions.size() <= 1;
  }

  /// Where the origins of streams are kept, at the loaders of all known engines.
  StreamOriginExchange& StreamOrigins()
  {
    std::pair const state(m_directory.Revision(),
                          m_catalog ? m_catalog->Catalog().m_version : base::CatalogVersion());
    if (state != std::exchange(m_loadersState, state)) {
      m_streamOrigins.SetLoaders(Loaders());
    }
    return m_streamOrigins;
  }

  std::vector<base::Endpoint> Loaders() const
  {
    std::set<base::Endpoint> loaders;
    for (auto const& entry : m_directory.Entries()) {
      if (IsEngine(entry.m_deployment)) {
        loaders.insert({ entry.m_endpoint.m_address, m_profile.m_peerPort });
      }
    }
    return { loaders.begin(), loaders.end() };
  }

  /// Wakes all requests that wait.
  void NotifyAll()
  {
    for (auto const& [model, signal] : m_modelSignals) {
      signal->Notify();
    }
    m_suspectSignal.Notify();
  }

  /// The budget for this process's retries to a deployment.
  agent::RetryBudget& RetryBudgetOf(base::DeploymentId const& aDeployment, base::Instant aNow)
  {
    auto found = m_retryBudgets.find(aDeployment);
    if (found == m_retryBudgets.end()) {
      found = m_retryBudgets.emplace(aDeployment, agent::RetryBudget(RetryLimits(), aNow)).first;
    }
    return found->second;
  }

  /// Sets the number of gateways, as reported by the planner or a loader.
  void OnGatewaysPresent(unsigned aGateways)
  {
    if (m_gatewaysPresent == aGateways) {
      return;
    }
    m_gatewaysPresent = aGateways;
    m_directory.SetGateways(aGateways);
    OnRetryBoundsChanged();
  }

  void OnRetryBoundsChanged()
  {
    for (auto& [deployment, budget] : m_retryBudgets) {
      budget.SetLimits(RetryLimits());
    }
  }

  /// The site's bound on retries applies to all gateways together in any window;
  /// each gateway gets an equal part of the fixed allowance.
  agent::RetryBudgetLimits RetryLimits() const
  {
    // Below 1, as a gateway that restarts within a window accumulates a new
    // allowance.
    constexpr double kShareOfAllowance = 0.6;
    constexpr double kShareOfRatio = 0.8;
    // The number of gateways while none has been reported.
    constexpr unsigned kAssumedGateways = 32;
    auto const gateways = std::max(m_gatewaysPresent.value_or(kAssumedGateways), 1U);
    agent::RetryBudgetLimits limits;
    limits.m_perRequest = m_profile.m_bounds.m_retryRatio * kShareOfRatio;
    limits.m_perSecond = 0;
    limits.m_maximum = m_profile.m_bounds.m_retryAllowance * kShareOfAllowance / gateways;
    return limits;
  }

  /// Whether the process does not know yet which failure domains are evacuated.
  bool AwaitsEvacuations() const { return m_followsEvacuations && !m_evacuations.State(); }

  /// Sets which upstreams warm up, by the catalog and the site's bounds.
  void OnWarmUpTermsChanged()
  {
    std::map<base::DeploymentId, engine::WarmUpTerms> terms;
    if (m_catalog) {
      for (auto const& [id, deployment] : m_catalog->Catalog().m_deployments) {
        if (deployment.m_warmUp) {
          terms.emplace(id, engine::ToWarmUpTerms(*deployment.m_warmUp, m_profile.m_bounds));
        }
      }
    }
    m_directory.WarmUps().SetTerms(std::move(terms));
  }

  /// What the process may still begin, also while it stops.
  caller::StopPolicy Stop() const { return { m_waitDeadline, m_stopEnd }; }

  base::EventLoop& m_loop;
  base::ProcessProfile m_profile;
  /// Whether the site has evacuations, as of the start of the process.
  bool m_followsEvacuations;
  base::Metrics m_metrics;
  base::HttpClient m_http;
  caller::ResponseMemoryBudget m_responseMemory;
  /// Null until the first catalog has arrived.
  std::unique_ptr<caller::CatalogIndex> m_catalog;
  entry::CatalogProgress m_catalogProgress;
  entry::EvacuationRegister m_evacuations;
  engine::UpstreamDirectory m_directory;
  engine::DemandTracker m_demand;
  entry::SharedAllowance m_allowance;
  /// The latest upstream with a malformed announcement that has not been logged.
  std::optional<engine::InstanceId> m_malformedNotice;
  agent::CrashRegistry<base::FingerprintId> m_suspects;
  agent::CrashRegistry<base::PromptPartId> m_suspectParts;
  /// Wakes requests with suspected parts, of which one runs at a time.
  base::Signal m_suspectSignal;
  FleetMessenger m_messenger;
  StreamOriginExchange m_streamOrigins;
  /// The revision of the list and the catalog that the loaders were taken from.
  std::pair<std::uint64_t, base::CatalogVersion> m_loadersState;
  /// While the process shuts down, the end of all waits for a model.
  std::optional<base::Instant> m_waitDeadline;
  /// While the process shuts down, the end of all requests.
  std::optional<base::Instant> m_stopEnd;
  /// While the process shuts down: it has served its last request.
  bool m_hasStoppedGranting = false;
  OpenRequests m_openRequests;
  /// Requests that were refused as the process stops.
  std::size_t m_refusedByStop = 0;
  std::map<base::DeploymentId, agent::RetryBudget> m_retryBudgets;
  std::map<base::ModelId, std::unique_ptr<base::Signal>> m_modelSignals;
  std::map<base::ModelId, caller::ModelForecast> m_modelForecasts;
  std::map<engine::VersionedModel, caller::ModelForecast> m_versionedForecasts;
  engine::VersionedDemand m_versionedDemand;
  /// Number of gateways in the fleet, including this one; empty until reported.
  std::optional<unsigned> m_gatewaysPresent;
};

} // namespace sardinefold::programs
