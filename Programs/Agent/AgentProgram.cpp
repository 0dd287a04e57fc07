#include "Programs/Agent/AgentProgram.h"

#include "Agent/AgentStatusCodec.h"
#include "Base/Digest.h"
#include "Base/Log.h"
#include "Programs/DoorMetrics.h"
#include "Programs/RetryAfter.h"

namespace sardinefold::programs {

using boost::asio::awaitable;

namespace {

constexpr std::size_t kIncarnationBytes = 8;
/// Engines and services both respond to this target immediately.
constexpr char kProbeTarget[] = "/load";
/// The upstream is one network hop away, so a probe costs little when requests are
/// rare. When they are frequent, connections are seldom idle for this long.
constexpr base::Duration kProbeAfterIdle = std::chrono::milliseconds(50);
/// Maximum size of a request that an entry forwards.
constexpr base::Bytes kRequestBytes{ 8LL * 1024 * 1024 };
/// Time from refusing new requests to closing the listener. It lets entries learn
/// of the drain from responses rather than from broken connections.
constexpr base::Duration kDrainNotice = std::chrono::milliseconds(500);

/// The part of the process's memory for responses that are read to their end before they
/// are relayed. They may take four times their size, while they grow and are copied.
constexpr std::int64_t kResponseShare = 8;

base::HttpServerLimits ServerLimits()
{
  base::HttpServerLimits limits;
  limits.m_bodyBytes = kRequestBytes;
  return limits;
}

base::HttpResponse RenderRequestError(base::HttpRequestError const& aError)
{
  auto response = base::JsonResponse(aError.m_status, aError.m_status == 503
                                                        ? R"({"error":{"code":"overloaded"}})"
                                                        : R"({"error":{"code":"bad_request"}})");
  AddRetryAfter(response, aError);
  return response;
}

objectstore::CallRates PlatformRates(AgentConfiguration const& aConfiguration)
{
  auto const role = aConfiguration.m_upstreamKind == operators::UpstreamKind::Engine
                      ? objectstore::ProcessRole::EngineAgent
                      : objectstore::ProcessRole::ServiceAgent;
  return objectstore::ShareOf(objectstore::kPlatformRates, aConfiguration.m_fleetSize, role);
}

std::uint64_t SeedOf(base::IncarnationId const& aIncarnation)
{
  return base::FastHash(aIncarnation.Text());
}

base::HttpResponse TextResponse(unsigned aStatus, std::string aBody)
{
  base::HttpResponse response;
  response.m_status = aStatus;
  response.m_headers.Add("Content-Type", "text/plain; version=0.0.4");
  response.m_body = std::move(aBody);
  return response;
}

base::HttpClientLimits ClientLimits()
{
  base::HttpClientLimits limits;
  limits.m_probe.emplace();
  limits.m_probe->m_target = kProbeTarget;
  limits.m_probe->m_idleThreshold = kProbeAfterIdle;
  return limits;
}

} // namespace

AgentProgram::AgentProgram(base::EventLoop& aLoop, AgentConfiguration aConfiguration)
  : m_loop(aLoop)
  , m_configuration(std::move(aConfiguration))
  , m_incarnation(base::IncarnationId::FromValidated(base::RandomHex(kIncarnationBytes)))
  , m_authentication(m_configuration.m_fleetSecret)
  , m_http(aLoop, ClientLimits())
  , m_registry(m_incarnation)
  , m_gate(aLoop, m_configuration.m_concurrency, m_configuration.m_maximumWaiting)
  , m_loader(m_configuration.m_upstreamKind == operators::UpstreamKind::Engine
               ? std::make_unique<ReplicaLoader>(aLoop, m_http, m_configuration.m_upstreamAddress)
               : nullptr)
  , m_platformBudget(PlatformRates(m_configuration), SeedOf(m_incarnation), aLoop.Now())
  , m_platformBreaker({}, SeedOf(m_incarnation))
  , m_platform(aLoop, m_http, m_configuration.m_platform.front(), m_platformBudget,
               m_platformBreaker, m_metrics)
  , m_claims(m_platform, aLoop, m_incarnation, {})
  , m_responseMemory(base::Bytes(m_configuration.m_memoryLimit.Value() / kResponseShare))
  , m_context{ aLoop,      m_configuration, m_incarnation,  m_http,   m_metrics,
               m_registry, m_gate,          m_loader.get(), m_claims, m_responseMemory }
  , m_rpc(m_authentication)
  , m_door(std::make_shared<base::HttpBudget>(m_configuration.m_budget))
  , m_server(
      aLoop, ServerLimits(), [this](base::HttpExchange& aExchange) { return Handle(aExchange); },
      RenderRequestError)
{
  RegisterMethods();
}

AgentProgram::~AgentProgram() = default;

void AgentProgram::RegisterMethods()
{
  m_rpc.Register("agent.status", [this](Json::Value const&) {
    return tl::expected<Json::Value, base::RpcError>(agent::EncodeAgentStatus(Status()));
  });
  m_rpc.Register("agent.exchange",
                 [this](Json::Value const& aInput) -> tl::expected<Json::Value, base::RpcError> {
                   auto const query = agent::DecodeExchangeQuery(aInput);
                   if (!query) {
                     auto const& error = query.error();
                     return tl::make_unexpected(base::RpcError{
                       base::kRpcInvalidParameters, error.m_field + " " + error.m_message });
                   }
                   auto const report = m_registry.Query(query->m_correlation, query->m_startBy,
                                                        query->m_deny, m_loop.Now());
                   return agent::EncodeExchangeReport(report);
                 });
}

tl::expected<void, std::string> AgentProgram::Start()
{
  m_server.UseBudget(m_door);
  if (!m_door->Fits(kRequestBytes)) {
    base::log::Error("memory is too small for one request with the largest body",
                     { { "body_bytes", std::to_string(kRequestBytes.Value()) },
                       { "budget_bytes", std::to_string(m_door->Limits().m_memory.Value()) } });
  }
  auto listening = m_server.Listen(m_configuration.m_listen);
  if (!listening) {
    return listening;
  }
  if (m_loader) {
    m_loop.Start(m_loader->PollEngine());
  } else {
    m_loop.Start(m_claims.CleanUp());
  }
  base::log::Info("listening", { { "address", m_configuration.m_listen.m_address },
                                 { "port", std::to_string(Port()) },
                                 { "upstream", m_configuration.m_upstream.Text() },
                                 { "incarnation", m_incarnation.Text() } });
  return {};
}

awaitable<void> AgentProgram::Shutdown()
{
  base::log::Info("draining", { { "open", std::to_string(m_server.OpenExchanges()) } });
  m_context.m_isDraining = true;
  co_await m_loop.Sleep(kDrainNotice);
  auto const abortedCount = co_await m_server.Drain(m_configuration.m_drainTimeout);
  base::log::Info("stopped", { { "cut", std::to_string(abortedCount) } });
  m_loop.Stop();
}

bool AgentProgram::IsReady() const
{
  return !m_context.m_isDraining && (!m_loader || m_loader->HasEngineStatus());
}

agent::AgentStatus AgentProgram::Status() const
{
  agent::AgentStatus status;
  status.m_upstream = m_configuration.m_upstream;
  status.m_incarnation = m_incarnation;
  status.m_clock = agent::ToAgentClock(m_loop.Now());
  status.m_isDraining = m_context.m_isDraining;
  status.m_running = m_gate.Running();
  status.m_waiting = m_gate.Waiting();
  if (m_loader) {
    status.m_replicas = m_loader->Replicas();
    status.m_freeMemory = m_loader->FreeMemory();
  }
  return status;
}

awaitable<void> AgentProgram::HandleUnsigned(base::HttpExchange& aExchange)
{
  auto response = base::JsonResponse(401, R"({"error":{"code":"peer_not_authenticated"}})");
  auto const& request = aExchange.Request();
  bool const isSigned = request.m_headers.Find(base::kSignatureHeader).has_value();
  if (!isSigned && request.m_method == "GET") {
    if (request.m_target == "/metrics") {
      UpdateDoorMetrics(m_metrics, *m_door);
      response = TextResponse(200, m_metrics.Render());
    } else if (request.m_target == "/healthz") {
      response = TextResponse(200, "ok\n");
    } else if (request.m_target == "/readyz") {
      response = IsReady() ? TextResponse(200, "ready\n") : TextResponse(503, "not ready\n");
    }
  }
  co_await aExchange.Respond(std::move(response));
}

awaitable<void> AgentProgram::Handle(base::HttpExchange& aExchange)
{
  auto const& request = aExchange.Request();
  if (!m_authentication.Verify(request)) {
    co_await HandleUnsigned(aExchange);
    co_return;
  }
  if (request.m_target == base::kRpcTarget && request.m_method == "POST" &&
      !request.m_headers.Find("Sardinefold-Request")) {
    auto answer = m_rpc.HandleRequest(request);
    co_await aExchange.Respond(std::move(answer));
    co_return;
  }
  ExchangeSession session(m_context, aExchange);
  co_await session.Run();
}

} // namespace sardinefold::programs
