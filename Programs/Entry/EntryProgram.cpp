#include "Programs/Entry/EntryProgram.h"

#include "Base/Json.h"
#include "Operator/DocumentCodec.h"

#include <boost/asio/ssl/context.hpp>

#include <fstream>
#include <iterator>

namespace sardinefold::programs {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kIncarnationBytes = 8;
constexpr base::Duration kVersionForwardInterval = std::chrono::milliseconds(100);
constexpr base::Duration kHostPollInterval = std::chrono::seconds(1);
constexpr base::Duration kHostPollTimeout = std::chrono::seconds(2);

/// Returns one entry's share of the calls that the platform admits.
objectstore::CallRates RatesOf(entry::FleetView const& aEntries, std::size_t aAgents)
{
  objectstore::FleetSize size;
  size.m_entries = std::max(1U, static_cast<std::uint32_t>(aEntries.m_entries.size()));
  size.m_engineAgents = static_cast<std::uint32_t>(aAgents);
  return objectstore::ShareOf(objectstore::kPlatformRates, size, objectstore::ProcessRole::Entry);
}

/// Returns a seed that differs each time the process starts.
std::uint64_t RandomSeed()
{
  return base::FastHash(base::RandomHex(8));
}

entry::HolderKey HolderOf(base::Settings const& aSettings)
{
  return { base::HostId::FromValidated(aSettings.Text("host")),
           base::IncarnationId::FromValidated(base::RandomHex(kIncarnationBytes)) };
}

/// Returns the share that the entries of a failure domain request tokens from
/// first.
entry::ShareIndex LocalShare(std::string const& aFailureDomain)
{
  entry::AllowanceLayout const layout;
  return entry::ShareIndex(base::FastHash(aFailureDomain) % layout.m_shares);
}

base::HttpResponse RenderProtocolError(base::HttpRequestError const& aError)
{
  auto const code = aError.m_status == 413 ? caller::RefusalCode::BodyTooLarge
                                           : caller::RefusalCode::InvalidRequest;
  auto const refusal = caller::RefuseBeforeSending(code, aError.m_message);
  auto const request = base::RequestId::FromValidated(base::RandomHex(kRequestIdBytes));
  auto response = caller::RenderRefusal(refusal, request);
  response.m_status = aError.m_status;
  return response;
}

base::HttpServerLimits ServerLimits(base::Settings const& aSettings)
{
  base::HttpServerLimits limits;
  limits.m_bodyBytes = base::Bytes(aSettings.Count("maximum-body-bytes"));
  limits.m_connections = static_cast<std::size_t>(aSettings.Count("maximum-connections"));
  return limits;
}

base::HttpClientLimits ClientLimits()
{
  base::HttpClientLimits limits;
  limits.m_probe.emplace();
  limits.m_probe->m_target = "/healthz";
  return limits;
}

caller::CallerSettings CallerSettingsOf(base::Settings const& aSettings)
{
  caller::CallerSettings settings;
  settings.m_modelLimits.m_defaultOutput = base::Tokens(aSettings.Count("default-output-tokens"));
  settings.m_modelLimits.m_bytesPerToken =
    std::max<std::int64_t>(1, aSettings.Count("bytes-per-token"));
  return settings;
}

} // namespace

EntryProgram::EntryProgram(base::EventLoop& aLoop, base::Settings const& aSettings)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_authentication(aSettings.Text("fleet-secret"))
  , m_http(aLoop, ClientLimits())
  , m_rpc(m_authentication)
  , m_budget(RatesOf({}, 0), RandomSeed(), aLoop.Now())
  , m_breaker({}, RandomSeed())
  , m_platform(aLoop, m_http, aSettings.Address("platform"), m_budget, m_breaker, m_metrics)
  , m_allowances(aLoop, HolderOf(aSettings), {}, LocalShare(aSettings.Text("failure-domain")),
                 m_platform, base::RpcClient(m_http, m_authentication))
  , m_keys(aLoop, base::HostId::FromValidated(aSettings.Text("host")),
           base::RpcClient(m_http, m_authentication))
  , m_backend(aLoop, m_http, m_authentication, m_allowances, m_keys)
  , m_callerMetrics(m_metrics)
  , m_callers(aLoop, m_backend, m_callerMetrics, CallerSettingsOf(aSettings))
  , m_configuration(aLoop,
                    { { base::HostId::FromValidated(aSettings.Text("host")),
                        base::FailureDomainId::FromValidated(aSettings.Text("failure-domain")) },
                      entry::ProcessRole::Entry,
                      base::EnvironmentId::FromValidated(aSettings.Text("environment")) },
                    m_platform, base::RpcClient(m_http, m_authentication), m_backend, RandomSeed())
  , m_operators(aLoop, m_platform, aSettings.Text("operator-token"),
                [this] { return RenderStatus(); })
  , m_server(
      aLoop, ServerLimits(aSettings),
      [this](base::HttpExchange& aExchange) { return Handle(aExchange); }, RenderProtocolError)
{
}

tl::expected<void, std::string> EntryProgram::Start()
{
  if (auto const path = m_settings.Text("document"); !path.empty()) {
    if (auto loaded = LoadDocument(path); !loaded) {
      return loaded;
    }
  }
  if (auto loaded = LoadCertificate(); !loaded) {
    return loaded;
  }
  if (auto listening = m_server.Listen(m_settings.Address("listen")); !listening) {
    return listening;
  }
  m_configuration.Register(m_rpc);
  m_allowances.Register(m_rpc);
  m_keys.Register(m_rpc);
  m_loop.Start(m_configuration.Run());
  m_loop.Start(m_allowances.Run());
  m_loop.Start(m_keys.Run());
  m_loop.Start(ForwardNewestVersion());
  m_loop.Start(m_allowances.FollowOwnership());
  m_loop.Start(FollowHosts());
  m_loop.Start(m_backend.PollAgents());
  base::log::Info("ready", { { "listen", m_settings.Text("listen") } });
  return {};
}

tl::expected<void, std::string> EntryProgram::LoadDocument(std::string const& aPath)
{
  std::ifstream file(aPath);
  std::string const text(std::istreambuf_iterator<char>(file), {});
  if (!file) {
    return tl::make_unexpected("--document (SARDINEFOLD_DOCUMENT): cannot read " + aPath);
  }
  auto document = operators::ParseDocument(text);
  if (!document) {
    return tl::make_unexpected("--document (SARDINEFOLD_DOCUMENT): " +
                               operators::ToText(document.error()));
  }
  m_backend.Apply(std::make_unique<operators::Document const>(std::move(*document)));
  return {};
}

tl::expected<void, std::string> EntryProgram::LoadCertificate()
{
  auto const certificate = m_settings.Text("tls-certificate");
  auto const key = m_settings.Text("tls-key");
  if (certificate.empty() && key.empty()) {
    return {};
  }
  auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
  boost::system::error_code error;
  context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1 |
                       asio::ssl::context::no_tlsv1_1);
  context->use_certificate_chain_file(certificate, error);
  if (error) {
    return tl::make_unexpected("--tls-certificate (SARDINEFOLD_TLS_CERTIFICATE): " +
                               error.message());
  }
  context->use_private_key_file(key, asio::ssl::context::pem, error);
  if (error) {
    return tl::make_unexpected("--tls-key (SARDINEFOLD_TLS_KEY): " + error.message());
  }
  m_server.UseTls(std::move(context));
  return {};
}

void EntryProgram::ReloadCertificate()
{
  auto const loaded = LoadCertificate();
  if (!loaded) {
    base::log::Error("certificate reload failed; keeping the current certificate",
                     { { "error", loaded.error() } });
    return;
  }
  base::log::Info("certificate reloaded");
}

asio::awaitable<void> EntryProgram::FollowHosts()
{
  while (!m_backend.IsDraining()) {
    auto const hosts =
      co_await m_platform.Hosts(kHostPollTimeout, objectstore::CallPurpose::Membership);
    if (hosts) {
      ApplyHosts(*hosts);
    }
    m_http.SweepIdle(m_loop.Now());
    co_await m_loop.Sleep(kHostPollInterval);
  }
}

void EntryProgram::ApplyHosts(objectstore::HostList const& aHosts)
{
  auto agents = AgentHosts(aHosts);
  auto view = ConfigurationView(aHosts);
  m_budget.SetRates(RatesOf(view, agents.size()), m_loop.Now());
  m_backend.SetHosts(std::move(agents));
  m_configuration.SetView(std::move(view), Addresses(aHosts));
  m_allowances.SetEntries(ListedEntries(aHosts), Addresses(aHosts));
  m_keys.SetEntries(EntryAddresses(aHosts));
  m_hasHosts = true;
}

asio::awaitable<void> EntryProgram::ForwardNewestVersion()
{
  while (!m_backend.IsDraining()) {
    auto const& node = m_configuration.Node();
    auto const& newest = node.Versions().Newest();
    auto const freshAt = node.LastConfirmed();
    if (newest && freshAt) {
      m_keys.OnPlatformRead(newest->m_version, *freshAt);
    }
    co_await m_loop.Sleep(kVersionForwardInterval);
  }
}

asio::awaitable<void> EntryProgram::Handle(base::HttpExchange& aExchange)
{
  auto const path = aExchange.Request().Path();
  base::HttpResponse response;
  if (path == base::kRpcTarget) {
    response = m_rpc.HandleRequest(aExchange.Request());
  } else if (path.starts_with(operators::kOperatorPrefix)) {
    response = co_await m_operators.HandleRequest(aExchange.Request());
  } else if (path == "/healthz") {
    response = base::JsonResponse(200, R"({"status":"ok"})");
  } else if (path == "/readyz") {
    response = ReadyResponse();
  } else if (path == "/metrics") {
    response.m_headers.Add("Content-Type", "text/plain; version=0.0.4");
    response.m_body = m_metrics.Render();
  } else {
    co_await m_callers.Serve(aExchange);
    co_return;
  }
  co_await aExchange.Respond(std::move(response));
}

asio::awaitable<std::string> EntryProgram::RenderStatus()
{
  auto const tally = co_await m_configuration.CountFleet();
  auto status = entry::WriteTally(tally);
  status["environment"] = m_settings.Text("environment");
  status["host"] = m_settings.Text("host");
  co_return base::RenderJson(status);
}

base::HttpResponse EntryProgram::ReadyResponse() const
{
  bool const isReady = m_backend.CurrentDocument() && m_hasHosts && !m_backend.IsDraining() &&
                       m_keys.AreVerifiable(m_loop.Now());
  return isReady ? base::JsonResponse(200, R"({"status":"ready"})")
                 : base::JsonResponse(503, R"({"status":"not ready"})");
}

asio::awaitable<void> EntryProgram::Shutdown()
{
  m_backend.StartDraining();
  m_configuration.Stop();
  base::log::Info("draining", { { "open", std::to_string(m_server.OpenExchanges()) } });
  auto const abortedCount = co_await m_server.Drain(m_settings.Milliseconds("drain-ms"));
  co_await m_allowances.HandOver();
  base::log::Info("stopped", { { "cut", std::to_string(abortedCount) } });
  m_loop.Stop();
}

} // namespace sardinefold::programs
