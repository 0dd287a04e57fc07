#pragma once

#include "Agent/RetryBudget.h"
#include "Agent/SuspectRegistry.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Base/ProcessProfile.h"
#include "Base/Signal.h"
#include "Caller/CatalogIndex.h"
#include "Caller/ResponseMemoryBudget.h"
#include "Caller/WaitPolicy.h"
#include "Engine/DemandTracker.h"
#include "Engine/UpstreamDirectory.h"
#include "Entry/Allowance/SharedAllowance.h"
#include "Programs/FleetMessenger.h"

#include <map>
#include <memory>
#include <optional>

namespace sardinefold::programs {

/// The state that the sessions of a gateway share.
struct GatewayState
{
  GatewayState(base::EventLoop& aLoop, base::ProcessProfile aProfile, std::uint64_t aSeed)
    : m_loop(aLoop)
    , m_profile(std::move(aProfile))
    , m_http(aLoop, EngineClientLimits())
    , m_responseMemory(ResponseMemoryOf(m_profile.m_memoryLimit))
    , m_directory(DirectoryPolicy(m_profile.m_bounds), m_profile.m_failureDomain, aSeed)
    , m_demand(aLoop.Now())
    , m_allowance({})
    , m_suspects(SuspectPolicy())
    , m_messenger(aLoop)
  {
  }

  static agent::SuspectLimits SuspectPolicy()
  {
    agent::SuspectLimits limits;
    // Connections also close for other reasons, so that two are no proof; the
    // site bounds the crashes after the third.
    limits.m_upstreams = 3;
    return limits;
  }

  static engine::DirectoryLimits DirectoryPolicy(base::SiteBounds const& aBounds)
  {
    engine::DirectoryLimits limits;
    limits.m_maximumDrainDelay = aBounds.m_maximumDrainDelay;
    return limits;
  }

  static base::HttpClientLimits EngineClientLimits()
  {
    base::HttpClientLimits limits;
    // Connecting within a site takes a few milliseconds; a lost packet is
    // retransmitted within a second.
    limits.m_connectTimeout = std::chrono::milliseconds(600);
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

  /// Records that an upstream closed the connection while the request was in
  /// flight.
  void RecordCrash(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream,
                   base::Instant aNow)
  {
    agent::CrashReport const news{ aFingerprint, aUpstream, {} };
    if (m_suspects.OnCrashReport(news, aNow)) {
      m_recentCrashes.emplace_back(aNow, news);
    }
  }

  void RecordFailure(engine::UpstreamChoice const& aUpstream, std::string_view aReason)
  {
    LogPause(aUpstream, aReason, m_directory.OnFailed(aUpstream.m_instance, m_loop.Now()));
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

  /// Records that an attempt failed with a transport error. aEnd is the deadline
  /// of the request.
  void RecordTransportFailure(base::HttpFailure const& aFailure,
                              base::FingerprintId const& aFingerprint,
                              engine::UpstreamChoice const& aUpstream, base::Instant aEnd)
  {
    using Kind = base::HttpFailure::Kind;
    if (aFailure.m_kind == Kind::Withdrawn) {
      return;
    }
    auto const now = m_loop.Now();
    bool const isUnresponsive =
      now < aEnd && !aFailure.m_isConnectionRefused &&
      (aFailure.m_kind == Kind::TimedOut || aFailure.m_kind == Kind::ConnectFailed);
    if (isUnresponsive || aFailure.m_kind == Kind::TooLarge) {
      RecordUnresponsive(aUpstream, ToText(aFailure.m_kind));
      return;
    }
    RecordFailure(aUpstream, ToText(aFailure.m_kind));
    // A connection that closes without a response may mean that the upstream has
    // crashed.
    if (aFailure.m_kind == Kind::ConnectionClosed) {
      RecordCrash(aFingerprint, IncarnationOf(aUpstream), now);
    }
  }

  /// Records that an upstream responded to a request that was sent at aSentAt.
  void RecordResponse(engine::UpstreamChoice const& aUpstream,
                      base::FingerprintId const& aFingerprint, base::Instant aSentAt,
                      bool aIsServed)
  {
    m_suspects.OnResponse(IncarnationOf(aUpstream), aSentAt);
    if (aIsServed) {
      m_suspects.OnServed(aFingerprint);
      m_directory.OnServed(aUpstream.m_instance);
    }
  }

  /// Identifies one run of an upstream, as a restart keeps the upstream's name.
  static base::UpstreamId IncarnationOf(engine::UpstreamChoice const& aUpstream)
  {
    return base::UpstreamId::FromValidated(aUpstream.m_instance.Text() + "-" +
                                           std::to_string(aUpstream.m_startedAt));
  }

  /// Returns when a model is expected to be loaded, if a forecast is known.
  std::optional<caller::ModelForecast> ForecastFor(std::optional<base::ModelId> const& aModel) const
  {
    auto const found = aModel ? m_modelForecasts.find(*aModel) : m_modelForecasts.end();
    return found == m_modelForecasts.end() ? std::nullopt : std::optional(found->second);
  }

  /// Returns the crashes to report to the planner. Each one is reported several
  /// times, since messages may be lost.
  std::vector<agent::CrashReport> CrashesToReport(base::Instant aNow)
  {
    static constexpr base::Duration kReportTime = std::chrono::milliseconds(500);
    std::erase_if(m_recentCrashes,
                  [aNow](auto const& aCrash) { return aNow - aCrash.first > kReportTime; });
    std::vector<agent::CrashReport> news;
    for (auto const& [at, crash] : m_recentCrashes) {
      news.push_back(crash);
      news.back().m_age = aNow - at;
    }
    return news;
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

  /// Wakes all requests that wait for a model.
  void NotifyAll()
  {
    for (auto const& [model, signal] : m_modelSignals) {
      signal->Notify();
    }
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

  base::EventLoop& m_loop;
  base::ProcessProfile m_profile;
  base::Metrics m_metrics;
  base::HttpClient m_http;
  caller::ResponseMemoryBudget m_responseMemory;
  /// Null until the first catalog has arrived.
  std::unique_ptr<caller::CatalogIndex> m_catalog;
  engine::UpstreamDirectory m_directory;
  engine::DemandTracker m_demand;
  entry::SharedAllowance m_allowance;
  /// The latest upstream with a malformed announcement that has not been logged.
  std::optional<engine::InstanceId> m_malformedNotice;
  agent::SuspectRegistry m_suspects;
  std::vector<std::pair<base::Instant, agent::CrashReport>> m_recentCrashes;
  FleetMessenger m_messenger;
  /// While the process shuts down, the end of all waits for a model.
  std::optional<base::Instant> m_waitDeadline;
  std::map<base::DeploymentId, agent::RetryBudget> m_retryBudgets;
  std::map<base::ModelId, std::unique_ptr<base::Signal>> m_modelSignals;
  std::map<base::ModelId, caller::ModelForecast> m_modelForecasts;
  /// Number of gateways in the fleet, including this one; empty until reported.
  std::optional<unsigned> m_gatewaysPresent;
};

} // namespace sardinefold::programs
