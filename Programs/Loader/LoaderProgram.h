#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpBudget.h"
#include "Base/Http/HttpClient.h"
#include "Base/Log.h"
#include "Base/Metrics.h"
#include "Base/ProcessProfile.h"
#include "Base/Signal.h"
#include "Engine/EngineResponseLimits.h"
#include "Engine/OrderScheduler.h"
#include "Entry/Relay/CatalogProgress.h"
#include "ObjectStore/WriteSession.h"
#include "Programs/FleetMessenger.h"
#include "Programs/Loader/FleetPlanning.h"
#include "Programs/Loader/GatewayRegistry.h"
#include "Programs/Loader/HostRegistration.h"
#include "Programs/Loader/LoadMetrics.h"
#include "Programs/Loader/StatusSender.h"
#include "Programs/LoopMonitor.h"
#include "Programs/ServingWire.h"
#include "Programs/SettingsFollower.h"
#include "Programs/StoreAccess.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace sardinefold::programs {

/// Runs on the host of an engine and is the only process that sends it orders.
/// It reports to gateways what the engine holds, and plans for the fleet while
/// gateways use it as their planner.
template<ServingWire Wire>
class LoaderProgram
{
public:
  LoaderProgram(base::EventLoop& aLoop, base::ProcessProfile aProfile)
    : m_loop(aLoop)
    , m_profile(std::move(aProfile))
    , m_door(std::make_shared<base::HttpBudget>(
        base::HttpBudgetLimits::Of(m_profile.m_memoryLimit, m_profile.m_descriptorLimit)))
    , m_store(aLoop, m_profile.m_objectStore, m_metrics)
    , m_http(aLoop, EngineLimits())
    , m_messenger(aLoop)
    , m_orderScheduler({})
    , m_loadMetrics(m_metrics)
    , m_planning(m_profile, m_messenger)
    , m_registration(m_profile.m_address)
    , m_incarnation(base::IncarnationId::FromValidated(base::RandomHex(kIncarnationBytes)))
    , m_gatewayStatus(m_messenger, m_profile.m_failureDomain, m_incarnation)
    , m_plannerStatus(m_messenger, m_profile.m_failureDomain, m_incarnation)
    , m_loopMonitor(m_metrics, kTickInterval)
  {
  }

  tl::expected<void, std::string> Start()
  {
    if (!m_profile.m_engine) {
      return tl::make_unexpected("the settings name no engine on this host");
    }
    auto const onMessage = [this](agent::FleetMessage const& aMessage,
                                  base::Endpoint const& aOrigin) { OnMessage(aMessage, aOrigin); };
    if (auto bound = m_messenger.Listen({ m_profile.m_address, m_profile.m_peerPort }, onMessage);
        !bound) {
      return bound;
    }
    m_loop.Start(KeepRegistered());
    m_loop.Start(FollowCatalog());
    m_loop.Start(FollowEngine());
    m_loop.Start(Tick());
    base::log::Info(
      "started", { { "host", m_profile.m_host.Text() }, { "engine", m_profile.m_engine->Text() } });
    return {};
  }

  boost::asio::awaitable<void> Shutdown()
  {
    base::log::Info("stopped");
    m_loop.Stop();
    co_return;
  }

  /// Applies those of the new settings that may change while the program runs.
  void Reload(base::ProcessProfile const& aProfile)
  {
    ApplyReload(m_profile, aProfile);
    m_store.SetEndpoint(m_profile.m_objectStore);
  }

  base::Metrics& Metrics() { return m_metrics; }
  /// What the servers of the process may hold together.
  std::shared_ptr<base::HttpBudget> Door() const { return m_door; }
  /// The number that orders carry; none before the first registration.
  std::optional<base::FencingNumber> FencingNumber() const { return m_registration.Number(); }

private:
  static constexpr base::Duration kStoreTimeout = std::chrono::milliseconds(1500);
  static constexpr base::Duration kTickInterval = std::chrono::milliseconds(100);
  static constexpr std::size_t kIncarnationBytes = 4;

  /// Limits on the connections to the engine, whose responses to reports and orders need
  /// not say which request they belong to.
  static base::HttpClientLimits EngineLimits()
  {
    base::HttpClientLimits limits;
    limits.m_isReusedAfterRefusal = false;
    return limits;
  }

  /// Registers this loader in the host's object, from which it has its fencing
  /// number, and registers again when the store may have lost that.
  boost::asio::awaitable<void> KeepRegistered()
  {
    constexpr base::Duration kMaximumPause = std::chrono::seconds(1);
    constexpr base::Duration kIdleInterval = std::chrono::seconds(10);
    objectstore::Backoff backoff({ std::chrono::milliseconds(200), kMaximumPause },
                                 base::RandomNumber());
    while (true) {
      if (!m_registration.IsDue()) {
        backoff.Reset();
        co_await m_registrationDue.Wait(kIdleInterval);
        // All loaders of the site learn of a new era at the same time.
        co_await m_loop.Sleep(backoff.Next());
        continue;
      }
      co_await Register();
      if (m_registration.IsDue()) {
        co_await m_loop.Sleep(backoff.Next());
      }
    }
  }

  boost::asio::awaitable<void> Register()
  {
    auto const purpose = objectstore::CallPurpose::Fencing;
    objectstore::ObjectKey key{ objectstore::ObjectKind::Agent,
                                objectstore::ObjectName::FromValidated(m_profile.m_host.Text()) };
    auto const before = m_registration.Number();
    auto readKey = key;
    auto const held = co_await m_store.Objects().Get(std::move(readKey), kStoreTimeout, purpose);
    bool const isAbsent = !held && held.error().m_kind == objectstore::ReadError::Kind::NotFound;
    if (!held && !isAbsent) {
      co_return;
    }
    auto write =
      m_registration.OnRead(held ? &*held : nullptr, objectstore::NewWriteNonce(), m_loop.Now());
    if (write) {
      auto const condition = write->m_condition;
      objectstore::ObjectWrite full{ std::move(key), condition, m_profile.m_address,
                                     write->m_nonce };
      auto const written = co_await objectstore::WriteUntilKnown(
        m_store.Objects(), m_loop, std::move(full), std::chrono::seconds(5), purpose);
      if (!written) {
        co_return;
      }
      m_registration.OnWritten(condition, *written, m_loop.Now());
    }
    auto const number = m_registration.Number();
    if (!number) {
      base::log::Error("no fencing number fits the version of the host's object", {});
    } else if (number != before) {
      base::log::Info("fencing number acquired", { { "number", std::to_string(number->Value()) },
                                                   { "after", held ? held->m_value : "" } });
    }
  }

  void OnStoreEra(base::StoreEra aEra)
  {
    m_registration.OnEra(aEra);
    if (m_registration.IsDue()) {
      m_registrationDue.Notify();
    }
  }

  /// Reads the catalog when a gateway announces a newer version.
  boost::asio::awaitable<void> FollowCatalog()
  {
    constexpr base::Duration kPause = std::chrono::milliseconds(300);
    while (true) {
      if (!m_catalog.IsBehind()) {
        co_await m_loop.Sleep(kPause);
        continue;
      }
      objectstore::ObjectKey key{ objectstore::ObjectKind::Catalog, Wire::CatalogName() };
      auto const object = co_await m_store.Objects().Get(std::move(key), kStoreTimeout,
                                                         objectstore::CallPurpose::Configuration);
      if (object) {
        OnStoreEra(object->m_version.Era());
        auto text = object->m_value;
        co_await ReadCatalog(std::move(text));
      }
      co_await m_loop.Sleep(kPause);
    }
  }

  boost::asio::awaitable<void> ReadCatalog(std::string aText)
  {
    auto const start = m_loop.Now();
    auto const bytes = aText.size();
    // What no gateway has accepted yet is checked whole.
    auto catalog = co_await Decode(aText, operators::CatalogScope::Deployments);
    if (catalog && catalog->m_version > m_catalog.Newest()) {
      catalog = co_await Decode(aText, operators::CatalogScope::Whole);
    }
    if (!catalog) {
      base::log::Error("configuration is unusable", { { "error", catalog.error() } });
      co_return;
    }
    if (!m_catalog.MayApply(catalog->m_version)) {
      co_return;
    }
    OnCatalog(*catalog);
    base::log::Info("configuration in force",
                    { { "version", std::to_string(catalog->m_version.Value()) },
                      { "bytes", std::to_string(bytes) },
                      { "read_ms", std::to_string(base::ToMilliseconds(m_loop.Now() - start)) } });
  }

  /// Decodes a configuration in slices between which the loop serves messages. The text
  /// must outlive the call.
  boost::asio::awaitable<tl::expected<operators::ServingCatalog, std::string>> Decode(
    std::string const& aText, operators::CatalogScope aScope)
  {
    constexpr std::size_t kEntriesPerTurn = 16;
    typename Wire::CatalogDecoder decoder(std::string(aText), aScope);
    auto catalog = decoder.Decode(kEntriesPerTurn);
    while (!catalog) {
      co_await m_loop.Yield();
      catalog = decoder.Decode(kEntriesPerTurn);
    }
    co_return std::move(*catalog);
  }

  void OnCatalog(operators::ServingCatalog const& aCatalog)
  {
    m_catalog.OnApplied(aCatalog.m_version, m_loop.Now());
    m_engineSpecs = operators::EngineSpecsDigest(aCatalog);
    for (auto const& [id, deployment] : aCatalog.m_deployments) {
      if (deployment.m_engine) {
        m_planning.SetSpec(id, *deployment.m_engine);
      }
      if (id == *m_profile.m_engineDeployment && deployment.m_engine) {
        m_orderScheduler.SetSpec(*deployment.m_engine);
      }
    }
  }

  /// Polls the engine's report and sends the orders that follow from it. On the
  /// engine's own host the report is up to date and cheap to read.
  boost::asio::awaitable<void> FollowEngine()
  {
    constexpr base::Duration kIdleInterval = std::chrono::milliseconds(100);
    constexpr base::Duration kBusyInterval = std::chrono::milliseconds(25);
    while (true) {
      co_await WaitForBackoff();
      co_await ReadReport();
      co_await SendNextOrder();
      auto const state = m_orderScheduler.State(m_loop.Now());
      bool const isBusy = state.m_loading || state.m_unloading || m_hasAdapterRequest;
      m_hasAdapterRequest = false;
      co_await m_wake.Wait(isBusy ? kBusyInterval : kIdleInterval);
    }
  }

  boost::asio::awaitable<void> ReadReport()
  {
    constexpr base::Duration kEngineReportTimeout = std::chrono::milliseconds(500);
    auto request = Wire::EncodeReportRequest();
    auto endpoint = *m_profile.m_engine;
    auto const response = co_await m_http.Fetch(std::move(endpoint), std::move(request),
                                                kEngineReportTimeout, engine::kMaximumReportBytes);
    auto const notice = response ? Wire::DecodeNotice(response->m_status, response->m_headers)
                                 : engine::UpstreamNotice{};
    OnNotice(notice);
    if (notice.m_retryAfter) {
      co_return;
    }
    if (!response || response->m_status != 200) {
      OnReportResult(response ? "status " + std::to_string(response->m_status)
                              : std::string(ToText(response.error().m_kind)));
      co_return;
    }
    auto report = Wire::DecodeReport(response->m_body);
    if (!report) {
      OnReportResult(report.error());
      co_return;
    }
    OnReportResult("");
    bool const isFirstOfStart =
      !m_orderScheduler.Report() || m_orderScheduler.Report()->m_startedAt != report->m_startedAt;
    if (isFirstOfStart) {
      m_isLeaving = notice.m_isLeaving;
    }
    m_registration.OnEngineOrders(report->m_orders);
    auto const strayOrders = m_orderScheduler.CountStrayOrders();
    m_orderScheduler.OnReport(std::move(*report), m_loop.Now());
    if (m_orderScheduler.CountStrayOrders() > strayOrders) {
      base::log::Info("engine has restarted and may get late orders",
                      { { "orders", std::to_string(m_orderScheduler.CountStrayOrders()) } });
    }
    m_loadMetrics.OnReport(*m_orderScheduler.Report(), m_loop.Now());
    SendStatus(false);
  }

  /// Sends nothing to the engine while it wants no requests from this host.
  boost::asio::awaitable<void> WaitForBackoff()
  {
    while (m_loop.Now() < m_backoffEnd) {
      co_await m_wake.Wait(m_backoffEnd - m_loop.Now());
    }
  }

  void OnNotice(engine::UpstreamNotice const& aNotice)
  {
    if (aNotice.m_retryAfter) {
      m_backoffEnd = std::max(m_backoffEnd, m_loop.Now() + *aNotice.m_retryAfter);
      base::log::Info(
        "engine wants no requests",
        { { "bound_ms", std::to_string(base::ToMilliseconds(*aNotice.m_retryAfter)) } });
    }
    if (aNotice.m_isLeaving && !m_isLeaving) {
      base::log::Info("engine announced that it leaves");
    }
    m_isLeaving = m_isLeaving || aNotice.m_isLeaving;
  }

  /// Records whether the engine's report could be read. Without one nothing is
  /// known of the engine, and gateways are notified of that.
  void OnReportResult(std::string const& aError)
  {
    bool const hasReport = aError.empty();
    if (hasReport != m_hasReport) {
      if (hasReport) {
        base::log::Info("engine reports");
      } else {
        base::log::Warning("engine gives no report", { { "error", aError } });
      }
    }
    m_hasReport = hasReport;
    m_metrics.Gauge("sardinefold_loader_has_report", "Whether the engine's last report was read.")
      .Set(hasReport ? 1 : 0);
    if (!hasReport) {
      SendStatus(false);
    }
  }

  boost::asio::awaitable<void> SendNextOrder()
  {
    if (!CanOrder() || m_loop.Now() < m_backoffEnd) {
      co_return;
    }
    auto const order = m_orderScheduler.Next(m_loop.Now());
    if (!order) {
      co_return;
    }
    auto full = *order;
    full.m_holder = m_profile.m_host;
    full.m_fence = *m_registration.Number();
    m_registration.OnOrderSent();
    constexpr base::Duration kOrderTimeout = std::chrono::milliseconds(500);
    auto request = Wire::EncodeOrder(full, m_instance->m_instance);
    auto endpoint = *m_profile.m_engine;
    auto const response =
      co_await m_http.Fetch(std::move(endpoint), std::move(request), kOrderTimeout);
    if (response) {
      OnNotice(Wire::DecodeNotice(response->m_status, response->m_headers));
    }
    auto const answer =
      response ? Wire::DecodeOrderResponse(response->m_status) : engine::OrderResponse::Unknown;
    base::log::Info(
      "order given",
      { { "operation",
          full.m_operation == engine::EngineOrderRequest::Operation::Load ? "load" : "unload" },
        { "model", full.m_model.Text() },
        { "adapter", full.m_adapter ? full.m_adapter->Text() : "" },
        { "expected", std::to_string(full.m_expected.Value()) },
        { "status", response ? std::to_string(response->m_status) : "none" } });
    m_loadMetrics.OnOrder(full, answer, *m_orderScheduler.Report(), m_loop.Now());
    m_orderScheduler.OnResponse(full, answer, m_loop.Now());
    SendStatus(false);
  }

  /// Returns whether orders may be sent: the upstream list must name the same
  /// start of the engine as the report, and no order of a predecessor on another
  /// host may still be in flight.
  bool CanOrder() const
  {
    return m_instance && m_hasReport && m_orderScheduler.Report() &&
           (m_instance->m_startedAt == m_orderScheduler.Report()->m_startedAt) &&
           m_registration.MayOrder(m_loop.Now(), m_profile.m_bounds.m_leaseTime);
  }

  agent::EngineStatus MakeStatus() const
  {
    auto const now = m_loop.Now();
    agent::EngineStatus status;
    status.m_host = m_profile.m_host;
    status.m_engine = *m_profile.m_engine;
    status.m_deployment = *m_profile.m_engineDeployment;
    status.m_failureDomain = m_profile.m_failureDomain;
    auto const& report = m_orderScheduler.Report();
    if (m_hasReport && report) {
      status.m_models = report->m_models;
      status.m_copies = report->m_copies;
      status.m_running = report->m_running;
      status.m_waiting = report->m_waiting;
      status.m_cacheUsed = report->m_cacheUsed;
      status.m_cacheTotal = report->m_cacheTotal;
      status.m_engineStart = report->m_startedAt;
    }
    auto const state = m_orderScheduler.State(now);
    status.m_change.m_loading = state.m_loading;
    status.m_change.m_readyIn = state.m_loading ? state.m_readyAt - now : base::Duration::zero();
    status.m_change.m_unloading = state.m_unloading;
    status.m_canOrder = CanOrder();
    if (m_isLeaving && report) {
      status.m_leavingStart = report->m_startedAt;
    }
    status.m_version = m_instance ? m_instance->m_version : base::SoftwareVersion();
    status.m_gatewaysPresent = static_cast<unsigned>(m_gateways.Size());
    return status;
  }

  /// Removes the parts of a status that gateways don't use.
  static agent::EngineStatus ForGateways(agent::EngineStatus aStatus)
  {
    aStatus.m_copies = {};
    aStatus.m_version = {};
    aStatus.m_change.m_loading.reset();
    aStatus.m_change.m_readyIn = {};
    return aStatus;
  }

  /// Sends gateways and planners the status if it has changed for them, and
  /// otherwise only a heartbeat when one is due.
  void SendStatus(bool aIsHeartbeatDue)
  {
    auto const status = MakeStatus();
    auto const forGateways = ForGateways(status);
    m_gatewayStatus.Send(m_gateways.Receivers(m_profile.m_failureDomain, m_loop.Now()), forGateways,
                         aIsHeartbeatDue);
    m_plannerStatus.Send(m_gateways.Planners(m_profile.m_failureDomain), status, aIsHeartbeatDue);
  }

  void OnMessage(agent::FleetMessage const& aMessage, base::Endpoint const& aOrigin)
  {
    auto const now = m_loop.Now();
    if (auto const* const presence = std::get_if<agent::GatewayPresence>(&aMessage)) {
      OnPresence(*presence, aOrigin, now);
    } else if (auto const* const domain = std::get_if<agent::DomainPresence>(&aMessage)) {
      OnDomainPresence(*domain, now);
    } else if (auto const* const report = std::get_if<agent::GatewayReport>(&aMessage)) {
      m_planning.OnReport(*report, aOrigin, now);
    } else if (auto const* const status = std::get_if<agent::EngineStatus>(&aMessage)) {
      m_planning.OnStatus(*status, aOrigin, now);
    } else if (auto const* const heartbeat = std::get_if<agent::EngineHeartbeat>(&aMessage)) {
      if (!m_planning.OnHeartbeat(*heartbeat, now)) {
        m_messenger.Send(aOrigin, agent::StatusRequest{ m_profile.m_host });
      }
    } else if (std::holds_alternative<agent::StatusRequest>(aMessage)) {
      OnStatusRequest(aOrigin);
    } else if (auto const* const swap = std::get_if<agent::SwapRequest>(&aMessage)) {
      m_orderScheduler.RequestSwap(swap->m_load, swap->m_unload, now);
      SendStatus(false);
      m_wake.Notify();
    } else if (auto const* const adapter = std::get_if<agent::AdapterRequest>(&aMessage)) {
      m_orderScheduler.RequestAdapter(adapter->m_model, adapter->m_adapter, now);
      m_hasAdapterRequest = true;
      m_wake.Notify();
    } else if (auto const* const origins = std::get_if<agent::StreamOrigins>(&aMessage)) {
      for (auto const& origin : origins->m_origins) {
        m_streamOrigins.Record(origin, now);
      }
    } else if (auto const* const query = std::get_if<agent::StreamOriginQuery>(&aMessage)) {
      m_messenger.Send(aOrigin, agent::StreamOriginReply{
                                  query->m_request, m_streamOrigins.Find(query->m_request, now) });
    }
  }

  void OnStatusRequest(base::Endpoint const& aOrigin)
  {
    auto const status = MakeStatus();
    if (m_gateways.Contains(aOrigin)) {
      m_gatewayStatus.Resend(aOrigin, ForGateways(status));
    } else {
      m_plannerStatus.Resend(aOrigin, status);
    }
  }

  void OnPresence(agent::GatewayPresence const& aPresence, base::Endpoint const& aOrigin,
                  base::Instant aNow)
  {
    m_gateways.OnPresence(aPresence, aOrigin, aNow);
    OnGateway(aPresence, aNow);
    OnEngines(aPresence.m_engines);
    // A gateway that has just started has no status of this engine.
    SendStatus(false);
  }

  void OnDomainPresence(agent::DomainPresence const& aDomain, base::Instant aNow)
  {
    m_gateways.OnDomainPresence(aDomain, m_profile.m_failureDomain, aNow);
    for (auto const& gateway : aDomain.m_gateways) {
      OnGateway(gateway.m_presence, aNow);
    }
    OnEngines(aDomain.m_engines);
    SendStatus(false);
  }

  void OnGateway(agent::GatewayPresence const& aPresence, base::Instant aNow)
  {
    OnStoreEra(aPresence.m_storeEra);
    OnCatalogAnnounced(aPresence);
    m_planning.OnPresence(aPresence, aNow);
  }

  /// Takes which start of this host's engine is listed.
  void OnEngines(std::map<base::Endpoint, agent::EngineIdentity> const& aEngines)
  {
    auto const engine = aEngines.find(*m_profile.m_engine);
    if (engine == aEngines.end()) {
      return;
    }
    if (m_instance && m_instance->m_startedAt < engine->second.m_startedAt) {
      // What an earlier start of the engine asked for does not hold for this one.
      m_backoffEnd = {};
      m_wake.Notify();
    }
    if (m_instance && m_instance->m_instance != engine->second.m_instance) {
      m_orderScheduler.OnReplaced();
    }
    m_instance = engine->second;
  }

  /// Has a newer catalog read only if it changes what engines may hold.
  void OnCatalogAnnounced(agent::GatewayPresence const& aPresence)
  {
    auto const inForce = m_catalog.InForce();
    if (inForce && aPresence.m_catalog > *inForce && aPresence.m_engineSpecs == m_engineSpecs) {
      m_catalog.OnApplied(aPresence.m_catalog, m_loop.Now());
    }
    m_catalog.OnAnnounced(aPresence.m_catalog, m_loop.Now());
  }

  boost::asio::awaitable<void> Tick()
  {
    constexpr unsigned kTicksPerHeartbeat = 8;
    constexpr unsigned kTicksPerLogInterval = 10;
    for (unsigned tick = 0;; ++tick) {
      auto const now = m_loop.Now();
      m_loopMonitor.OnTick(now);
      m_gateways.Expire(now);
      if (tick % kTicksPerLogInterval == 0) {
        base::log::StartInterval();
        m_http.SweepIdle(now);
        m_store.SweepIdle(now);
      }
      if (tick % kTicksPerHeartbeat == 0) {
        SendStatus(true);
      }
      m_planning.Tick(now);
      co_await m_loop.Sleep(kTickInterval);
    }
  }

  base::EventLoop& m_loop;
  base::ProcessProfile m_profile;
  base::Metrics m_metrics;
  std::shared_ptr<base::HttpBudget> m_door;
  StoreAccess<typename Wire::StoreClient> m_store;
  base::HttpClient m_http;
  FleetMessenger m_messenger;
  engine::OrderScheduler m_orderScheduler;
  LoadMetrics m_loadMetrics;
  FleetPlanning m_planning;
  base::Signal m_wake{ m_loop.Context() };
  GatewayRegistry m_gateways;
  HostRegistration m_registration;
  agent::StreamOriginTable m_streamOrigins;
  base::Signal m_registrationDue{ m_loop.Context() };
  std::optional<agent::EngineIdentity> m_instance;
  entry::CatalogProgress m_catalog;
  /// Digest of the engine specs in the catalog that was read last.
  std::uint64_t m_engineSpecs = 0;
  base::IncarnationId m_incarnation;
  StatusSender<FleetMessenger> m_gatewayStatus;
  StatusSender<FleetMessenger> m_plannerStatus;
  LoopMonitor m_loopMonitor;
  bool m_hasReport = false;
  /// Whether the engine has announced since its start that it leaves.
  bool m_isLeaving = false;
  /// Until when the engine wants no requests from this host.
  base::Instant m_backoffEnd{};
  bool m_hasAdapterRequest = false;
};

} // namespace sardinefold::programs
