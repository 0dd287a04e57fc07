#pragma once

#include "Base/Cancellation.h"
#include "Base/CaseInsensitive.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpExchange.h"
#include "Caller/AttemptHistory.h"
#include "Caller/ResponseDeadline.h"
#include "Programs/Gateway/EventBuffer.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/RequestContext.h"
#include "Programs/Gateway/RequestRecord.h"
#include "Programs/Gateway/UpstreamNotices.h"
#include "Programs/ServingWire.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// Relays an upstream's response to the caller and returns how the attempt ended.
template<ServingWire Wire>
class ResponseRelay
{
public:
  using AttemptEnd = caller::AttemptEnd;

  /// Time after the caller's deadline in which the upstream's own time-out
  /// response may still arrive: a few round trips.
  static constexpr base::Duration kResponseGrace = std::chrono::milliseconds(150);

  /// The arguments must outlive the relay.
  ResponseRelay(GatewayState& aState, base::HttpExchange& aExchange, RequestContext const& aContext,
                caller::AttemptHistory& aHistory, RequestRecord& aRecord,
                base::Cancellation const& aCancellation)
    : m_state(aState)
    , m_exchange(aExchange)
    , m_context(aContext)
    , m_history(aHistory)
    , m_record(aRecord)
    , m_cancellation(aCancellation)
  {
  }

  boost::asio::awaitable<AttemptEnd> Relay(base::HttpReply& aReply,
                                           engine::UpstreamChoice const& aChoice)
  {
    auto const head = Wire::DecodeResponseHead(
      aReply.Status(), aReply.Headers(), m_context.m_request.m_id, aReply.IsFirstOnConnection());
    if (!head.m_isForRequest) {
      co_return FailAttempt("answer may be for another request", aChoice);
    }
    // Another engine at the address speaks for itself.
    auto const notice = head.m_isWrongEngine
                          ? engine::UpstreamNotice{}
                          : Wire::DecodeNotice(aReply.Status(), aReply.Headers());
    RecordNotice(m_state, notice, aChoice);
    if (!head.m_isWrongEngine) {
      RecordRequestLimit(m_state, notice, *m_attempt, head.m_isGenuine);
    }
    m_state.m_directory.OnTrialAnswered(aChoice, ImpliesNotRun(head.m_status));
    if (head.m_load) {
      m_state.m_directory.OnLoadReported(aChoice.m_instance, head.m_load->m_running,
                                         head.m_load->m_waiting, head.m_load->m_slowdown, Now());
    }
    if (head.m_isNotRun) {
      co_return co_await OnRejection(aReply, head, aChoice, notice.m_retryAfter.has_value());
    }
    if (notice.m_retryAfter) {
      // Not a failure of the upstream, but no proof that the request did not run.
      m_record.m_outcome = kBackoffReason;
      co_await DiscardBody(aReply, aChoice);
      co_return AttemptEnd::Unknown;
    }
    if (ImpliesNotRun(head.m_status)) {
      // Without proof from the upstream, the caller must not take the status as a
      // sign that the request did not run.
      co_return FailAttempt("upstream refused without proof", aChoice);
    }
    if (m_exchange.HasStarted() && !head.IsSuccess()) {
      // The caller has already received part of a stream, which an error response
      // cannot continue.
      co_return FailAttempt("stream was not resumed", aChoice);
    }
    if (head.IsSuccess() && (!head.m_isGenuine || head.m_isEncoded)) {
      co_return FailAttempt("answer is not the upstream's", aChoice);
    }
    if (head.IsSuccess() && m_context.m_route.m_repeatability == operators::Repeatability::Stream) {
      if (!IsEventStream(aReply)) {
        co_return FailAttempt("answer is no event stream", aChoice);
      }
      co_return co_await RelayStream(aReply, aChoice);
    }
    co_return co_await RelayComplete(aReply, head, aChoice);
  }

  /// Whether the upstream of the current attempt has sent its first event.
  bool HasResponseStarted() const { return m_hasResponseStarted; }
  /// Called before each attempt. aAttempt must outlive it.
  void OnNewAttempt(Attempt const& aAttempt)
  {
    m_hasResponseStarted = false;
    m_attempt = &aAttempt;
    m_deadline.emplace(m_context.m_end, kResponseGrace);
  }
  /// Returns the buffered failure response of an earlier attempt, if any, and
  /// clears it.
  std::optional<base::HttpResponse> TakeBufferedFailure()
  {
    return std::exchange(m_bufferedFailure, std::nullopt);
  }
  /// The stream goes on with one that began elsewhere.
  void OnResumed(agent::StreamOrigin aOrigin)
  {
    m_openStream.emplace(m_state.StreamOrigins(), std::move(aOrigin));
  }
  /// When events were last relayed to the caller.
  std::optional<base::Instant> LastRelayedAt() const { return m_lastRelayedAt; }

private:
  static constexpr std::string_view kBackoffReason = "upstream wants no requests";

  base::Instant Now() const { return m_state.m_loop.Now(); }

  /// Whether callers take the status as proof that a request has not run and never
  /// will.
  static bool ImpliesNotRun(unsigned aStatus)
  {
    return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
  }

  AttemptEnd FailAttempt(std::string_view aOutcome, engine::UpstreamChoice const& aChoice)
  {
    m_record.m_outcome = aOutcome;
    m_state.RecordFailure(aChoice, aOutcome);
    return AttemptEnd::Unknown;
  }

  boost::asio::awaitable<AttemptEnd> OnRejection(base::HttpReply& aReply,
                                                 caller::UpstreamResponseHead const& aHead,
                                                 engine::UpstreamChoice const& aChoice,
                                                 bool aIsBackoff)
  {
    auto const& model = m_context.m_query.m_model;
    m_record.m_outcome = aHead.m_isWrongEngine ? "misdirected" : "upstream is full";
    if (aIsBackoff) {
      m_record.m_outcome = kBackoffReason;
    }
    if (aHead.m_isWrongEngine && !model && HasModels() && !m_exchange.HasStarted()) {
      co_await DiscardBody(aReply, aChoice);
      co_return co_await RefuseWithoutModel();
    }
    if (aHead.m_isWrongEngine && model) {
      m_state.m_directory.OnModelMissing(aChoice.m_instance, *model, Now());
    } else if (aHead.m_isWrongEngine) {
      m_state.m_directory.OnWrongInstance(aChoice.m_instance, Now());
    }
    co_await DiscardBody(aReply, aChoice);
    co_return AttemptEnd::NotRun;
  }

  /// Whether the upstreams of the request's deployment are engines, which reject requests
  /// that name no model.
  bool HasModels() const
  {
    auto const* const deployment =
      m_state.m_catalog->FindDeployment(m_context.m_query.m_deployment);
    return deployment && deployment->m_engine;
  }

  /// Ends a request that each engine would reject.
  boost::asio::awaitable<AttemptEnd> RefuseWithoutModel()
  {
    constexpr unsigned kBadRequest = 400;
    m_record.m_outcome = "request names no model";
    m_record.m_status = kBadRequest;
    auto response =
      Wire::EncodeRefusal(kBadRequest, m_record.m_outcome, m_context.m_request.m_id, std::nullopt);
    auto const sent = co_await m_exchange.Respond(std::move(response));
    co_return sent ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  /// Reads the rest of a rejection, which is short, so that the connection can be
  /// reused.
  boost::asio::awaitable<void> DiscardBody(base::HttpReply& aReply,
                                           engine::UpstreamChoice const& aChoice)
  {
    constexpr base::Duration kDiscardTime = std::chrono::milliseconds(200);
    constexpr std::size_t kDiscardBytes = 64UL * 1024;
    auto const end = Now() + kDiscardTime;
    std::size_t discarded = 0;
    while (!aReply.IsComplete()) {
      auto const left = end - Now();
      if (left <= base::Duration::zero() || discarded > kDiscardBytes) {
        m_state.RecordUnresponsive(aChoice, "refusal without end");
        co_return;
      }
      auto const chunk = co_await aReply.Read(left);
      if (!chunk) {
        if (chunk.error().m_kind == base::HttpFailure::Kind::TimedOut) {
          m_state.RecordUnresponsive(aChoice, "refusal without end");
        }
        co_return;
      }
      discarded += chunk->size();
    }
  }

  AttemptEnd FailUnresponsive(std::string_view aOutcome, engine::UpstreamChoice const& aChoice)
  {
    m_record.m_outcome = aOutcome;
    m_state.RecordUnresponsive(aChoice, aOutcome);
    return AttemptEnd::Unknown;
  }

  /// Returns the next chunk of the response, or how the attempt ended.
  boost::asio::awaitable<tl::expected<std::string, AttemptEnd>> ReadChunk(
    base::HttpReply& aReply, engine::UpstreamChoice const& aChoice)
  {
    auto const limit = m_deadline->Left(Now());
    if (limit <= base::Duration::zero()) {
      co_return tl::make_unexpected(FailUnresponsive("answer without end", aChoice));
    }
    auto chunk = co_await aReply.Read(limit);
    if (m_exchange.IsPeerDisconnected()) {
      co_return tl::make_unexpected(AttemptEnd::CallerGone);
    }
    if (!chunk && m_cancellation.IsCancelled()) {
      m_record.m_outcome = kStoppingOutcome;
      co_return tl::make_unexpected(AttemptEnd::Unknown);
    }
    if (!chunk) {
      m_record.m_outcome = ToText(chunk.error().m_kind);
      m_state.RecordTransportFailure(chunk.error(), *m_attempt, m_hasResponseStarted,
                                     m_context.m_end);
      co_return tl::make_unexpected(AttemptEnd::Unknown);
    }
    co_return std::move(*chunk);
  }

  /// Buffers the complete response before sending any of it to the caller, so that
  /// a truncated response is detected.
  boost::asio::awaitable<AttemptEnd> RelayComplete(base::HttpReply& aReply,
                                                   caller::UpstreamResponseHead const& aHead,
                                                   engine::UpstreamChoice const& aChoice)
  {
    caller::ResponseMemoryBudget::Lease lease(m_state.m_responseMemory);
    base::HttpResponse response;
    response.m_status = aHead.m_status;
    response.m_headers = Wire::EncodeResponseHeaders(aReply.Headers());
    while (!aReply.IsComplete()) {
      auto const chunk = co_await ReadChunk(aReply, aChoice);
      if (!chunk) {
        co_return chunk.error();
      }
      response.m_body += *chunk;
      if (!lease.Resize(base::Bytes(static_cast<std::int64_t>(response.m_body.size())))) {
        co_return FailUnresponsive("answer is too large", aChoice);
      }
    }
    bool const isFailure = aHead.m_status >= 500;
    if (isFailure) {
      m_state.RecordFailure(aChoice, "upstream answered with a failure");
    }
    m_state.RecordResponse(*m_attempt, !isFailure);
    if (aHead.IsSuccess()) {
      m_state.RecordBeginning(*m_attempt);
    }
    if (isFailure && IsRetryAllowed()) {
      m_record.m_outcome = "upstream answered with a failure";
      m_bufferedFailure = std::move(response);
      m_bufferedFailureLease = std::move(lease);
      co_return AttemptEnd::Failed;
    }
    m_record.m_status = response.m_status;
    m_record.m_outcome = "answered";
    auto const sent = co_await m_exchange.Respond(std::move(response));
    co_return sent ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  /// Whether another upstream may be tried after a failed attempt.
  bool IsRetryAllowed()
  {
    auto const& route = m_context.m_route;
    return route.MayRepeat() && m_history.Runs() + 1 < route.m_maximumAttempts &&
           Now() < m_context.m_end && m_state.Stop().MayBegin(route, m_context.m_end, Now()) &&
           m_state.RetryBudgetOf(m_context.m_query.m_deployment, Now()).Available() >= 1;
  }

  /// Relays events as they arrive.
  boost::asio::awaitable<AttemptEnd> RelayStream(base::HttpReply& aReply,
                                                 engine::UpstreamChoice const& aChoice)
  {
    caller::ResponseMemoryBudget::Lease lease(m_state.m_responseMemory);
    EventBuffer events;
    while (!aReply.IsComplete()) {
      auto const chunk = co_await ReadChunk(aReply, aChoice);
      if (!chunk) {
        co_return chunk.error();
      }
      auto const complete = events.Add(*chunk);
      auto const partialBytes = static_cast<std::int64_t>(events.PartialEvent().size());
      if (events.IsTooLong() || !lease.Resize(base::Bytes(partialBytes))) {
        co_return FailUnresponsive("event is too long", aChoice);
      }
      if (complete.empty()) {
        continue;
      }
      if (!ContinuesStream(complete)) {
        co_return FailAttempt("stream continues at another event", aChoice);
      }
      OnEvents(complete, aChoice);
      bool const isStarted = co_await StartCallersStream(aReply);
      if (!isStarted) {
        co_return AttemptEnd::CallerGone;
      }
      auto const written = co_await m_exchange.Write(complete);
      if (!written) {
        co_return AttemptEnd::CallerGone;
      }
    }
    // Nothing tells a stream without events from one that was broken off at its start
    // if it ends with its connection.
    bool const isMissingFirstEvent = !m_hasResponseStarted && aReply.EndsWithConnection();
    bool const isUnfinished = !events.PartialEvent().empty() || isMissingFirstEvent;
    if (isUnfinished && aReply.EndsWithConnection()) {
      m_state.RecordPartCrash(*m_attempt, m_hasResponseStarted);
    }
    if (isUnfinished) {
      co_return FailAttempt(events.PartialEvent().empty() ? "stream without events"
                                                          : "stream ended inside an event",
                            aChoice);
    }
    bool const isStarted = co_await StartCallersStream(aReply);
    if (!isStarted) {
      co_return AttemptEnd::CallerGone;
    }
    m_state.RecordResponse(*m_attempt, true);
    m_record.m_outcome = "answered";
    auto const finished = co_await m_exchange.Finish();
    co_return finished ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  static bool IsEventStream(base::HttpReply const& aReply)
  {
    constexpr unsigned kOk = 200;
    auto const type = aReply.Headers().Find("Content-Type").value_or("text/event-stream");
    auto const media = type.substr(0, type.find_first_of("; \t"));
    return aReply.Status() == kOk && base::EqualIgnoringCase(media, "text/event-stream");
  }

  /// Whether the numbers of the events increase. The first event of an attempt that
  /// resumes a stream must have the number after the last one that the caller has.
  bool ContinuesStream(std::string_view aEvents) const
  {
    auto last = m_history.LastEvent();
    bool mustFollow = !m_hasResponseStarted;
    if (!last && m_context.m_request.m_resumeAfter) {
      last = m_context.m_request.m_resumeAfter;
    }
    for (auto const event : SplitEvents(aEvents)) {
      auto const number = Wire::DecodeEventNumber(event);
      bool const isNext =
        !last || (number ? (mustFollow ? *number == last->Next() : *number > *last) : !mustFollow);
      if (!isNext) {
        return false;
      }
      mustFollow = false;
      last = number ? number : last;
    }
    return true;
  }

  /// Starts the caller's response with the head of the upstream whose events it
  /// gets. Until the first event, the request may still be refused or sent again.
  boost::asio::awaitable<bool> StartCallersStream(base::HttpReply const& aReply)
  {
    if (m_exchange.HasStarted()) {
      co_return true;
    }
    auto headers = Wire::EncodeResponseHeaders(aReply.Headers());
    auto const started = co_await m_exchange.StartStream(aReply.Status(), std::move(headers));
    m_record.m_status = aReply.Status();
    co_return started.has_value();
  }

  void OnEvents(std::string_view aEvents, engine::UpstreamChoice const& aChoice)
  {
    m_history.OnForwarded(Wire::DecodeEventNumber(LastEvent(aEvents)));
    m_lastRelayedAt = Now();
    if (!m_record.m_firstEventAt) {
      m_record.m_firstEventAt = m_lastRelayedAt;
    }
    if (!m_hasResponseStarted) {
      m_hasResponseStarted = true;
      OnStreamBegun(aChoice);
      m_state.m_directory.OnResponseStarted(aChoice.m_instance, aChoice.m_work);
      m_state.RecordAnswered(*m_attempt);
      m_state.RecordBeginning(*m_attempt);
    }
  }

  /// Records the origin of a stream that its caller may resume, before the caller gets the
  /// first event.
  void OnStreamBegun(engine::UpstreamChoice const& aChoice)
  {
    if (m_context.m_route.m_isResumable && !m_openStream) {
      m_openStream.emplace(m_state.StreamOrigins(),
                           agent::StreamOrigin{ m_context.m_request.m_id,
                                                m_context.m_query.m_deployment,
                                                aChoice.m_version });
    }
  }

  GatewayState& m_state;
  base::HttpExchange& m_exchange;
  RequestContext const& m_context;
  caller::AttemptHistory& m_history;
  RequestRecord& m_record;
  base::Cancellation const& m_cancellation;
  bool m_hasResponseStarted = false;
  Attempt const* m_attempt = nullptr;
  /// The deadline of the current attempt's response.
  std::optional<caller::ResponseDeadline> m_deadline;
  std::optional<base::HttpResponse> m_bufferedFailure;
  /// The response memory that m_bufferedFailure occupies.
  caller::ResponseMemoryBudget::Lease m_bufferedFailureLease{ m_state.m_responseMemory };
  std::optional<base::Instant> m_lastRelayedAt;
  std::optional<StreamOriginExchange::OpenStream> m_openStream;
};

} // namespace sardinefold::programs
