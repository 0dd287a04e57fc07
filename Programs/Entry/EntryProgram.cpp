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
constexpr base::Duration kHostPollInterval = std::chrono::seconds(1);
constexpr base::Duration kHostPollLimit = std::chrono::seconds(2);

base::HttpResponse RenderProtocolError(base::HttpRequestError const& aError)
{
  auto const code = aError.m_status == 413 ? caller::RefusalCode::BodyTooLarge
                                           : caller::RefusalCode::InvalidRequest;
  auto const refusal = caller::RefuseAtDoor(code, aError.m_message);
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

caller::CallerSettings CallerSettingsOf(base::Settings const& aSettings)
{
  caller::CallerSettings settings;
  settings.m_modelLimits.m_defaultOutput = base::Tokens(aSettings.Count("default-output-tokens"));
  settings.m_modelLimits.m_bytesPerToken =
    std::max<std::int64_t>(1, aSettings.Count("bytes-per-token"));
  return settings;
}

/// The upstream hosts of the platform's answer; entries without an address
/// that can be used are left out.
std::vector<agent::AgentHost> ReadHosts(Json::Value const& aList)
{
  std::vector<agent::AgentHost> hosts;
  for (auto const& row : aList["hosts"]) {
    auto const endpoint = base::Endpoint::Parse(row["address"].asString());
    if (row["role"].asString() != "upstream" || !endpoint) {
      continue;
    }
    hosts.push_back({ base::HostId::FromValidated(row["host"].asString()),
                      base::FailureDomainId::FromValidated(row["failure_domain"].asString()),
                      *endpoint, row["state"].asString() == "leaving" });
  }
  return hosts;
}

} // namespace

EntryProgram::EntryProgram(base::EventLoop& aLoop, base::Settings const& aSettings)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_authentication(aSettings.Text("fleet-secret"))
  , m_http(aLoop, {})
  , m_rpc(m_authentication)
  , m_backend(aLoop, m_http, m_authentication)
  , m_callerMetrics(m_metrics)
  , m_callers(aLoop, m_backend, m_callerMetrics, CallerSettingsOf(aSettings))
  , m_server(
      aLoop, ServerLimits(aSettings),
      [this](base::HttpExchange& aExchange) { return Handle(aExchange); }, RenderProtocolError)
{
}

tl::expected<void, std::string> EntryProgram::Start()
{
  if (auto const path = m_settings.Text("document"); !path.empty()) {
    if (auto const loaded = LoadDocument(path); !loaded) {
      return loaded;
    }
  }
  if (auto const loaded = LoadCertificate(); !loaded) {
    return loaded;
  }
  if (auto const listening = m_server.Listen(m_settings.Address("listen")); !listening) {
    return listening;
  }
  m_loop.Start(FollowHosts());
  m_loop.Start(m_backend.FollowAgents());
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
    base::log::Error("certificate not reloaded; the old one stays",
                     { { "error", loaded.error() } });
    return;
  }
  base::log::Info("certificate reloaded");
}

asio::awaitable<void> EntryProgram::FollowHosts()
{
  while (!m_backend.IsDraining()) {
    base::HttpRequest request;
    request.m_target = "/v1/hosts";
    auto const response =
      co_await m_http.Fetch(m_settings.Address("platform"), std::move(request), kHostPollLimit);
    if (response && response->m_status == 200) {
      if (auto const list = base::ParseJson(response->m_body)) {
        m_backend.SetHosts(ReadHosts(*list));
        m_hasHosts = true;
      }
    }
    co_await m_loop.Sleep(kHostPollInterval);
  }
}

asio::awaitable<void> EntryProgram::Handle(base::HttpExchange& aExchange)
{
  auto const path = aExchange.Request().Path();
  base::HttpResponse response;
  if (path == base::kRpcTarget) {
    response = m_rpc.Answer(aExchange.Request());
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

base::HttpResponse EntryProgram::ReadyResponse() const
{
  bool const isReady = m_backend.CurrentDocument() && m_hasHosts && !m_backend.IsDraining();
  return isReady ? base::JsonResponse(200, R"({"status":"ready"})")
                 : base::JsonResponse(503, R"({"status":"not ready"})");
}

asio::awaitable<void> EntryProgram::Shutdown()
{
  m_backend.StartDraining();
  base::log::Info("draining", { { "open", std::to_string(m_server.OpenExchanges()) } });
  auto const left = co_await m_server.Drain(m_settings.Milliseconds("drain-ms"));
  base::log::Info("stopped", { { "cut", std::to_string(left) } });
  m_loop.Stop();
}

} // namespace sardinefold::programs
