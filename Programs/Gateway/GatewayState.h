#pragma once

#include "Agent/Fleet/FleetCodec.h"
#include "Agent/RetryBudget.h"
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
    , m_allowance({})
    , m_peers(aLoop)
  {
  }

  static base::HttpClientLimits EngineClientLimits()
  {
    base::HttpClientLimits limits;
    // Links within a site take a few milliseconds; a lost packet is sent again
    // within a second.
    limits.m_connectTime = std::chrono::milliseconds(600);
    return limits;
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
  base::DatagramEndpoint m_peers;
  /// While the process stops, no request waits for longer.
  std::optional<base::Instant> m_lastWait;
  std::map<base::DeploymentId, agent::RetryBudget> m_retries;
  std::map<base::ModelId, std::unique_ptr<base::Signal>> m_modelSignals;
  std::map<base::ModelId, ExpectedModel> m_readyAt;
};

} // namespace sardinefold::programs
