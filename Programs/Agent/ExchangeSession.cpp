#include "Programs/Agent/ExchangeSession.h"

#include "Base/Log.h"
#include "Base/Rpc/PeerAuthentication.h"

#include <charconv>

namespace sardinefold::programs {

using agent::Refusal;
using agent::StatedOutcome;
using boost::asio::awaitable;

namespace {

constexpr unsigned kBadRequest = 400;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;

/// Minimum time allowed for the response head of a non-repeatable request, so that
/// the request isn't aborted when the first-byte limit of its entry has passed.
constexpr base::Duration kNonRepeatableHeadTimeout = std::chrono::minutes(2);
/// Maximum time between two chunks of a response body.
constexpr base::Duration kChunkTimeout = std::chrono::seconds(60);
/// Responses up to this size are relayed in one write.
constexpr std::int64_t kMaximumBufferedBytes = 64LL * 1024;

std::optional<std::int64_t> ContentLength(base::HttpHeaders const& aHeaders)
{
  auto const text = aHeaders.Find("Content-Length");
  if (!text) {
    return std::nullopt;
  }
  std::int64_t length = 0;
  auto const parsed = std::from_chars(text->data(), text->data() + text->size(), length);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return length;
}

unsigned StatusOf(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::BadExchange:
      return kBadRequest;
    case Refusal::DuplicateExchange:
    case Refusal::OtherIncarnation:
      return kConflict;
    case Refusal::QueueFull:
      return kTooManyRequests;
    default:
      return kUnavailable;
  }
}

} // namespace

ExchangeSession::ExchangeSession(ExchangeContext& aContext, base::HttpExchange& aExchange)
  : m_context(aContext)
  , m_exchange(aExchange)
  , m_arrival(aContext.m_loop.Now())
{
}

agent::ResponseHead ExchangeSession::MakeResponseHead(StatedOutcome aOutcome,
                                                      std::string aReason) const
{
  auto const now = agent::ToAgentClock(m_context.m_loop.Now());
  return { aOutcome, std::move(aReason), m_head.m_correlation.Text(), m_context.m_incarnation,
           now };
}

awaitable<void> ExchangeSession::Respond(unsigned aStatus, StatedOutcome aOutcome, Refusal aRefusal)
{
  std::string const code(ToText(aRefusal));
  auto response = base::JsonResponse(aStatus, R"({"error":{"code":")" + code + R"("}})");
  agent::EncodeResponseHead(MakeResponseHead(aOutcome, code), response.m_headers);
  Record(aOutcome);
  co_await m_exchange.Respond(std::move(response));
}

awaitable<void> ExchangeSession::Refuse(Refusal aRefusal)
{
  co_await Respond(StatusOf(aRefusal), StatedOutcome::NotRun, aRefusal);
}

void ExchangeSession::Record(StatedOutcome aOutcome)
{
  auto const* const outcome = aOutcome == StatedOutcome::Ran      ? "ran"
                              : aOutcome == StatedOutcome::NotRun ? "not-run"
                                                                  : "unknown";
  base::MetricLabels const labels{ { "workspace", m_head.m_workspace.Text() },
                                   { "class", std::string(ToText(m_head.m_class)) },
                                   { "outcome", outcome } };
  auto& histogram = m_context.m_metrics.Seconds(
    "sardinefold_agent_head_seconds", "From a request's arrival to the head of its answer", labels);
  base::Observe(histogram, m_context.m_loop.Now() - m_arrival);
}

awaitable<void> ExchangeSession::Run()
{
  auto head = agent::DecodeExchangeHead(m_exchange.Request().m_headers);
  if (!head) {
    base::log::Warning("malformed exchange",
                       { { "field", head.error().m_field }, { "error", head.error().m_message } });
    auto const correlation = m_exchange.Request().m_headers.Find(base::kCorrelationHeader);
    m_head.m_correlation =
      base::CorrelationId::FromValidated(std::string(correlation.value_or("")));
    co_await Refuse(Refusal::BadExchange);
    co_return;
  }
  m_head = std::move(*head);
  if (m_head.m_incarnation != m_context.m_incarnation) {
    co_await Refuse(Refusal::OtherIncarnation);
    co_return;
  }
  using Admission = agent::ExchangeRegistry::Admission;
  auto const admission = m_context.m_registry.Begin(m_head, m_arrival);
  if (admission == Admission::Duplicate) {
    // The first request with this correlation id may run, so the outcome of this
    // one can't be "not run".
    co_await Respond(kConflict, StatedOutcome::Unknown, Refusal::DuplicateExchange);
    co_return;
  }
  if (admission == Admission::Denied) {
    co_await Refuse(Refusal::DeniedByEntry);
    co_return;
  }
  m_exchange.OnPeerDisconnected([this] {
    bool const mayStop = m_head.m_isRepeatable || !m_hasStarted;
    if (mayStop) {
      m_entryDisconnected.Cancel();
    }
  });
  co_await RunAdmitted();
  m_context.m_registry.End(m_head.m_correlation, m_context.m_loop.Now());
}

bool ExchangeSession::IsStartByPassed() const
{
  return agent::ToAgentClock(m_context.m_loop.Now()) > m_head.m_startBy;
}

base::Instant ExchangeSession::LatestStart() const
{
  auto const firstByte = m_arrival + m_head.m_firstByteLimit;
  auto const left = m_head.m_startBy - agent::ToAgentClock(m_arrival);
  auto const bounded =
    std::clamp<std::int64_t>(left.Value(), 0, base::ToMilliseconds(m_head.m_firstByteLimit));
  return std::min(firstByte, m_arrival + std::chrono::milliseconds(bounded));
}

awaitable<void> ExchangeSession::RunAdmitted()
{
  if (m_context.m_isDraining) {
    co_await Refuse(Refusal::Draining);
    co_return;
  }
  if (IsStartByPassed()) {
    co_await Refuse(Refusal::StartByPassed);
    co_return;
  }
  if (m_context.m_loader && !m_head.m_model.IsEmpty()) {
    auto const loaded = co_await m_context.m_loader->EnsureLoaded(
      m_head, m_arrival + m_head.m_firstByteLimit, m_entryDisconnected);
    if (!loaded) {
      co_await Refuse(loaded.error());
      co_return;
    }
  }
  bool const needsClaim = !m_head.m_isRepeatable && !m_head.m_claim.IsEmpty();
  if (needsClaim) {
    co_await RunClaimed();
  } else {
    co_await RunUnclaimed();
  }
}

awaitable<void> ExchangeSession::RunUnclaimed()
{
  auto const end = LatestStart();
  auto const entered = co_await m_context.m_gate.Enter(m_head, end, m_entryDisconnected);
  if (!entered) {
    co_await Refuse(entered.error());
    co_return;
  }
  auto const started = m_context.m_loop.Now();
  auto result = RelayResult{ StatedOutcome::NotRun };
  if (auto const refusal = CheckStart()) {
    co_await Refuse(*refusal);
  } else {
    result = co_await Relay();
  }
  auto const now = m_context.m_loop.Now();
  m_context.m_gate.Leave(m_head.m_correlation, result.m_signal, now - started);
}

std::optional<Refusal> ExchangeSession::CheckStart()
{
  if (IsStartByPassed()) {
    return Refusal::StartByPassed;
  }
  if (m_entryDisconnected.IsCancelled() || !m_context.m_registry.Start(m_head.m_correlation)) {
    return Refusal::DeniedByEntry;
  }
  m_hasStarted = true;
  m_responseEnd = m_context.m_loop.Now() + m_context.m_configuration.m_responseTimeout;
  return std::nullopt;
}

base::HttpRequest ExchangeSession::UpstreamRequest()
{
  auto request = std::move(m_exchange.Request());
  base::RemoveHopByHopHeaders(request.m_headers);
  agent::RemoveExchangeFields(request.m_headers);
  for (auto const* const name :
       { "Authorization", "Cookie", "Idempotency-Key", "Host", "Content-Length", "Expect" }) {
    request.m_headers.Remove(name);
  }
  return request;
}

base::HttpSendOptions ExchangeSession::UpstreamOptions(base::Duration aHeadTimeout)
{
  // Upstreams do not say which request a response belongs to.
  base::HttpSendOptions options{ aHeadTimeout, nullptr, std::nullopt, std::nullopt, nullptr };
  options.m_isConnectionExclusive = true;
  return options;
}

awaitable<ExchangeSession::RelayResult> ExchangeSession::Relay()
{
  auto request = UpstreamRequest();
  auto const deadline = m_arrival + m_head.m_firstByteLimit - m_context.m_loop.Now();
  auto const limit =
    m_head.m_isRepeatable ? deadline : std::max(deadline, kNonRepeatableHeadTimeout);
  // A non-repeatable request that has started runs to its end.
  auto* const cancellation = m_head.m_isRepeatable ? &m_entryDisconnected : nullptr;
  auto const& upstream = m_context.m_configuration.m_upstreamAddress;
  auto options = UpstreamOptions(limit);
  options.m_cancellation = cancellation;
  auto reply = co_await m_context.m_http.Send(upstream, std::move(request), std::move(options));
  if (!reply) {
    auto failure = reply.error();
    co_return co_await ReportFailure(std::move(failure));
  }
  co_return co_await RelayResponse(std::move(*reply));
}

awaitable<ExchangeSession::RelayResult> ExchangeSession::ReportFailure(base::HttpFailure aFailure)
{
  bool const wasCancelled = m_entryDisconnected.IsCancelled();
  auto const signal = wasCancelled ? agent::LoadSignal::Served : agent::LoadSignal::Overloaded;
  if (!aFailure.m_mayHaveBeenSent) {
    co_await Refuse(Refusal::UpstreamUnreachable);
    co_return RelayResult{ StatedOutcome::NotRun, signal };
  }
  bool const timedOut = aFailure.m_kind == base::HttpFailure::Kind::TimedOut;
  auto const refusal = timedOut ? Refusal::UpstreamTimedOut : Refusal::UpstreamLost;
  co_await Respond(kBadGateway, StatedOutcome::Unknown, refusal);
  co_return RelayResult{ StatedOutcome::Unknown, signal };
}

awaitable<tl::expected<std::string, base::HttpFailure>> ExchangeSession::ReadChunk(
  base::HttpReply& aReply, base::Duration aPause)
{
  auto const left = m_responseEnd - m_context.m_loop.Now();
  if (left <= base::Duration::zero()) {
    base::HttpFailure failure{ base::HttpFailure::Kind::TimedOut, true,
                               "the response did not end in time" };
    co_return tl::make_unexpected(std::move(failure));
  }
  co_return co_await aReply.Read(std::min(aPause, left));
}

base::HttpHeaders ExchangeSession::UpstreamFields(base::HttpReply const& aReply)
{
  auto headers = aReply.Headers();
  base::RemoveHopByHopHeaders(headers);
  agent::RemoveExchangeFields(headers);
  headers.Remove("Content-Length");
  return headers;
}

base::HttpHeaders ExchangeSession::ResponseHeaders(base::HttpReply const& aReply) const
{
  auto headers = UpstreamFields(aReply);
  agent::EncodeResponseHead(MakeResponseHead(StatedOutcome::Ran, {}), headers);
  return headers;
}

awaitable<ExchangeSession::RelayResult> ExchangeSession::RelayResponse(base::HttpReply aReply)
{
  Record(StatedOutcome::Ran);
  auto const signal = aReply.Status() == kTooManyRequests || aReply.Status() == kUnavailable
                        ? agent::LoadSignal::Overloaded
                        : agent::LoadSignal::Served;
  auto const length = ContentLength(aReply.Headers());
  auto headers = ResponseHeaders(aReply);
  if (!length || *length > kMaximumBufferedBytes) {
    auto result = co_await RelayStream(std::move(aReply), std::move(headers));
    result.m_signal = signal;
    co_return result;
  }
  base::HttpResponse response;
  response.m_status = aReply.Status();
  while (!aReply.IsComplete()) {
    auto chunk = co_await ReadChunk(aReply, kChunkTimeout);
    if (!chunk) {
      auto failure = chunk.error();
      co_return co_await ReportFailure(std::move(failure));
    }
    response.m_body += *chunk;
  }
  response.m_headers = std::move(headers);
  m_context.m_registry.OnHead(m_head.m_correlation);
  base::Bytes const size(static_cast<std::int64_t>(response.m_body.size()));
  m_context.m_registry.OnWritten(m_head.m_correlation, size);
  co_await m_exchange.Respond(std::move(response));
  co_return RelayResult{ StatedOutcome::Ran, signal };
}

awaitable<ExchangeSession::RelayResult> ExchangeSession::RelayStream(base::HttpReply aReply,
                                                                     base::HttpHeaders aHeaders)
{
  m_context.m_registry.OnHead(m_head.m_correlation);
  auto written = co_await m_exchange.StartStream(aReply.Status(), std::move(aHeaders));
  while (!aReply.IsComplete()) {
    auto chunk = co_await ReadChunk(aReply, kChunkTimeout);
    if (!chunk) {
      // Closing without the end of the body shows the entry that the response is
      // incomplete.
      m_exchange.CloseAfterResponse();
      co_return RelayResult{ StatedOutcome::Unknown };
    }
    base::Bytes const size(static_cast<std::int64_t>(chunk->size()));
    m_context.m_registry.OnWritten(m_head.m_correlation, size);
    if (written) {
      written = co_await m_exchange.Write(*chunk);
    }
    bool const mayStop = m_head.m_isRepeatable;
    if (!written && mayStop) {
      co_return RelayResult{ StatedOutcome::Ran };
    }
  }
  if (written) {
    co_await m_exchange.Finish();
  }
  co_return RelayResult{ StatedOutcome::Ran };
}

} // namespace sardinefold::programs
