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
/// For an agent to tell its clock and incarnation.
constexpr base::Duration kStatusLimit = std::chrono::milliseconds(500);
/// Reads of a body end by the watch, so this only bounds a fault of the watch.
constexpr base::Duration kReadLimit = std::chrono::minutes(10);
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

/// What the exchange's own coroutine and its watch share.
class AgentReply::Watch
{
public:
  Watch(base::EventLoop& aLoop, ConnectionLimits aLimits, base::Endpoint aEndpoint,
        ExchangeHead aHead, base::Cancellation& aCancellation)
    : m_timer(aLoop.Context())
    , m_machine(aLimits, aLoop.Now())
    , m_endpoint(std::move(aEndpoint))
    , m_head(std::move(aHead))
    , m_givenUp(&aCancellation)
  {
    m_givenUp->SetAction([this] { m_connection.Cancel(); });
  }

  bool IsOpen() const { return m_givenUp != nullptr; }
  void Close()
  {
    if (m_givenUp) {
      m_givenUp->ClearAction();
    }
    m_givenUp = nullptr;
    m_machine.OnClosed();
    m_timer.cancel();
  }

  asio::steady_timer m_timer;
  ConnectionMachine m_machine;
  base::Endpoint m_endpoint;
  ExchangeHead m_head;
  /// Closes the connection of this exchange.
  base::Cancellation m_connection;
  /// Of the caller; null once the exchange is over.
  base::Cancellation* m_givenUp;
};

AgentReply::AgentReply(base::EventLoop& aLoop, base::HttpReply aReply,
                       std::shared_ptr<Watch> aWatch)
  : m_loop(&aLoop)
  , m_watch(std::move(aWatch))
  , m_reply(std::move(aReply))
  , m_headers(UpstreamHeaders(m_reply.Headers()))
{
  if (m_reply.IsComplete()) {
    m_watch->Close();
  }
}

AgentReply::AgentReply(AgentReply&&) noexcept = default;

AgentReply::~AgentReply()
{
  if (m_watch) {
    m_watch->Close();
  }
}

awaitable<tl::expected<std::string, base::Unknown>> AgentReply::Read()
{
  m_watch->m_machine.OnReadStarted(m_loop->Now());
  auto piece = co_await m_reply.Read(kReadLimit);
  if (!piece) {
    bool const wasSilent = m_watch->m_machine.State() == ConnectionState::Lost;
    m_watch->Close();
    base::Unknown unknown{ wasSilent ? "connection_silent" : "answer_cut" };
    co_return tl::make_unexpected(std::move(unknown));
  }
  m_watch->m_machine.OnBytes(base::Bytes(static_cast<std::int64_t>(piece->size())), m_loop->Now());
  if (m_reply.IsComplete()) {
    m_watch->Close();
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

void AgentClient::NoteClock(base::Endpoint const& aEndpoint,
                            base::IncarnationId const& aIncarnation, AgentClock aClock)
{
  m_clocks[aEndpoint].Note(aIncarnation, aClock, m_loop.Now());
}

awaitable<bool> AgentClient::LearnClock(base::Endpoint aEndpoint, base::Duration aLimit)
{
  // A query for an exchange that does not exist tells clock and incarnation.
  ExchangeQuery query;
  query.m_correlation = base::CorrelationId::FromValidated("none");
  std::string method = "agent.exchange";
  auto parameters = EncodeExchangeQuery(query);
  auto answer = co_await m_rpc.Call(aEndpoint, std::move(method), std::move(parameters), aLimit);
  if (!answer) {
    co_return false;
  }
  auto const report = DecodeExchangeReport(*answer);
  if (!report) {
    co_return false;
  }
  NoteClock(aEndpoint, report->m_incarnation, report->m_clock);
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
      auto const limit = std::min(kStatusLimit, end - m_loop.Now());
      if (!co_await LearnClock(aEndpoint, limit)) {
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
    // The agent was restarted since its last answer; the answer that said so
    // brought the new incarnation.
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
  auto watch = std::make_shared<Watch>(m_loop, m_limits, aEndpoint, std::move(head), aCancellation);
  m_loop.Start(LookForSilence(watch));

  auto reply =
    co_await m_http.Send(aEndpoint, std::move(aRequest.m_message), limit, &watch->m_connection);
  if (!reply) {
    bool const wasSilent = watch->m_machine.State() == ConnectionState::Lost;
    watch->Close();
    if (!reply.error().m_mayHaveBeenSent) {
      co_return base::NotRun::NeverConnected("agent_unreachable");
    }
    if (aCancellation.IsCancelled()) {
      co_return base::Unknown{ "cancelled" };
    }
    std::string reason = wasSilent ? "connection_silent" : "connection_lost";
    co_return co_await Resolve(watch, std::move(reason));
  }
  auto const answer = DecodeAnswerHead(reply->Headers());
  if (!answer || answer->m_correlation != watch->m_head.m_correlation.Text()) {
    watch->Close();
    std::string reason = answer ? "answer_crossed" : "answer_malformed";
    co_return co_await Resolve(watch, std::move(reason));
  }
  NoteClock(aEndpoint, answer->m_incarnation, answer->m_clock);
  if (answer->m_outcome == StatedOutcome::Ran) {
    watch->m_machine.OnHead(m_loop.Now());
    co_return AgentReply(m_loop, std::move(*reply), std::move(watch));
  }
  watch->Close();
  if (answer->m_outcome == StatedOutcome::NotRun) {
    co_return base::NotRun::DeniedByReceiver(answer->m_reason);
  }
  co_return base::Unknown{ answer->m_reason };
}

awaitable<ForwardOutcome> AgentClient::Resolve(std::shared_ptr<Watch> aWatch, std::string aReason)
{
  auto const& head = aWatch->m_head;
  for (int attempt = 0; attempt < kResolveAttempts; ++attempt) {
    auto const report = co_await Ask(aWatch, true);
    if (!report) {
      continue;
    }
    // Another incarnation knows nothing of what its predecessor ran.
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

awaitable<tl::expected<ExchangeReport, base::RpcFailure>> AgentClient::Ask(
  std::shared_ptr<Watch> aWatch, bool aDeny)
{
  // The idle connections are of the same age as the one in doubt; without them
  // the question goes over a new one.
  m_http.CloseIdle(aWatch->m_endpoint);
  ExchangeQuery query{ aWatch->m_head.m_correlation, aWatch->m_head.m_startBy, aDeny };
  auto parameters = EncodeExchangeQuery(query);
  std::string method = "agent.exchange";
  auto answer = co_await m_rpc.Call(aWatch->m_endpoint, std::move(method), std::move(parameters),
                                    m_limits.m_probe);
  if (!answer) {
    co_return tl::make_unexpected(answer.error());
  }
  auto report = DecodeExchangeReport(*answer);
  if (!report) {
    base::RpcFailure failure{ base::RpcFailure::Kind::Refused, true, 0, report.error().m_message };
    co_return tl::make_unexpected(std::move(failure));
  }
  NoteClock(aWatch->m_endpoint, report->m_incarnation, report->m_clock);
  co_return std::move(*report);
}

awaitable<void> AgentClient::LookForSilence(std::shared_ptr<Watch> aWatch)
{
  while (aWatch->IsOpen() && aWatch->m_machine.NextCheck()) {
    auto const left = *aWatch->m_machine.NextCheck() - m_loop.Now();
    if (left > base::Duration::zero()) {
      aWatch->m_timer.expires_after(left);
      co_await aWatch->m_timer.async_wait(kAwait);
    }
    if (!aWatch->IsOpen() || !aWatch->m_machine.ShouldProbe(m_loop.Now())) {
      continue;
    }
    auto const report = co_await Ask(aWatch, false);
    if (!aWatch->IsOpen()) {
      co_return;
    }
    if (report) {
      aWatch->m_machine.OnReport(*report, m_loop.Now());
    } else {
      aWatch->m_machine.OnProbeFailed(m_loop.Now());
    }
    if (aWatch->m_machine.State() == ConnectionState::Lost) {
      aWatch->m_connection.Cancel();
    }
  }
}

} // namespace sardinefold::agent
