#pragma once

#include "Agent/Fleet/FleetCodec.h"
#include "Agent/RetryBudget.h"
#include "Agent/SuspectRegistry.h"
#include "Base/DatagramEndpoint.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Metrics.h"
#include "Base/ProcessProfile.h"
#include "Base/Signal.h"
#include "Caller/CatalogIndex.h"
#include "Engine/DemandBoard.h"
#include "Engine/UpstreamDirectory.h"
#include "Entry/Allowance/SharedAllowance.h"

#include <map>
#include <memory>
#include <optional>

namespace sardinefold::programs {

/// When the planner expects a model to be ready, and when it said so.
struct ExpectedModel
{
  base::Instant m_readyAt{};
  base::Instant m_toldAt{};
};

/// What the sessions of one gateway share.
struct GatewayState
{
  GatewayState(base::EventLoop& aLoop, base::ProcessProfile aProfile, std::uint64_t aSeed)
    : m_loop(aLoop)
    , m_profile(std::move(aProfile))
    , m_http(aLoop, EngineClientLimits())
    , m_directory({}, m_profile.m_failureDomain, aSeed)
    , m_demand(aLoop.Now())
    , m_allowance({})
    , m_suspects(SuspectPolicy())
    , m_peers(aLoop)
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
    limits.m_connectTime = std::chrono::milliseconds(600);
    // Room for two segments lost in a row; callers leave a stream that stands
    // still for two seconds.
    limits.m_acknowledgeTime = std::chrono::milliseconds(1000);
    return limits;
  }

  /// A request was in flight as its upstream broke the connection off.
  void NoteDeath(base::FingerprintId const& aFingerprint, engine::InstanceId const& aUpstream,
                 base::Instant aNow)
  {
    agent::SuspectNews const news{ aFingerprint,
                                   base::UpstreamId::FromValidated(aUpstream.Text()),
                                   {} };
    if (m_suspects.OnNews(news, aNow)) {
      m_deaths.emplace_back(aNow, news);
    }
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

  /// The retries that this process may make to a deployment.
  agent::RetryBudget& RetriesOf(base::DeploymentId const& aDeployment, base::Instant aNow)
  {
    // The site's bound holds for all gateways and any window; each takes an
    // equal part of the fixed allowance and stays below the share.
    constexpr double kShareOfRatio = 0.8;
    constexpr double kGatewaysAssumed = 5;
    auto const found = m_retries.find(aDeployment);
    if (found != m_retries.end()) {
      return found->second;
    }
    agent::RetryBudgetLimits limits;
    limits.m_perRequest = m_profile.m_bounds.m_retryRatio * kShareOfRatio;
    limits.m_perSecond = 0;
    limits.m_maximum = m_profile.m_bounds.m_retryAllowance / kGatewaysAssumed;
    return m_retries.emplace(aDeployment, agent::RetryBudget(limits, aNow)).first->second;
  }

  base::EventLoop& m_loop;
  base::ProcessProfile m_profile;
  base::Metrics m_metrics;
  base::HttpClient m_http;
  /// Absent until the first catalog has arrived.
  std::unique_ptr<caller::CatalogIndex> m_catalog;
  engine::UpstreamDirectory m_directory;
  engine::DemandBoard m_demand;
  entry::SharedAllowance m_allowance;
  agent::SuspectRegistry m_suspects;
  std::vector<std::pair<base::Instant, agent::SuspectNews>> m_deaths;
  base::DatagramEndpoint m_peers;
  /// While the process stops, no request waits for longer.
  std::optional<base::Instant> m_lastWait;
  std::map<base::DeploymentId, agent::RetryBudget> m_retries;
  std::map<base::ModelId, std::unique_ptr<base::Signal>> m_modelSignals;
  std::map<base::ModelId, ExpectedModel> m_readyAt;
};

} // namespace sardinefold::programs
