#pragma once

#include "Base/Http/HttpServer.h"
#include "ObjectStore/WatchSession.h"
#include "Programs/Gateway/ForwardSession.h"
#include "Programs/Gateway/PlannerChoice.h"
#include "Programs/SettingsFollower.h"
#include "Programs/StoreAccess.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace sardinefold::programs {

/// The process on an entry host: takes callers' requests and gives them to
/// engines and services.
template<ServingWire Wire>
class GatewayProgram
{
public:
  GatewayProgram(base::EventLoop& aLoop, base::ProcessProfile aProfile)
    : m_loop(aLoop)
    , m_state(aLoop, std::move(aProfile), base::RandomNumber())
    , m_store(aLoop, m_state.m_profile.m_objectStore, m_state.m_metrics)
    , m_catalogWatch(aLoop, m_store.Objects(), objectstore::ObjectKind::Catalog, {},
                     objectstore::CallPurpose::Configuration, Watching(), base::RandomNumber())
    , m_upstreamWatch(aLoop, m_store.Objects(), objectstore::ObjectKind::Upstream, {},
                      objectstore::CallPurpose::Membership, WatchingUpstreams(),
                      base::RandomNumber())
    , m_callers(
        aLoop, {}, [this](base::HttpExchange& aExchange) { return Handle(aExchange); }, RenderError)
    , m_readiness(
        aLoop, {}, [this](base::HttpExchange& aExchange) { return AnswerReadiness(aExchange); },
        RenderError)
    , m_incarnation(base::IncarnationId::FromValidated(base::RandomHex(8)))
  {
  }

  tl::expected<void, std::string> Start()
  {
    auto const& profile = m_state.m_profile;
    if (!profile.m_callers || !profile.m_readiness) {
      return tl::make_unexpected("the settings give no address for callers or for readiness");
    }
    if (auto bound = m_callers.Listen(*profile.m_callers); !bound) {
      return bound;
    }
    if (auto bound = m_readiness.Listen(*profile.m_readiness); !bound) {
      return bound;
    }
    auto const onMessage = [this](std::string_view aText, base::Endpoint const& aSender) {
      OnMessage(aText, aSender);
    };
    if (auto bound = m_state.m_peers.Listen({ profile.m_address, profile.m_peerPort }, onMessage);
        !bound) {
      return bound;
    }
    m_loop.Start(m_catalogWatch.Run(
      [this](objectstore::ObjectChanges const& aChanges) { OnCatalog(aChanges); }));
    m_loop.Start(m_upstreamWatch.Run(
      [this](objectstore::ObjectChanges const& aChanges) { OnUpstreams(aChanges); }));
    m_loop.Start(Tick());
    base::log::Info("started",
                    { { "host", profile.m_host.Text() }, { "incarnation", m_incarnation.Text() } });
    return {};
  }

  /// Leaves the balancer first, then ends what is open.
  boost::asio::awaitable<void> Shutdown()
  {
    // The balancer asks once a second and needs two answers to notice.
    constexpr base::Duration kLeaving = std::chrono::milliseconds(2300);
    constexpr base::Duration kReserve = std::chrono::milliseconds(700);
    auto const end = m_loop.Now() + m_state.m_profile.m_bounds.m_stopGrace - kReserve;
    m_isStopping = true;
    m_state.m_lastWait = m_loop.Now() + kLeaving;
    NotifyAll();
    m_callers.CloseAfterResponses();
    base::log::Info("stopping", { { "open", std::to_string(m_callers.OpenExchanges()) } });
    co_await m_loop.Sleep(kLeaving);
    auto const open = co_await m_callers.Drain(end - m_loop.Now());
    base::log::Info("stopped", { { "cut_off", std::to_string(open) } });
    m_loop.Stop();
  }

  /// Puts new settings in force, as far as they may change while it runs.
  void Reload(base::ProcessProfile aProfile)
  {
    ApplyReload(m_state.m_profile, aProfile);
    m_store.MoveTo(m_state.m_profile.m_objectStore);
    m_state.OnRetryBoundsChanged();
  }

  base::Metrics const& Metrics() const { return m_state.m_metrics; }
  GatewayState& State() { return m_state; }

private:
  /// The list changes with each model that an engine loads, so changes are
  /// gathered: each answer is a call that is paid for. A leaving upstream has
  /// to be known within two seconds.
  static objectstore::WatchLimits WatchingUpstreams()
  {
    auto limits = Watching();
    limits.m_pause = std::chrono::milliseconds(700);
    return limits;
  }

  static objectstore::WatchLimits Watching()
  {
    objectstore::WatchLimits limits;
    // A connection may go silent; a configuration has to be in force within
    // two seconds all the same.
    limits.m_watchTime = std::chrono::milliseconds(1500);
    limits.m_listTime = std::chrono::milliseconds(1500);
    limits.m_backoff = { std::chrono::milliseconds(50), std::chrono::milliseconds(400) };
    return limits;
  }

  static base::HttpResponse RenderError(base::HttpRequestError const& aError)
  {
    return Wire::EncodeRefusal(aError.m_status, aError.m_message, std::nullopt, std::nullopt);
  }

  boost::asio::awaitable<void> Handle(base::HttpExchange& aExchange)
  {
    ForwardSession<Wire> session(m_state, aExchange);
    co_await session.Run();
  }

  bool IsReady() const
  {
    return m_state.m_catalog && m_state.m_directory.Size() > 0 && !m_isStopping;
  }

  boost::asio::awaitable<void> AnswerReadiness(base::HttpExchange& aExchange)
  {
    base::HttpResponse response;
    response.m_status = IsReady() ? 200 : 503;
    co_await aExchange.Respond(std::move(response));
  }

  void OnCatalog(objectstore::ObjectChanges const& aChanges)
  {
    for (auto const& change : aChanges.m_changes) {
      auto const* const put = std::get_if<objectstore::ObjectPut>(&change);
      if (!put || put->m_object.m_key.m_name != Wire::CatalogName()) {
        continue;
      }
      auto catalog = Wire::DecodeCatalog(put->m_object.m_value);
      if (!catalog) {
        base::log::Error("configuration is unusable", { { "error", catalog.error() } });
        continue;
      }
      PutInForce(std::move(*catalog));
    }
  }

  void PutInForce(operators::ServingCatalog aCatalog)
  {
    auto const version = aCatalog.m_version;
    if (m_state.m_catalog && m_state.m_catalog->Catalog().m_version >= version) {
      return;
    }
    base::HttpServerLimits limits;
    limits.m_headerBytes = aCatalog.m_limits.m_headerBytes;
    limits.m_bodyBytes = aCatalog.m_limits.m_bodyBytes;
    limits.m_headerTime = aCatalog.m_limits.m_headerTime;
    limits.m_idleTime = aCatalog.m_limits.m_idleTime;
    m_callers.SetLimits(limits);
    std::map<base::WorkspaceId, entry::AllowanceLimit> allowances;
    for (auto const& workspace : aCatalog.m_workspaces) {
      allowances[workspace.m_id] = { workspace.m_rate, workspace.m_burst };
    }
    m_state.m_allowance.SetLimits(allowances, m_loop.Now());
    m_state.m_catalog = std::make_unique<caller::CatalogIndex>(std::move(aCatalog));
    base::log::Info("configuration in force", { { "version", std::to_string(version.Value()) } });
  }

  void OnUpstreams(objectstore::ObjectChanges const& aChanges)
  {
    auto const now = m_loop.Now();
    bool const mayHaveLapsed = now < m_storeAwayUntil;
    for (auto const& change : aChanges.m_changes) {
      if (auto const* const deleted = std::get_if<objectstore::ObjectDeleted>(&change)) {
        auto const instance = engine::InstanceId::FromValidated(deleted->m_key.m_name.Text());
        m_state.m_directory.OnRemoved(instance, mayHaveLapsed, now);
        base::log::Info("upstream unlisted", { { "upstream", instance.Text() } });
        continue;
      }
      auto const& object = std::get<objectstore::ObjectPut>(change).m_object;
      auto entry = Wire::DecodeUpstream(object.m_key.m_name.Text(), object.m_value);
      if (!entry) {
        base::log::Warning(
          "upstream entry is unusable",
          { { "upstream", object.m_key.m_name.Text() }, { "error", entry.error() } });
        continue;
      }
      base::log::Info("upstream listed", { { "upstream", entry->m_instance.Text() },
                                           { "deployment", entry->m_deployment.Text() },
                                           { "leaving", entry->m_isLeaving ? "true" : "false" } });
      m_state.m_directory.OnListed(std::move(*entry), now);
    }
    NotifyAll();
  }

  void NotifyAll()
  {
    for (auto const& [model, signal] : m_state.m_modelSignals) {
      signal->Notify();
    }
  }

  void OnMessage(std::string_view aText, base::Endpoint const& aSender)
  {
    auto const message = agent::DecodeFleetMessage(aText);
    if (!message) {
      base::log::Warning("message is unusable",
                         { { "sender", aSender.Text() }, { "error", message.error() } });
      return;
    }
    auto const now = m_loop.Now();
    if (auto const* const status = std::get_if<agent::EngineStatus>(&*message)) {
      m_planner.OnLoader(status->m_host, aSender, status->m_canOrder, now);
      m_state.m_allowance.OnPresent(status->m_gatewaysPresent);
      if (!m_state.m_gatewaysPresent && status->m_gatewaysPresent > 0) {
        m_state.OnGatewaysPresent(status->m_gatewaysPresent);
      }
      engine::LoaderAccount account{ status->m_engine, status->m_models,
                                     status->m_change.m_unloading, status->m_running,
                                     status->m_waiting };
      auto const models = account.m_models;
      if (m_state.m_directory.OnAccount(std::move(account), now)) {
        for (auto const& held : models) {
          m_state.ModelSignal(held.m_model).Notify();
        }
      }
    } else if (auto const* const summary = std::get_if<agent::PlannerSummary>(&*message)) {
      m_planner.OnSummary(aSender, now);
      m_state.OnGatewaysPresent(summary->m_gatewaysPresent);
      OnOutlooks(summary->m_outlooks, now);
      for (auto const& death : summary->m_deaths) {
        if (m_state.m_suspects.OnNews(death, now)) {
          base::log::Warning("request may have ended its upstream",
                             { { "fingerprint", death.m_fingerprint.Text() },
                               { "upstream", death.m_upstream.Text() },
                               { "told_by", aSender.Text() } });
        }
      }
      m_state.m_allowance.OnOthers(summary->m_epoch,
                                   { summary->m_gatewaysPresent, summary->m_gatewaysReporting },
                                   summary->m_grantedByOthers, now);
    }
  }

  /// Those who wait for a model look again whether it comes in time.
  void OnOutlooks(agent::ModelOutlooks const& aOutlooks, base::Instant aNow)
  {
    for (auto const& [model, readyIn] : aOutlooks) {
      m_state.m_readyAt[model] = { aNow + readyIn, aNow };
      m_state.ModelSignal(model).Notify();
    }
  }

  /// Sends reports and lets time pass for the decisions.
  boost::asio::awaitable<void> Tick()
  {
    constexpr base::Duration kInterval = std::chrono::milliseconds(100);
    constexpr unsigned kLogInterval = 10;
    // A watch that ends in time, and the pause after it, take less.
    constexpr base::Duration kStoreSilence = std::chrono::milliseconds(2800);
    // What lapsed while the store was away is gone from its first answer; what
    // goes later has left.
    constexpr base::Duration kReturnTime = std::chrono::milliseconds(1000);
    while (true) {
      auto const now = m_loop.Now();
      if (m_upstreamWatch.State().HasListed() &&
          now - m_upstreamWatch.State().LastHeard() > kStoreSilence) {
        m_storeAwayUntil = now + kReturnTime;
      }
      if (m_ticks % kLogInterval == 0) {
        base::log::StartInterval();
      }
      m_state.m_directory.Expire(now);
      m_state.m_suspects.Forget(now);
      Report(now);
      co_await m_loop.Sleep(kInterval);
    }
  }

  void Report(base::Instant aNow)
  {
    constexpr unsigned kPresenceEvery = 4;
    auto const planner = m_planner.Planner(aNow);
    bool const isNewPlanner = planner != m_lastPlanner;
    m_lastPlanner = planner;
    bool const isNewFleet = m_toldUpstreams == 0 && m_state.m_directory.Size() > 0;
    m_toldUpstreams = m_state.m_directory.Size();
    if (m_ticks++ % kPresenceEvery == 0 || isNewPlanner || isNewFleet) {
      SendPresence(planner.value_or(base::Endpoint{ m_state.m_profile.m_address, 0 }));
    }
    if (planner) {
      SendReport(*planner, isNewPlanner, aNow);
    }
  }

  /// Names all demand once a second, and in between what has changed.
  void SendReport(base::Endpoint const& aPlanner, bool aIsFirst, base::Instant aNow)
  {
    constexpr unsigned kCompleteEvery = 10;
    bool const isComplete = m_ticks % kCompleteEvery == 0 || aIsFirst;
    agent::GatewayReport report{
      m_state.m_profile.m_host,      m_incarnation,           isComplete, {},
      m_state.m_allowance.Granted(), m_state.TakeDeaths(aNow)
    };
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
    m_state.m_peers.Send(aPlanner, agent::EncodeFleetMessage(report));
  }

  void SendPresence(base::Endpoint const& aPlanner)
  {
    auto const version =
      m_state.m_catalog ? m_state.m_catalog->Catalog().m_version : base::CatalogVersion();
    for (auto const& entry : m_state.m_directory.Entries()) {
      if (!IsEngine(entry.m_deployment)) {
        continue;
      }
      agent::GatewayPresence const presence{ m_state.m_profile.m_host,
                                             m_incarnation,
                                             aPlanner,
                                             version,
                                             { entry.m_instance, entry.m_startedAt } };
      m_state.m_peers.Send({ entry.m_endpoint.m_address, m_state.m_profile.m_peerPort },
                           agent::EncodeFleetMessage(presence));
    }
  }

  bool IsEngine(base::DeploymentId const& aDeployment) const
  {
    auto const* const deployment =
      m_state.m_catalog ? m_state.m_catalog->FindDeployment(aDeployment) : nullptr;
    return deployment && deployment->m_engine;
  }

  base::EventLoop& m_loop;
  GatewayState m_state;
  StoreAccess<typename Wire::StoreClient> m_store;
  objectstore::WatchSession<typename Wire::StoreClient> m_catalogWatch;
  objectstore::WatchSession<typename Wire::StoreClient> m_upstreamWatch;
  base::HttpServer m_callers;
  base::HttpServer m_readiness;
  base::IncarnationId m_incarnation;
  PlannerChoice m_planner;
  base::Instant m_storeAwayUntil{};
  std::optional<base::Endpoint> m_lastPlanner;
  std::map<base::ModelId, unsigned> m_reportedWaiting;
  std::size_t m_toldUpstreams = 0;
  unsigned m_ticks = 0;
  bool m_isStopping = false;
};

} // namespace sardinefold::programs
