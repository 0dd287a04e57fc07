#pragma once

#include "Agent/RetryBudget.h"
#include "Agent/SuspectRegistry.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Base/ProcessProfile.h"
#include "Base/Signal.h"
#include "Caller/AnswerMemory.h"
#include "Caller/CatalogIndex.h"
#include "Caller/WaitPolicy.h"
#include "Engine/DemandBoard.h"
#include "Engine/UpstreamDirectory.h"
#include "Entry/Allowance/SharedAllowance.h"
#include "Programs/FleetPost.h"

#include <map>
#include <memory>
#include <optional>

namespace sardinefold::programs {

/// What the sessions of one gateway share.
struct GatewayState
{
  GatewayState(base::EventLoop& aLoop, base::ProcessProfile aProfile, std::uint64_t aSeed)
    : m_loop(aLoop)
    , m_profile(std::move(aProfile))
    , m_http(aLoop, EngineClientLimits())
    , m_answerMemory(AnswerShareOf(m_profile.m_memoryLimit))
    , m_directory({}, m_profile.m_failureDomain, aSeed)
    , m_demand(aLoop.Now())
    , m_allowance({})
    , m_suspects(SuspectPolicy())
    , m_post(aLoop)
  {
  }

  static agent::SuspectLimits SuspectPolicy()
  {
    agent::SuspectLimits limits;
    // Connections also break for other reasons, so that two are no proof; the
    // site bounds what follows the third.
    limits.m_upstreams = 3;
    return limits;
  }

  static base::HttpClientLimits EngineClientLimits()
  {
    base::HttpClientLimits limits;
    // Links within a site take a few milliseconds; a lost packet is sent again
    // within a second.
    limits.m_connectTimeout = std::chrono::milliseconds(600);
    // Room for two segments lost in a row; callers leave a stream that stands
    // still for two seconds.
    limits.m_acknowledgeTimeout = std::chrono::milliseconds(1000);
    return limits;
  }

  /// Held answers may take twice their size while they grow, and connections,
  /// the catalog and the list need the larger part.
  static base::Bytes AnswerShareOf(base::Bytes aMemory)
  {
    constexpr std::int64_t kShare = 8;
    return base::Bytes(aMemory.Value() / kShare);
  }

  /// A request was in flight as its upstream broke the connection off.
  void NoteDeath(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream,
                 base::Instant aNow)
  {
    agent::SuspectNews const news{ aFingerprint, aUpstream, {} };
    if (m_suspects.OnNews(news, aNow)) {
      m_deaths.emplace_back(aNow, news);
    }
  }

  /// An upstream failed a request.
  void NoteFailure(engine::UpstreamChoice const& aUpstream, std::string_view aReason)
  {
    LogPause(aUpstream, aReason, m_directory.OnFailed(aUpstream.m_instance, m_loop.Now()));
  }

  /// An upstream's answer has no end, or none in time.
  void NoteStuck(engine::UpstreamChoice const& aUpstream, std::string_view aReason)
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

  /// A sending to an upstream failed before aEnd, the request's own end.
  void NoteBreak(base::HttpFailure const& aFailure, base::FingerprintId const& aFingerprint,
                 engine::UpstreamChoice const& aUpstream, base::Instant aEnd)
  {
    using Kind = base::HttpFailure::Kind;
    if (aFailure.m_kind == Kind::Withdrawn) {
      return;
    }
    auto const now = m_loop.Now();
    bool const isSilent =
      now < aEnd && !aFailure.m_isConnectionRefused &&
      (aFailure.m_kind == Kind::TimedOut || aFailure.m_kind == Kind::ConnectFailed);
    if (isSilent || aFailure.m_kind == Kind::TooLarge) {
      NoteStuck(aUpstream, ToText(aFailure.m_kind));
      return;
    }
    NoteFailure(aUpstream, ToText(aFailure.m_kind));
    // A connection that closes without an answer may be an upstream that died.
    if (aFailure.m_kind == Kind::ConnectionClosed) {
      NoteDeath(aFingerprint, StartOf(aUpstream), now);
    }
  }

  /// An upstream answered a request that was sent at the given time.
  void NoteAnswer(engine::UpstreamChoice const& aUpstream, base::FingerprintId const& aFingerprint,
                  base::Instant aSentAt, bool aIsServed)
  {
    m_suspects.OnAlive(StartOf(aUpstream), aSentAt);
    if (aIsServed) {
      m_suspects.OnServed(aFingerprint);
      m_directory.OnServed(aUpstream.m_instance);
    }
  }

  /// Names one start of an upstream: after a restart under the same name it is
  /// another one.
  static base::UpstreamId StartOf(engine::UpstreamChoice const& aUpstream)
  {
    return base::UpstreamId::FromValidated(aUpstream.m_instance.Text() + "-" +
                                           std::to_string(aUpstream.m_startedAt));
  }

  /// When a model is expected, if anyone has told.
  std::optional<caller::ExpectedModel> ExpectedAt(std::optional<base::ModelId> const& aModel) const
  {
    auto const found = aModel ? m_readyAt.find(*aModel) : m_readyAt.end();
    return found == m_readyAt.end() ? std::nullopt : std::optional(found->second);
  }

  /// The deaths to tell the others. Each is told several times, since messages
  /// may be lost.
  std::vector<agent::SuspectNews> TakeDeaths(base::Instant aNow)
  {
    static constexpr base::Duration kTellingTime = std::chrono::milliseconds(500);
    std::erase_if(m_deaths,
                  [aNow](auto const& aDeath) { return aNow - aDeath.first > kTellingTime; });
    std::vector<agent::SuspectNews> news;
    for (auto const& [at, death] : m_deaths) {
      news.push_back(death);
      news.back().m_age = aNow - at;
    }
    return news;
  }

  /// The signal for those who wait for a model.
  base::Signal& ModelSignal(base::ModelId const& aModel)
  {
    auto& signal = m_modelSignals[aModel];
    if (!signal) {
      signal = std::make_unique<base::Signal>(m_loop.Context());
    }
    return *signal;
  }

  /// Makes all that wait for a model look again.
  void NotifyAll()
  {
    for (auto const& [model, signal] : m_modelSignals) {
      signal->Notify();
    }
  }

  /// The retries that this process may make to a deployment.
  agent::RetryBudget& RetriesOf(base::DeploymentId const& aDeployment, base::Instant aNow)
  {
    auto found = m_retries.find(aDeployment);
    if (found == m_retries.end()) {
      found = m_retries.emplace(aDeployment, agent::RetryBudget(RetryLimits(), aNow)).first;
    }
    return found->second;
  }

  /// How many gateways there are, by the planner or by a loader.
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
    for (auto& [deployment, budget] : m_retries) {
      budget.SetLimits(RetryLimits());
    }
  }

  /// The site's bound holds for all gateways in any window; each takes an equal
  /// part of the fixed allowance.
  agent::RetryBudgetLimits RetryLimits() const
  {
    // Below 1, as a gateway that restarts within a window saves up anew.
    constexpr double kShareOfAllowance = 0.6;
    constexpr double kShareOfRatio = 0.8;
    // A fleet that nobody has told the size of.
    constexpr unsigned kUnknownGateways = 32;
    auto const gateways = std::max(m_gatewaysPresent.value_or(kUnknownGateways), 1U);
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
  caller::AnswerMemory m_answerMemory;
  /// Absent until the first catalog has arrived.
  std::unique_ptr<caller::CatalogIndex> m_catalog;
  engine::UpstreamDirectory m_directory;
  engine::DemandBoard m_demand;
  entry::SharedAllowance m_allowance;
  agent::SuspectRegistry m_suspects;
  std::vector<std::pair<base::Instant, agent::SuspectNews>> m_deaths;
  FleetPost m_post;
  /// While the process stops, no request waits for longer.
  std::optional<base::Instant> m_lastWait;
  std::map<base::DeploymentId, agent::RetryBudget> m_retries;
  std::map<base::ModelId, std::unique_ptr<base::Signal>> m_modelSignals;
  std::map<base::ModelId, caller::ExpectedModel> m_readyAt;
  /// Gateways of the fleet, this one included; none while nobody has told.
  std::optional<unsigned> m_gatewaysPresent;
};

} // namespace sardinefold::programs
