#include "Agent/AgentClient.h"

#include "Agent/ExchangeCodec.h"
#include "Base/Digest.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinefold::agent {

namespace asio = boost::asio;
using asio::awaitable;

namespace {

constexpr std::size_t kCorrelationBytes = 12;
/// Timeout of the query for an agent's clock and incarnation.
constexpr base::Duration kClockQueryTimeout = std::chrono::milliseconds(500);
/// The watchdog ends reads of a body from a dead connection; this timeout only
/// bounds a fault of the watchdog.
constexpr base::Duration kReadTimeout = std::chrono::minutes(10);
constexpr int kResolveAttempts = 2;
constexpr int kForwardAttempts = 2;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

base::HttpHeaders UpstreamHeaders(base::HttpHeaders aHeaders)
{
  RemoveExchangeFields(aHeaders);
  base::RemoveHopByHopHeaders(aHeaders);
  return aHeaders;
}

} // namespace

/// State shared by the coroutine of an exchange and the one that detects
/// silence of its connection.
class AgentReply::Watchdog
{
public:
  Watchdog(base::EventLoop& aLoop, ConnectionLimits aLimits, base::Endpoint aEndpoint,
           ExchangeHead aHead, base::Cancellation& aCancellation)
    : m_timer(aLoop.Context())
    , m_machine(aLimits, aLoop.Now())
    , m_endpoint(std::move(aEndpoint))
    , m_head(std::move(aHead))
    , m_callerCancellation(&aCancellation)
  {
    m_callerCancellation->SetAction([this] { m_connectionCancellation.Cancel(); });
  }

  bool IsOpen() const { return m_callerCancellation != nullptr; }
  void Close()
  {
    if (m_callerCancellation) {
      m_callerCancellation->ClearAction();
    }
    m_callerCancellation = nullptr;
    m_machine.OnClosed();
    m_timer.cancel();
  }

  asio::steady_timer m_timer;
  ConnectionStateMachine m_machine;
  base::Endpoint m_endpoint;
  ExchangeHead m_head;
  /// Closes the connection of this exchange.
  base::Cancellation m_connectionCancellation;
  /// The caller's cancellation; null once the exchange has ended.
  base::Cancellation* m_callerCancellation;
};

AgentReply::AgentReply(base::EventLoop& aLoop, base::HttpReply aReply,
                       std::shared_ptr<Watchdog> aWatchdog)
  : m_loop(&aLoop)
  , m_watchdog(std::move(aWatchdog))
  , m_reply(std::move(aReply))
  , m_headers(UpstreamHeaders(m_reply.Headers()))
{
  if (m_reply.IsComplete()) {
    m_watchdog->Close();
  }
}

AgentReply::AgentReply(AgentReply&&) noexcept = default;

AgentReply::~AgentReply()
{
  if (m_watchdog) {
    m_watchdog->Close();
  }
}

awaitable<tl::expected<std::string, base::Unknown>> AgentReply::Read()
{
  m_watchdog->m_machine.OnReadStarted(m_loop->Now());
  auto piece = co_await m_reply.Read(kReadTimeout);
  if (!piece) {
    bool const wasUnresponsive = m_watchdog->m_machine.State() == ConnectionState::Lost;
    m_watchdog->Close();
    base::Unknown unknown{ wasUnresponsive ? "connection_silent" : "answer_cut" };
    co_return tl::make_unexpected(std::move(unknown));
  }
  m_watchdog->m_machine.OnBytes(base::Bytes(static_cast<std::int64_t>(piece->size())),
                                m_loop->Now());
  if (m_reply.IsComplete()) {
    m_watchdog->Close();
  }
  co_return std::move(*piece);
}

AgentClient::AgentClient(base::EventLoop& aLoop, base::HttpClient& aHttp,
                         base::PeerAuthentication const& aAuthentication, ConnectionLimits aLimits)
  : m_loop(aLoop)
  , m_http(aHttp)
  , m_rpc(aHttp, aAuthentication)
  , m_authentication(aAuthentication)
  , m_limits(aLimits)
{
}

awaitable<tl::expected<Json::Value, base::RpcFailure>> AgentClient::Call(base::Endpoint aEndpoint,
                                                                         std::string aMethod,
                                                                         Json::Value aParameters,
                                                                         base::Duration aLimit)
{
  return m_rpc.Call(std::move(aEndpoint), std::move(aMethod), std::move(aParameters), aLimit);
}

void AgentClient::RecordClock(base::Endpoint const& aEndpoint,
                              base::IncarnationId const& aIncarnation, AgentClock aClock)
{
  m_clocks[aEndpoint].Update(aIncarnation, aClock, m_loop.Now());
}

awaitable<bool> AgentClient::QueryClock(base::Endpoint aEndpoint, base::Duration aLimit)
{
  // The response to a query for a nonexistent exchange contains the agent's
  // clock and incarnation.
  ExchangeQuery query;
  query.m_correlation = base::CorrelationId::FromValidated("none");
  std::string method = "agent.exchange";
  auto parameters = EncodeExchangeQuery(query);
  auto response = co_await m_rpc.Call(aEndpoint, std::move(method), std::move(parameters), aLimit);
  if (!response) {
    co_return false;
  }
  auto const report = DecodeExchangeReport(*response);
  if (!report) {
    co_return false;
  }
  RecordClock(aEndpoint, report->m_incarnation, report->m_clock);
  co_return true;
}

awaitable<ForwardOutcome> AgentClient::Forward(ForwardRequest aRequest, base::Endpoint aEndpoint,
                                               base::Cancellation& aCancellation)
{
  auto const end = m_loop.Now() + aRequest.m_head.m_firstByteLimit;
  auto const isStale = [](ForwardOutcome const& aOutcome) {
    auto const* const notRun = std::get_if<base::NotRun>(&aOutcome);
    return notRun && notRun->Reason() == ToText(Refusal::OtherIncarnation);
  };
  for (int attempt = 1;; ++attempt) {
    if (!m_clocks[aEndpoint].IsKnown()) {
      auto const limit = std::min(kClockQueryTimeout, end - m_loop.Now());
      if (!co_await QueryClock(aEndpoint, limit)) {
        co_return base::NotRun::BeforeSending("agent_unreachable");
      }
    }
    auto const now = m_loop.Now();
    if (now >= end) {
      co_return base::NotRun::BeforeSending(std::string(ToText(Refusal::DeadlinePassed)));
    }
    auto request = aRequest;
    request.m_head.m_firstByteLimit = end - now;
    auto outcome = co_await Attempt(std::move(request), aEndpoint, aCancellation);
    // The agent was restarted since its last response. The refusal that
    // reported this contained the new incarnation, so the next attempt can use
    // it.
    if (!isStale(outcome) || attempt == kForwardAttempts) {
      co_return outcome;
    }
  }
}

awaitable<ForwardOutcome> AgentClient::Attempt(ForwardRequest aRequest, base::Endpoint aEndpoint,
                                               base::Cancellation& aCancellation)
{
  auto const& clock = m_clocks[aEndpoint];
  auto& head = aRequest.m_head;
  head.m_correlation = base::CorrelationId::FromValidated(base::RandomHex(kCorrelationBytes));
  head.m_incarnation = clock.Incarnation();
  head.m_startBy =
    clock.StartBy(m_loop.Now(), std::min(head.m_firstByteLimit,
                                         aRequest.m_startLimit.value_or(head.m_firstByteLimit)));
  EncodeExchangeHead(head, aRequest.m_message.m_headers);
  m_authentication.Sign(aRequest.m_message);
  auto const limit = head.m_firstByteLimit;
  auto watchdog =
    std::make_shared<Watchdog>(m_loop, m_limits, aEndpoint, std::move(head), aCancellation);
  m_loop.Start(DetectSilence(watchdog));

  auto reply = co_await m_http.Send(aEndpoint, std::move(aRequest.m_message), limit,
                                    &watchdog->m_connectionCancellation);
  if (!reply) {
    bool const wasUnresponsive = watchdog->m_machine.State() == ConnectionState::Lost;
    watchdog->Close();
    if (!reply.error().m_mayHaveBeenSent) {
      co_return base::NotRun::NeverConnected("agent_unreachable");
    }
    if (aCancellation.IsCancelled()) {
      co_return base::Unknown{ "cancelled" };
    }
    std::string reason = wasUnresponsive ? "connection_silent" : "connection_lost";
    co_return co_await Resolve(watchdog, std::move(reason));
  }
  auto const response = DecodeResponseHead(reply->Headers());
  if (!response || response->m_correlation != watchdog->m_head.m_correlation.Text()) {
    watchdog->Close();
    std::string reason = response ? "answer_crossed" : "answer_malformed";
    co_return co_await Resolve(watchdog, std::move(reason));
  }
  RecordClock(aEndpoint, response->m_incarnation, response->m_clock);
  if (response->m_outcome == StatedOutcome::Ran) {
    watchdog->m_machine.OnHead(m_loop.Now());
    co_return AgentReply(m_loop, std::move(*reply), std::move(watchdog));
  }
  watchdog->Close();
  if (response->m_outcome == StatedOutcome::NotRun) {
    co_return base::NotRun::DeniedByReceiver(response->m_reason);
  }
  co_return base::Unknown{ response->m_reason };
}

awaitable<ForwardOutcome> AgentClient::Resolve(std::shared_ptr<Watchdog> aWatchdog,
                                               std::string aReason)
{
  auto const& head = aWatchdog->m_head;
  for (int attempt = 0; attempt < kResolveAttempts; ++attempt) {
    auto const report = co_await QueryExchange(aWatchdog, true);
    if (!report) {
      continue;
    }
    // A new incarnation has no records of what its predecessor ran.
    if (report->m_incarnation != head.m_incarnation) {
      co_return base::Unknown{ "agent_replaced" };
    }
    if (report->m_state == ExchangeState::Denied) {
      co_return base::NotRun::DeniedByReceiver(std::move(aReason));
    }
    co_return base::Unknown{ std::move(aReason) };
  }
  co_return base::Unknown{ "agent_unreachable" };
}

awaitable<tl::expected<ExchangeReport, base::RpcFailure>> AgentClient::QueryExchange(
  std::shared_ptr<Watchdog> aWatchdog, bool aDeny)
{
  // Idle connections are as old as the suspected one and may be dead, too;
  // without them, the query goes over a new connection.
  m_http.CloseIdle(aWatchdog->m_endpoint);
  ExchangeQuery query{ aWatchdog->m_head.m_correlation, aWatchdog->m_head.m_startBy, aDeny };
  auto parameters = EncodeExchangeQuery(query);
  std::string method = "agent.exchange";
  auto response = co_await m_rpc.Call(aWatchdog->m_endpoint, std::move(method),
                                      std::move(parameters), m_limits.m_probe);
  if (!response) {
    co_return tl::make_unexpected(response.error());
  }
  auto report = DecodeExchangeReport(*response);
  if (!report) {
    base::RpcFailure failure{ base::RpcFailure::Kind::Refused, true, 0, report.error().m_message };
    co_return tl::make_unexpected(std::move(failure));
  }
  RecordClock(aWatchdog->m_endpoint, report->m_incarnation, report->m_clock);
  co_return std::move(*report);
}

awaitable<void> AgentClient::DetectSilence(std::shared_ptr<Watchdog> aWatchdog)
{
  while (aWatchdog->IsOpen() && aWatchdog->m_machine.NextCheck()) {
    auto const left = *aWatchdog->m_machine.NextCheck() - m_loop.Now();
    if (left > base::Duration::zero()) {
      aWatchdog->m_timer.expires_after(left);
      co_await aWatchdog->m_timer.async_wait(kAwait);
    }
    if (!aWatchdog->IsOpen() || !aWatchdog->m_machine.ShouldProbe(m_loop.Now())) {
      continue;
    }
    auto const report = co_await QueryExchange(aWatchdog, false);
    if (!aWatchdog->IsOpen()) {
      co_return;
    }
    if (report) {
      aWatchdog->m_machine.OnReport(*report, m_loop.Now());
    } else {
      aWatchdog->m_machine.OnProbeFailed(m_loop.Now());
    }
    if (aWatchdog->m_machine.State() == ConnectionState::Lost) {
      aWatchdog->m_connectionCancellation.Cancel();
    }
  }
}

} // namespace sardinefold::agent
