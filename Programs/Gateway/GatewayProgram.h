#pragma once

#include "Base/Http/HttpServer.h"
#include "Programs/Gateway/DomainExchange.h"
#include "Programs/Gateway/FleetReporter.h"
#include "Programs/Gateway/ForwardSession.h"
#include "Programs/Gateway/StoreFollower.h"
#include "Programs/LoopMonitor.h"
#include "Programs/MetricsEndpoint.h"
#include "Programs/SettingsFollower.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// The process on an entry host, which forwards callers' requests to engines and
/// services.
template<ServingWire Wire>
class GatewayProgram
{
public:
  GatewayProgram(base::EventLoop& aLoop, base::ProcessProfile aProfile)
    : m_loop(aLoop)
    , m_state(aLoop, std::move(aProfile), base::RandomNumber())
    , m_door(std::make_shared<base::HttpBudget>(base::HttpBudgetLimits::Of(
        m_state.m_profile.m_memoryLimit, m_state.m_profile.m_descriptorLimit)))
    , m_callers(
        aLoop, {}, [this](base::HttpExchange& aExchange) { return Handle(aExchange); }, RenderError)
    , m_readiness(
        aLoop, MetricsEndpoint::Limits(),
        [this](base::HttpExchange& aExchange) { return HandleReadiness(aExchange); }, RenderError)
    , m_domain(m_state.m_messenger, m_state.m_profile.m_failureDomain,
               { m_state.m_profile.m_address, m_state.m_profile.m_peerPort })
    , m_fleet(m_state, m_domain, base::IncarnationId::FromValidated(base::RandomHex(8)))
    , m_store(m_state)
    , m_loopMonitor(m_state.m_metrics, kTickInterval)
  {
  }

  tl::expected<void, std::string> Start()
  {
    auto const& profile = m_state.m_profile;
    if (!profile.m_callers || !profile.m_readiness) {
      return tl::make_unexpected("the settings give no address for callers or for readiness");
    }
    m_callers.UseBudget(m_door);
    m_readiness.UseBudget(m_door);
    m_callers.OnConnectionClosed(
      [this](base::HttpConnectionClose const& aClose) { RecordConnectionClose(aClose); });
    if (auto bound = m_callers.Listen(*profile.m_callers); !bound) {
      return bound;
    }
    if (auto bound = m_readiness.Listen(*profile.m_readiness); !bound) {
      return bound;
    }
    auto const onMessage = [this](agent::FleetMessage const& aMessage,
                                  base::Endpoint const& aOrigin) { OnMessage(aMessage, aOrigin); };
    if (auto bound =
          m_state.m_messenger.Listen({ profile.m_address, profile.m_peerPort }, onMessage);
        !bound) {
      return bound;
    }
    m_store.Start([this] { OnCatalog(); });
    m_loop.Start(Tick());
    base::log::Info("started", { { "host", profile.m_host.Text() },
                                 { "incarnation", m_fleet.Incarnation().Text() } });
    return {};
  }

  /// Waits until the load balancer has removed this process, then drains the open
  /// requests, and ends those that are left in time to answer them. Later calls change
  /// nothing.
  boost::asio::awaitable<void> Shutdown()
  {
    if (m_state.m_stopEnd) {
      co_return;
    }
    auto const times =
      caller::StopTimes::Plan(m_loop.Now(), m_state.m_profile.m_bounds.m_stopGrace);
    m_state.m_waitDeadline = times.m_waitEnd;
    m_state.m_stopEnd = times.m_end;
    m_state.NotifyAll();
    m_callers.CloseAfterResponses();
    base::log::Info("stopping", { { "open", std::to_string(m_callers.OpenExchanges()) } });
    co_await m_loop.Sleep(times.m_waitEnd - m_loop.Now());
    auto open = co_await m_callers.Drain(times.m_end - m_loop.Now());
    auto const ended = m_state.m_openRequests.EndAll();
    // Also waits for callers that have yet to receive a response that was written.
    if (m_callers.OpenExchanges() > 0) {
      m_callers.EndReads();
      open = co_await m_callers.Drain(times.m_exit - m_loop.Now());
    }
    // Leaves its part of the allowances to the other gateways.
    m_state.m_hasStoppedGranting = true;
    m_fleet.Report(m_store.Age(m_loop.Now()), m_store.Era(), m_loop.Now());
    base::log::Info("stopped", { { "refused", std::to_string(m_state.m_refusedByStop) },
                                 { "ended", std::to_string(ended) },
                                 { "cut_off", std::to_string(open) } });
    m_cutOffByStop = open;
    m_loop.Stop();
  }

  /// Applies new settings, as far as they may change at run time.
  void Reload(base::ProcessProfile const& aProfile)
  {
    ApplyReload(m_state.m_profile, aProfile);
    m_store.SetEndpoint(m_state.m_profile.m_objectStore);
    m_state.OnRetryBoundsChanged();
    m_state.OnWarmUpTermsChanged();
    m_state.m_directory.SetMaximumDrainDelay(m_state.m_profile.m_bounds.m_maximumDrainDelay);
  }

  base::Metrics& Metrics() { return m_state.m_metrics; }
  /// What the servers of the process may hold together.
  std::shared_ptr<base::HttpBudget> Door() const { return m_door; }
  /// The connections that were open with a request as the process stopped.
  std::size_t CutOffByStop() const { return m_cutOffByStop; }
  GatewayState& State() { return m_state; }

private:
  static constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);

  static base::HttpResponse RenderError(base::HttpRequestError const& aError)
  {
    return Wire::EncodeRefusal(aError.m_status, aError.m_message, std::nullopt,
                               aError.m_retryAfter);
  }

  boost::asio::awaitable<void> Handle(base::HttpExchange& aExchange)
  {
    ForwardSession<Wire> session(m_state, aExchange);
    co_await session.Run();
  }

  void RecordConnectionClose(base::HttpConnectionClose const& aClose)
  {
    m_state.m_metrics
      .Counter("sardinefold_gateway_connections_closed_total", "Callers' connections by their end.",
               { { "reason", std::string(ToText(aClose.m_reason)) },
                 { "pending", aClose.m_pendingBytes > 0 ? "yes" : "no" } })
      .Increment();
    base::log::Write(
      aClose.IsSuspect() ? base::LogLevel::Warning : base::LogLevel::Info, "connection closed",
      { { "connection", std::to_string(aClose.m_connection) },
        { "reason", std::string(ToText(aClose.m_reason)) },
        { "requests", std::to_string(aClose.m_requests) },
        { "since_wait_ms", std::to_string(base::ToMilliseconds(aClose.m_sinceWait)) },
        { "pending_bytes", std::to_string(aClose.m_pendingBytes) },
        { "stopping", m_state.m_stopEnd ? "true" : "false" } });
  }

  bool IsReady() const
  {
    return m_state.m_catalog && !m_state.m_catalogProgress.IsHeld(m_loop.Now()) &&
           !m_state.AwaitsEvacuations() && m_state.m_directory.Size() > 0 && !m_state.m_stopEnd;
  }

  boost::asio::awaitable<void> HandleReadiness(base::HttpExchange& aExchange)
  {
    base::HttpResponse response;
    response.m_status = IsReady() ? 200 : 503;
    co_await aExchange.Respond(std::move(response));
  }

  /// Called when another catalog is in force.
  void OnCatalog()
  {
    auto const& limits = m_state.m_catalog->Catalog().m_limits;
    base::HttpServerLimits serverLimits;
    serverLimits.m_headerBytes = limits.m_headerBytes;
    serverLimits.m_bodyBytes = limits.m_bodyBytes;
    serverLimits.m_headerTimeout = limits.m_headerTimeout;
    serverLimits.m_idleTimeout = limits.m_idleTimeout;
    m_callers.SetLimits(serverLimits, m_loop.Now());
    if (!m_door->Fits(serverLimits.m_bodyBytes)) {
      base::log::Error("memory is too small for one request with the largest body",
                       { { "body_bytes", std::to_string(serverLimits.m_bodyBytes.Value()) },
                         { "budget_bytes", std::to_string(m_door->Limits().m_memory.Value()) } });
    }
    base::log::Info(
      "connection limits in force",
      { { "version", std::to_string(m_state.m_catalog->Catalog().m_version.Value()) },
        { "header_ms", std::to_string(base::ToMilliseconds(serverLimits.m_headerTimeout)) },
        { "body_ms", std::to_string(base::ToMilliseconds(serverLimits.m_bodyTimeout)) },
        { "idle_ms", std::to_string(base::ToMilliseconds(serverLimits.m_idleTimeout)) } });
    m_state.OnWarmUpTermsChanged();
    m_fleet.OnCatalog();
  }

  void OnMessage(agent::FleetMessage const& aMessage, base::Endpoint const& aOrigin)
  {
    auto const now = m_loop.Now();
    if (auto const* const status = std::get_if<agent::EngineStatus>(&aMessage)) {
      m_domain.OnStatus(*status, now);
      OnLoaderStatus(*status, aOrigin, now);
    } else if (auto const* const alive = std::get_if<agent::EngineHeartbeat>(&aMessage)) {
      m_domain.OnHeartbeat(*alive, now);
      OnLoaderHeartbeat(*alive, aOrigin, now);
    } else if (auto const* const digest = std::get_if<agent::EngineDigest>(&aMessage)) {
      OnDigest(*digest, aOrigin, now);
    } else if (auto const* const presence = std::get_if<agent::GatewayPresence>(&aMessage)) {
      m_fleet.OnMember(*presence, aOrigin, now);
    } else if (auto const* const summary = std::get_if<agent::PlannerSummary>(&aMessage)) {
      OnSummary(*summary, aOrigin, now);
    } else if (auto const* const news = std::get_if<agent::PlannerNews>(&aMessage)) {
      OnNews(*news, aOrigin, now);
    } else if (auto const* const update = std::get_if<agent::StoreUpdate>(&aMessage)) {
      m_store.OnStoreUpdate(*update, now);
    } else if (auto const* const reply = std::get_if<agent::StreamOriginReply>(&aMessage)) {
      m_state.StreamOrigins().OnReply(*reply, aOrigin);
    }
  }

  /// Takes what the loaders of a failure domain sent to its aggregator.
  void OnDigest(agent::EngineDigest const& aDigest, base::Endpoint const& aSender,
                base::Instant aNow)
  {
    for (auto const& status : aDigest.m_statuses) {
      OnLoaderStatus(status, LoaderOf(status.m_engine), aNow);
    }
    for (auto const& heartbeat : aDigest.m_heartbeats) {
      OnLoaderHeartbeat(heartbeat, LoaderOf(heartbeat.m_engine), aNow);
    }
    m_domain.OnDigest(aDigest, aSender, aNow);
  }

  /// The loader runs on the host of its engine.
  base::Endpoint LoaderOf(base::Endpoint const& aEngine) const
  {
    return { aEngine.m_address, m_state.m_profile.m_peerPort };
  }

  void OnLoaderHeartbeat(agent::EngineHeartbeat const& aHeartbeat, base::Endpoint const& aLoader,
                         base::Instant aNow)
  {
    m_fleet.OnLoader(aHeartbeat.m_host, aLoader, aHeartbeat.m_canOrder,
                     aHeartbeat.m_gatewaysPresent, aNow);
    engine::LoaderStatusNumber const number{ aHeartbeat.m_incarnation, aHeartbeat.m_number };
    if (!m_state.m_directory.OnStatusUnchanged(aHeartbeat.m_engine, number, aHeartbeat.m_running,
                                               aHeartbeat.m_waiting, aNow)) {
      m_state.m_messenger.Send(aLoader, agent::StatusRequest{ m_state.m_profile.m_host });
    }
  }

  void OnLoaderStatus(agent::EngineStatus const& aStatus, base::Endpoint const& aLoader,
                      base::Instant aNow)
  {
    m_fleet.OnLoader(aStatus.m_host, aLoader, aStatus.m_canOrder, aStatus.m_gatewaysPresent, aNow);
    auto const leaving =
      aStatus.m_leavingStart
        ? m_state.m_directory.FindStart(aStatus.m_engine, *aStatus.m_leavingStart)
        : std::nullopt;
    if (leaving) {
      RecordLeaving(m_state, *leaving, engine::NoticeSource::Loader);
    }
    engine::LoaderStatus account{
      aStatus.m_engine,     aStatus.m_models,  aStatus.m_change.m_unloading,
      aStatus.m_running,    aStatus.m_waiting, { aStatus.m_incarnation, aStatus.m_number },
      aStatus.m_engineStart
    };
    if (m_state.m_directory.OnLoaderStatus(std::move(account), aNow)) {
      for (auto const& held : aStatus.m_models) {
        m_state.ModelSignal(held.m_model).Notify();
      }
    }
  }

  void OnSummary(agent::PlannerSummary const& aSummary, base::Endpoint const& aOrigin,
                 base::Instant aNow)
  {
    m_fleet.OnSummary(aOrigin, aSummary, aNow);
    m_state.OnGatewaysPresent(aSummary.m_gatewaysPresent);
    m_state.m_directory.WarmUps().OnProcessCount(aSummary.m_gatewaysPresent, aNow);
    m_state.m_directory.RequestLimits().OnProcessCount(aSummary.m_gatewaysPresent, aNow);
    if (!aSummary.m_neighbours.empty()) {
      auto const aggregators = aSummary.m_aggregators.find(m_state.m_profile.m_failureDomain);
      m_store.OnNeighbours(aSummary.m_neighbours,
                           aggregators == aSummary.m_aggregators.end()
                             ? std::vector<base::Endpoint>()
                             : aggregators->second,
                           aNow);
      m_domain.OnNamed(aSummary.m_neighbours, aSummary.m_aggregators, aNow);
    }
    if (aSummary.m_storeAge) {
      m_store.OnStoreResponseElsewhere(aNow - *aSummary.m_storeAge);
    }
    m_store.OnCatalogAnnounced(aSummary.m_catalog, aNow);
    if (aSummary.m_evacuations) {
      m_store.OnEvacuations(*aSummary.m_evacuations, aOrigin, aNow);
    }
    for (auto const& [model, readyIn] : aSummary.m_versionedForecasts) {
      m_state.m_versionedForecasts[model] = { aNow + readyIn, aNow };
      m_state.ModelSignal(model.m_model).Notify();
    }
    OnForecasts(aSummary.m_forecasts, aNow);
  }

  void OnNews(agent::PlannerNews const& aNews, base::Endpoint const& aOrigin, base::Instant aNow)
  {
    for (auto const& start : aNews.m_leaving) {
      RecordLeaving(m_state, start, engine::NoticeSource::Gateway);
    }
    for (auto const& start : aNews.m_drained) {
      if (m_state.m_directory.OnDrainedBefore(start, aNow)) {
        base::log::Warning("listed upstream has drained before",
                           { { "upstream", start.m_instance.Text() },
                             { "started_at", std::to_string(start.m_startedAt) },
                             { "told_by", aOrigin.Text() } });
      }
    }
    m_state.OnRequestNews(aNews.m_crashes, aNews.m_acquittals, aOrigin);
    m_state.OnPartNews(aNews.m_partCrashes, aNews.m_partAcquittals, aOrigin);
  }

  /// Wakes the requests that wait for a model, so that they check whether it will
  /// be ready in time.
  void OnForecasts(agent::ModelForecasts const& aForecasts, base::Instant aNow)
  {
    for (auto const& [model, readyIn] : aForecasts) {
      m_state.m_modelForecasts[model] = { aNow + readyIn, aNow };
      m_state.ModelSignal(model).Notify();
    }
  }

  /// Sends reports and runs the periodic work.
  boost::asio::awaitable<void> Tick()
  {
    constexpr unsigned kLogInterval = 10;
    for (unsigned tick = 0;; ++tick) {
      auto const now = m_loop.Now();
      m_loopMonitor.OnTick(now);
      if (tick % kLogInterval == 0) {
        base::log::StartInterval();
        UpdateGauges(now);
        LogMalformedNotice(m_state);
        m_state.m_http.SweepIdle(now);
        m_state.StreamOrigins().Repeat();
      }
      m_store.Tick(now);
      m_state.m_directory.Expire(now - m_store.ListAge(now), now);
      m_state.CloseUnusedConnections();
      LogEndedNotices(m_state, now);
      LogWarmUps(m_state, now);
      LogRequestLimits(m_state, now);
      m_state.ExpireSuspects();
      m_domain.Tick(now);
      m_fleet.Report(m_store.Age(now), m_store.Era(), now);
      co_await m_loop.Sleep(kTickInterval);
    }
  }

  /// Exports the age of the data on which routing decisions are based.
  void UpdateGauges(base::Instant aNow)
  {
    auto const setAge = [this](char const* aSource, base::Duration aAge) {
      m_state.m_metrics
        .Gauge("sardinefold_gateway_news_age_seconds", "Age of the news by its source.",
               { { "source", aSource } })
        .Set(base::ToSeconds(aAge));
    };
    setAge("upstream list", m_store.ListAge(aNow));
    setAge("catalog", m_store.CatalogAge(aNow));
    setAge("planner", m_fleet.PlannerAge(aNow));
    setAge("allowances", m_state.m_allowance.UpdateAge(aNow).value_or(base::Duration{}));
    m_state.m_metrics
      .Gauge("sardinefold_gateway_allowance_correction_tokens",
             "Largest difference between a level of the planner's last summary and the one "
             "expected here.")
      .Set(static_cast<double>(m_state.m_allowance.LargestCorrection().Value()));
    m_state.m_metrics.Gauge("sardinefold_gateway_upstreams", "Upstreams known.")
      .Set(static_cast<double>(m_state.m_directory.Size()));
    for (auto const& [deployment, ratio] : m_state.m_directory.BusiestOverMean()) {
      m_state.m_metrics
        .Gauge("sardinefold_gateway_busiest_upstream_ratio",
               "Requests of the busiest upstream over the mean, as reported.",
               { { "deployment", deployment.Text() } })
        .Set(ratio);
    }
    m_state.m_metrics
      .Gauge("sardinefold_gateway_idle_upstream_connections",
             "Connections to upstreams that are kept for the next request.")
      .Set(static_cast<double>(m_state.m_http.IdleConnections()));
  }

  base::EventLoop& m_loop;
  GatewayState m_state;
  std::shared_ptr<base::HttpBudget> m_door;
  base::HttpServer m_callers;
  base::HttpServer m_readiness;
  DomainExchange<FleetMessenger> m_domain;
  FleetReporter m_fleet;
  StoreFollower<Wire> m_store;
  LoopMonitor m_loopMonitor;
  std::size_t m_cutOffByStop = 0;
};

} // namespace sardinefold::programs
