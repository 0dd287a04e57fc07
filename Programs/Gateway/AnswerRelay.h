#pragma once

#include "Base/Cancellation.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpExchange.h"
#include "Caller/AnswerDeadline.h"
#include "Caller/AttemptHistory.h"
#include "Programs/Gateway/EventBuffer.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/RequestContext.h"
#include "Programs/Gateway/RequestRecord.h"
#include "Programs/ServingWire.h"

#include <boost/asio/awaitable.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// Passes an upstream's answer to the caller, and tells how the attempt ended.
template<ServingWire Wire>
class AnswerRelay
{
public:
  using AttemptEnd = caller::AttemptEnd;

  /// How much later than the caller's time limit the upstream's own answer to
  /// it may arrive: a few round trips.
  static constexpr base::Duration kAnswerGrace = std::chrono::milliseconds(150);

  /// The arguments must outlive the relay.
  AnswerRelay(GatewayState& aState, base::HttpExchange& aExchange, RequestContext const& aContext,
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

  boost::asio::awaitable<AttemptEnd> Pass(base::HttpReply& aReply,
                                          engine::UpstreamChoice const& aChoice)
  {
    auto const head =
      Wire::DecodeResponseHead(aReply.Status(), aReply.Headers(), m_context.m_request.m_id);
    if (head.m_load) {
      m_state.m_directory.OnLoadTold(aChoice.m_instance, head.m_load->m_running,
                                     head.m_load->m_waiting);
    }
    if (head.m_isNotRun) {
      co_return co_await TakeRejection(aReply, head, aChoice);
    }
    if (PromisesNotRun(head.m_status)) {
      // The upstream gave no proof, so the caller must not read it as one.
      co_return Fail("upstream refused without proof", aChoice);
    }
    if (m_exchange.HasStarted() && !head.IsSuccess()) {
      // The caller has the beginning of a stream, which nothing else can follow.
      co_return Fail("stream was not resumed", aChoice);
    }
    if (head.IsSuccess() && (!head.m_isGenuine || head.m_isEncoded)) {
      co_return Fail("answer is not the upstream's", aChoice);
    }
    if (head.IsSuccess() && m_context.m_route.m_repeatability == operators::Repeatability::Stream) {
      co_return co_await PassStream(aReply, aChoice);
    }
    co_return co_await PassWhole(aReply, head, aChoice);
  }

  /// The upstream of the attempt under way has begun to answer.
  bool HasBegunHere() const { return m_hasBegunHere; }
  void OnNewAttempt()
  {
    m_hasBegunHere = false;
    m_sentAt = Now();
    m_deadline.emplace(m_context.m_end, kAnswerGrace);
  }
  /// A failure that an upstream answered with, kept while another one is tried.
  std::optional<base::HttpResponse> TakeHeldFailure()
  {
    return std::exchange(m_heldFailure, std::nullopt);
  }
  /// When the caller last got a part of the answer.
  std::optional<base::Instant> PassedAt() const { return m_passedAt; }

private:
  base::Instant Now() const { return m_state.m_loop.Now(); }

  /// Statuses that tell callers that a request has not run and never will.
  static bool PromisesNotRun(unsigned aStatus)
  {
    return aStatus == 408 || aStatus == 429 || aStatus == 503;
  }

  AttemptEnd Fail(std::string_view aOutcome, engine::UpstreamChoice const& aChoice)
  {
    m_record.m_outcome = aOutcome;
    m_state.NoteFailure(aChoice, aOutcome);
    return AttemptEnd::Unknown;
  }

  boost::asio::awaitable<AttemptEnd> TakeRejection(base::HttpReply& aReply,
                                                   caller::UpstreamAnswerHead const& aHead,
                                                   engine::UpstreamChoice const& aChoice)
  {
    auto const& model = m_context.m_query.m_model;
    m_record.m_outcome = aHead.m_isWrongEngine ? "misdirected" : "upstream is full";
    if (aHead.m_isWrongEngine && model) {
      m_state.m_directory.OnModelMissing(aChoice.m_instance, *model, Now());
    } else if (aHead.m_isWrongEngine) {
      m_state.m_directory.OnWrongInstance(aChoice.m_instance, Now());
    }
    co_await SkipRest(aReply, aChoice);
    co_return AttemptEnd::NotRun;
  }

  /// Reads the rest of a refusal, which is short, to keep the connection usable.
  boost::asio::awaitable<void> SkipRest(base::HttpReply& aReply,
                                        engine::UpstreamChoice const& aChoice)
  {
    constexpr base::Duration kRestTime = std::chrono::milliseconds(200);
    constexpr std::size_t kRestBytes = 64UL * 1024;
    auto const end = Now() + kRestTime;
    std::size_t skipped = 0;
    while (!aReply.IsComplete()) {
      auto const left = end - Now();
      if (left <= base::Duration::zero() || skipped > kRestBytes) {
        m_state.NoteStuck(aChoice, "refusal without end");
        co_return;
      }
      auto const piece = co_await aReply.Read(left);
      if (!piece) {
        if (piece.error().m_kind == base::HttpFailure::Kind::TimedOut) {
          m_state.NoteStuck(aChoice, "refusal without end");
        }
        co_return;
      }
      skipped += piece->size();
    }
  }

  AttemptEnd Stuck(std::string_view aOutcome, engine::UpstreamChoice const& aChoice)
  {
    m_record.m_outcome = aOutcome;
    m_state.NoteStuck(aChoice, aOutcome);
    return AttemptEnd::Unknown;
  }

  /// The next piece of the answer, or how the attempt ends without it.
  boost::asio::awaitable<tl::expected<std::string, AttemptEnd>> ReadPiece(
    base::HttpReply& aReply, engine::UpstreamChoice const& aChoice)
  {
    auto const limit = m_deadline->Left(Now());
    if (limit <= base::Duration::zero()) {
      co_return tl::make_unexpected(Stuck("answer without end", aChoice));
    }
    auto piece = co_await aReply.Read(limit);
    if (m_cancellation.IsCancelled()) {
      co_return tl::make_unexpected(AttemptEnd::CallerGone);
    }
    if (!piece) {
      m_record.m_outcome = ToText(piece.error().m_kind);
      m_state.NoteBreak(piece.error(), m_context.m_fingerprint, aChoice, m_context.m_end);
      co_return tl::make_unexpected(AttemptEnd::Unknown);
    }
    co_return std::move(*piece);
  }

  /// Reads an answer to its end before a byte of it goes to the caller, so that
  /// one that is cut short can be told from a whole one.
  boost::asio::awaitable<AttemptEnd> PassWhole(base::HttpReply& aReply,
                                               caller::UpstreamAnswerHead const& aHead,
                                               engine::UpstreamChoice const& aChoice)
  {
    caller::AnswerMemory::Lease lease(m_state.m_answerMemory);
    base::HttpResponse response;
    response.m_status = aHead.m_status;
    response.m_headers = Wire::EncodeResponseHeaders(aReply.Headers());
    while (!aReply.IsComplete()) {
      auto const piece = co_await ReadPiece(aReply, aChoice);
      if (!piece) {
        co_return piece.error();
      }
      response.m_body += *piece;
      if (!lease.Resize(base::Bytes(static_cast<std::int64_t>(response.m_body.size())))) {
        co_return Stuck("answer is too large", aChoice);
      }
    }
    bool const isFailure = aHead.m_status >= 500;
    if (isFailure) {
      m_state.NoteFailure(aChoice, "upstream answered with a failure");
    }
    m_state.NoteAnswer(aChoice, m_context.m_fingerprint, m_sentAt, !isFailure);
    if (isFailure && MayTryAnother()) {
      m_record.m_outcome = "upstream answered with a failure";
      m_heldFailure = std::move(response);
      m_heldLease = std::move(lease);
      co_return AttemptEnd::Failed;
    }
    m_record.m_status = response.m_status;
    m_record.m_outcome = "answered";
    auto const sent = co_await m_exchange.Respond(std::move(response));
    co_return sent ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  /// Whether a failed attempt leaves room for another upstream.
  bool MayTryAnother()
  {
    auto const& route = m_context.m_route;
    return route.MayRepeat() && m_history.Runs() + 1 < route.m_maximumAttempts &&
           Now() < m_context.m_end &&
           m_state.RetriesOf(m_context.m_query.m_deployment, Now()).Available() >= 1;
  }

  /// Passes events on as they arrive.
  boost::asio::awaitable<AttemptEnd> PassStream(base::HttpReply& aReply,
                                                engine::UpstreamChoice const& aChoice)
  {
    if (!m_exchange.HasStarted()) {
      auto headers = Wire::EncodeResponseHeaders(aReply.Headers());
      auto const started = co_await m_exchange.StartStream(aReply.Status(), std::move(headers));
      if (!started) {
        co_return AttemptEnd::CallerGone;
      }
      m_record.m_status = aReply.Status();
    }
    EventBuffer events;
    while (!aReply.IsComplete()) {
      auto const piece = co_await ReadPiece(aReply, aChoice);
      if (!piece) {
        co_return piece.error();
      }
      auto const complete = events.Add(*piece);
      if (events.IsTooLong()) {
        co_return Stuck("event is too long", aChoice);
      }
      if (complete.empty()) {
        continue;
      }
      OnEvents(complete, aChoice);
      auto const written = co_await m_exchange.Write(complete);
      if (!written) {
        co_return AttemptEnd::CallerGone;
      }
    }
    if (!events.Rest().empty()) {
      co_return Fail("stream ended inside an event", aChoice);
    }
    m_state.NoteAnswer(aChoice, m_context.m_fingerprint, m_sentAt, true);
    m_record.m_outcome = "answered";
    auto const finished = co_await m_exchange.Finish();
    co_return finished ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  void OnEvents(std::string_view aEvents, engine::UpstreamChoice const& aChoice)
  {
    m_history.OnPassed(Wire::DecodeEventNumber(LastEvent(aEvents)));
    m_passedAt = Now();
    if (!m_record.m_firstEventAt) {
      m_record.m_firstEventAt = m_passedAt;
    }
    if (!m_hasBegunHere) {
      m_hasBegunHere = true;
      m_state.m_directory.OnBegun(aChoice.m_instance);
    }
  }

  GatewayState& m_state;
  base::HttpExchange& m_exchange;
  RequestContext const& m_context;
  caller::AttemptHistory& m_history;
  RequestRecord& m_record;
  base::Cancellation const& m_cancellation;
  bool m_hasBegunHere = false;
  /// When the attempt under way was sent.
  base::Instant m_sentAt{};
  /// Of the attempt under way.
  std::optional<caller::AnswerDeadline> m_deadline;
  std::optional<base::HttpResponse> m_heldFailure;
  /// Of the failure that is held.
  caller::AnswerMemory::Lease m_heldLease{ m_state.m_answerMemory };
  std::optional<base::Instant> m_passedAt;
};

} // namespace sardinefold::programs
