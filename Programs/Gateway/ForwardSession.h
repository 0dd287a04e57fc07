#pragma once

#include "Base/Cancellation.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Log.h"
#include "Caller/AttemptHistory.h"
#include "Caller/WaitPolicy.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/RequestAdmission.h"
#include "Programs/Gateway/RequestContext.h"
#include "Programs/Gateway/RequestRecord.h"
#include "Programs/Gateway/ResponseRelay.h"
#include "Programs/Gateway/UpstreamSelection.h"
#include "Programs/ServingWire.h"

#include <algorithm>
#include <optional>
#include <string>

namespace sardinefold::programs {

/// Serves one request of a caller: admits it, selects an upstream, forwards it
/// and relays the response. Retries only if the request provably did not run or
/// may safely run twice.
template<ServingWire Wire>
class ForwardSession
{
public:
  ForwardSession(GatewayState& aState, base::HttpExchange& aExchange)
    : m_state(aState)
    , m_exchange(aExchange)
  {
    m_context.m_start = aState.m_loop.Now();
  }

  boost::asio::awaitable<void> Run()
  {
    RequestAdmission<Wire> admission(m_state, m_exchange.Request(), m_context);
    if (auto refusal = admission.Admit()) {
      auto const admissionRefusal = *refusal;
      co_await Refuse(admissionRefusal);
      RecordEnd();
      co_return;
    }
    m_exchange.OnPeerDisconnected([this] { Cancel(); });
    OpenRequests::Entry const entry(m_state.m_openRequests, [this] { Cancel(); });
    co_await Serve();
    m_exchange.OnPeerDisconnected(nullptr);
    if (m_context.m_workspace && m_history.Attempts() == 0) {
      m_state.m_allowance.Refund(*m_context.m_workspace, m_context.m_tokens);
    }
    RecordEnd();
  }

private:
  using AttemptEnd = caller::AttemptEnd;

  /// Maximum idle time of a connection that is reused for a request that must not
  /// run twice. If the server closes an idle connection while the request is
  /// being sent, the outcome of the request is unknown.
  static constexpr base::Duration kNonRepeatableIdle = std::chrono::milliseconds(400);

  /// Retry-After while loaders that may know the origin of a stream do not answer.
  static constexpr base::Duration kOriginRetryAfter = std::chrono::milliseconds(1000);

  base::Instant Now() const { return m_state.m_loop.Now(); }

  /// Ends all waits of the request, as its caller has gone or the process stops.
  void Cancel()
  {
    m_cancellation.Cancel();
    if (m_context.m_query.m_model) {
      m_state.ModelSignal(*m_context.m_query.m_model).Notify();
    }
    m_state.m_suspectSignal.Notify();
  }

  boost::asio::awaitable<void> Refuse(RequestRefusal aRefusal)
  {
    bool const isRefusedByStop = aRefusal.m_reason == kStoppingOutcome && aRefusal.m_status == 503;
    m_state.m_refusedByStop += isRefusedByStop ? 1 : 0;
    m_record.m_outcome = aRefusal.m_reason;
    m_record.m_status = aRefusal.m_status;
    auto const& id = m_context.m_request.m_id;
    auto response =
      Wire::EncodeRefusal(aRefusal.m_status, aRefusal.m_reason,
                          id.IsEmpty() ? std::nullopt : std::optional(id), aRefusal.m_retryAfter);
    co_await m_exchange.Respond(std::move(response));
  }

  boost::asio::awaitable<void> Serve()
  {
    auto const refusal = co_await FindStreamOrigin();
    if (m_cancellation.IsCancelled()) {
      co_await FailRequest();
      co_return;
    }
    if (refusal) {
      auto const reason = *refusal;
      co_await Refuse(reason);
      co_return;
    }
    auto& retries = m_state.RetryBudgetOf(m_context.m_query.m_deployment, m_context.m_start);
    retries.OnRequest(m_context.m_start);
    UpstreamSelection selection(m_state, m_context, m_record, m_cancellation);
    bool hasRetryToken = false;
    while (true) {
      co_await AwaitTurn();
      m_context.m_query.m_isSuspected = m_state.m_suspectParts.IsSuspected(Parts(), Now());
      std::optional<engine::UpstreamChoice> choice;
      if (IsTurn()) {
        choice = co_await selection.Run(m_relay.LastRelayedAt().value_or(m_context.m_start));
      }
      if (!choice || IsRefused() || !MayBegin()) {
        co_await FailRequest();
        co_return;
      }
      if (!IsTurn()) {
        continue;
      }
      hasRetryToken = hasRetryToken || m_history.Attempts() == 0 || retries.TryTake(Now());
      if (!hasRetryToken) {
        m_record.m_outcome = "retry budget used up";
        co_await FailRequest();
        co_return;
      }
      m_attempt = Attempt{ *choice,
                           Now(),
                           m_context.m_fingerprint,
                           Parts(),
                           m_context.m_query.m_isSuspected,
                           std::nullopt,
                           false,
                           std::nullopt,
                           0 };
      auto const end = co_await CountAttempt(*choice);
      if (end == AttemptEnd::CallerGone) {
        m_record.m_outcome = "caller left";
        co_return;
      }
      if (end == AttemptEnd::Delivered) {
        co_return;
      }
      m_history.OnEnd(end);
      RecordFailedAttempt(*choice, end);
      if (end == AttemptEnd::NotSent) {
        continue;
      }
      hasRetryToken = false;
      m_context.m_query.m_excluded.insert(choice->m_instance);
      if (m_history.HasBegun()) {
        m_context.m_query.m_version = choice->m_version;
      }
      if (!m_history.MayRetry(m_context.m_route)) {
        co_await FailRequest();
        co_return;
      }
    }
  }

  /// Finds the software that began the stream which the caller resumes; no other may go on
  /// with it. Returns a refusal if that is not known.
  boost::asio::awaitable<std::optional<RequestRefusal>> FindStreamOrigin()
  {
    using Outcome = StreamOriginExchange::Outcome;
    auto const& request = m_context.m_request;
    auto& query = m_context.m_query;
    if (!request.m_resumeAfter || !m_context.m_route.m_isResumable) {
      co_return std::nullopt;
    }
    if (!request.m_resumes && m_state.HasOneVersion(query.m_deployment)) {
      co_return std::nullopt;
    }
    StreamOriginExchange::SearchResult result;
    if (request.m_resumes) {
      auto begun = *request.m_resumes;
      result = co_await m_state.StreamOrigins().Find(std::move(begun), m_cancellation);
    }
    RecordSearch(result);
    if (result.m_outcome != Outcome::Found) {
      co_return RequestRefusal{ 503, "origin of the stream is not known",
                                result.m_outcome == Outcome::Unanswered
                                  ? std::optional(kOriginRetryAfter)
                                  : std::nullopt };
    }
    if (result.m_origin->m_deployment != query.m_deployment) {
      co_return RequestRefusal{ 503, "stream began at another deployment", std::nullopt };
    }
    query.m_version = result.m_origin->m_version;
    m_relay.OnResumed(*std::move(result.m_origin));
    co_return std::nullopt;
  }

  void RecordSearch(StreamOriginExchange::SearchResult const& aResult)
  {
    using Outcome = StreamOriginExchange::Outcome;
    auto const& request = m_context.m_request;
    std::string const outcome = aResult.m_outcome == Outcome::Found     ? "found"
                                : aResult.m_outcome == Outcome::Unknown ? "unknown"
                                                                        : "unanswered";
    base::log::Info("caller resumes a stream",
                    { { "request", request.m_id.Text() },
                      { "begun_by", request.m_resumes ? request.m_resumes->Text() : "" },
                      { "origin", outcome },
                      { "version", aResult.m_origin ? aResult.m_origin->m_version.Text() : "" },
                      { "after", std::to_string(request.m_resumeAfter->Value()) } });
    m_state.m_metrics
      .Counter("sardinefold_gateway_stream_origins_total",
               "Streams that callers resume, by whether their origin was found.",
               { { "outcome", outcome } })
      .Increment();
  }

  /// Whether the process may begin an attempt. A stream that has begun is resumed until
  /// the process stops, as it can only be broken off instead.
  bool MayBegin() const
  {
    return m_exchange.HasStarted() ||
           m_state.Stop().MayBegin(m_context.m_route, m_context.m_end, Now());
  }

  std::vector<base::PromptPartId> const& Parts() const { return m_context.m_request.m_sharedParts; }

  bool IsTurn() const { return !IsRefused() && m_state.m_suspectParts.MaySend(Parts(), Now()); }

  bool IsRefused() const { return m_state.m_suspectParts.FindRefused(Parts(), Now()).has_value(); }

  /// Waits while the request has a suspected part and another one with a suspected
  /// part awaits its answer.
  boost::asio::awaitable<void> AwaitTurn()
  {
    auto const startedAt = Now();
    caller::WaitPolicy const policy(
      m_context.m_route, m_relay.LastRelayedAt().value_or(m_context.m_start), m_context.m_end);
    while (!IsTurn() && !IsRefused() && !m_cancellation.IsCancelled()) {
      auto const end = std::min(policy.End(), m_state.m_waitDeadline.value_or(policy.End()));
      if (Now() >= end) {
        m_record.m_outcome = kSuspectedOutcome;
        break;
      }
      co_await m_state.m_suspectSignal.Wait(end - Now());
    }
    m_record.m_waited += Now() - startedAt;
  }

  /// Runs an attempt, which is counted at its upstream and model until it ends, also
  /// with an exception.
  boost::asio::awaitable<AttemptEnd> CountAttempt(engine::UpstreamChoice aChoice)
  {
    struct EndGuard
    {
      ForwardSession& m_session;
      engine::UpstreamChoice const& m_choice;
      ~EndGuard() { m_session.OnAttemptEnded(m_choice); }
    };
    OnAttemptStarted(aChoice);
    EndGuard const guard{ *this, aChoice };
    co_return co_await RunAttempt(aChoice);
  }

  void OnAttemptStarted(engine::UpstreamChoice const& aChoice)
  {
    m_record.m_upstream = aChoice.m_instance;
    m_history.OnSent();
    m_relay.OnNewAttempt(m_attempt);
    m_state.RecordSent(m_attempt);
    m_state.m_directory.OnTrialStarted(aChoice, Now());
    m_state.m_directory.OnDemand(m_context.m_query, Now());
    if (m_context.m_query.m_model) {
      m_state.m_demand.StartRunning(*m_context.m_query.m_model);
    }
    auto const& standing = aChoice.m_loadEstimate;
    base::log::Info(
      "request sent",
      { { "request", m_context.m_request.m_id.Text() },
        { "upstream", aChoice.m_instance.Text() },
        { "attempt", std::to_string(m_history.Attempts()) },
        { "unanswered", std::to_string(standing.m_unanswered) },
        { "running", std::to_string(standing.m_running) },
        { "account_age_ms", standing.m_loaderStatusAge
                              ? std::to_string(base::ToMilliseconds(*standing.m_loaderStatusAge))
                              : "" },
        { "load_age_ms",
          standing.m_reportAge ? std::to_string(base::ToMilliseconds(*standing.m_reportAge)) : "" },
        { "work", std::to_string(standing.m_work.Value()) },
        { "slowness", std::to_string(standing.m_slowness) },
        { "others", std::to_string(standing.m_others) },
        { "expected_ms", standing.m_answerTime
                           ? std::to_string(base::ToMilliseconds(*standing.m_answerTime))
                           : "" },
        { "listed", standing.m_isUnlisted ? "false" : "true" },
        { "time_left_ms", std::to_string(base::ToMilliseconds(m_context.m_end - Now())) } });
  }

  void OnAttemptEnded(engine::UpstreamChoice const& aChoice)
  {
    m_state.m_directory.OnDone(aChoice.m_instance, m_relay.HasResponseStarted(), aChoice.m_work);
    if (!m_attempt.m_permitUsedAt) {
      m_state.m_directory.WarmUps().Return(aChoice.m_instance);
    }
    if (!m_attempt.m_isLimitPermitUsed) {
      m_state.m_directory.RequestLimits().Return(aChoice.Start());
    }
    m_state.m_directory.OnTrialEnded(aChoice);
    if (!m_relay.HasResponseStarted()) {
      m_state.RecordAnswered(m_attempt);
    }
    if (m_context.m_query.m_model) {
      m_state.m_demand.StopRunning(*m_context.m_query.m_model);
    }
  }

  void RecordFailedAttempt(engine::UpstreamChoice const& aChoice, AttemptEnd aEnd)
  {
    base::log::Info(
      "attempt failed",
      { { "request", m_context.m_request.m_id.Text() },
        { "upstream", aChoice.m_instance.Text() },
        { "end", std::string(ToText(aEnd)) },
        { "begun", m_relay.HasResponseStarted() ? "true" : "false" },
        { "upstream_connection",
          m_attempt.m_connection ? std::to_string(m_attempt.m_connection->Value()) : "" },
        { "earlier_requests",
          m_attempt.m_connection ? std::to_string(m_attempt.m_earlierRequests) : "" },
        { "parts", PartsText() },
        { "reason", std::string(m_record.m_outcome) } });
    m_state.m_metrics
      .Counter("sardinefold_gateway_failed_attempts_total", "Sendings without a usable answer.",
               { { "deployment", m_context.m_query.m_deployment.Text() },
                 { "end", std::string(ToText(aEnd)) },
                 { "reason", std::string(m_record.m_outcome) } })
      .Increment();
  }

  std::string PartsText() const
  {
    std::string text;
    for (auto const& part : Parts()) {
      text += (text.empty() ? "" : " ") + part.Text();
    }
    return text;
  }

  /// Ends a request that no upstream will serve.
  boost::asio::awaitable<void> FailRequest()
  {
    if (m_exchange.IsPeerDisconnected()) {
      m_record.m_outcome = "caller left";
      co_return;
    }
    if (m_exchange.HasStarted()) {
      // The connection closes before the end of the body, so that the caller
      // detects the truncated response.
      m_record.m_outcome = "stream broken off";
      m_exchange.CloseAfterResponse();
      co_return;
    }
    if (auto failure = m_relay.TakeBufferedFailure()) {
      m_record.m_status = failure->m_status;
      auto response = std::move(*failure);
      co_await m_exchange.Respond(std::move(response));
      co_return;
    }
    bool const isStopped = m_cancellation.IsCancelled() || !MayBegin();
    bool const isPastDeadline = Now() >= m_context.m_end || m_cancellation.IsCancelled();
    auto const refused = m_state.m_suspectParts.FindRefused(Parts(), Now());
    if (refused) {
      LogRefusedPart(m_context, *refused);
      m_record.m_outcome = kRefusedPartOutcome;
    } else if (isStopped) {
      m_record.m_outcome = kStoppingOutcome;
    } else if (m_record.m_outcome.empty()) {
      m_record.m_outcome = isPastDeadline ? "timed out" : "upstream failed";
    }
    RequestRefusal refusal{ 503, m_record.m_outcome, std::nullopt };
    if (m_history.MayHaveRun()) {
      refusal.m_status = isPastDeadline ? 504 : 502;
    } else {
      refusal.m_retryAfter = refused ? refused->m_timeLeft : RetryDelay();
      if (!refused && m_state.m_stopEnd) {
        refusal.m_retryAfter = RetryDelayElsewhere();
      }
      bool const hasNoSuccessor = m_context.m_query.m_version &&
                                  m_record.m_outcome == ToText(engine::UpstreamAbsence::NoUpstream);
      if (hasNoSuccessor) {
        refusal.m_retryAfter.reset();
      }
    }
    co_await Refuse(refusal);
  }

  /// Returns when the caller should retry, as seen from now.
  base::Duration RetryDelay()
  {
    auto const opensAt = UpstreamsOpenAt();
    return opensAt ? *opensAt - Now()
                   : caller::WaitPolicy::RetryAfter(m_state.ForecastFor(m_context.m_query), Now());
  }

  /// When the upstreams that could serve the request may get it at the earliest, if none
  /// of them may now.
  std::optional<base::Instant> UpstreamsOpenAt() const
  {
    auto const found = m_state.m_directory.HeldBackUntil(m_context.m_query, Now());
    return found ? found : m_state.m_directory.BackoffEndFor(m_context.m_query, Now());
  }

  /// Returns when the caller should retry at another gateway: at once, unless the
  /// upstreams themselves want no requests.
  base::Duration RetryDelayElsewhere()
  {
    auto const opensAt = UpstreamsOpenAt();
    return opensAt ? std::max(*opensAt - Now(), kStopRetryAfter) : kStopRetryAfter;
  }

  boost::asio::awaitable<AttemptEnd> RunAttempt(engine::UpstreamChoice aChoice)
  {
    caller::ForwardParameters terms;
    terms.m_instance = aChoice.m_instance;
    terms.m_timeLeft = std::max<base::Duration>(m_state.Stop().LimitOf(m_context.m_end) - Now(),
                                                std::chrono::milliseconds(1));
    terms.m_workspace = m_context.m_workspace;
    terms.m_urgency = std::min(m_context.m_urgency, caller::ForwardParameters::kMinimumUrgency);
    terms.m_resumeAfter =
      m_history.LastEvent() ? m_history.LastEvent() : m_context.m_request.m_resumeAfter;
    auto request = Wire::EncodeForEngine(m_exchange.Request(), terms);
    base::HttpSendOptions options{
      m_context.m_end - Now() + ResponseRelay<Wire>::kResponseGrace, &m_cancellation,
      m_context.m_route.MayRepeat() ? std::nullopt : std::optional(kNonRepeatableIdle),
      base::HttpHeaders::Field{ Wire::RequestIdHeader(), m_context.m_request.m_id.Text() },
      // The upstream may have become unusable while the connection was set up.
      [this, &aChoice] { return MayWrite(aChoice); }, m_exchange.SharedBody()
    };
    auto endpoint = aChoice.m_endpoint;
    auto reply =
      co_await m_state.m_http.Send(std::move(endpoint), std::move(request), std::move(options));
    if (m_exchange.IsPeerDisconnected()) {
      co_return AttemptEnd::CallerGone;
    }
    if (!reply && m_cancellation.IsCancelled()) {
      m_record.m_outcome = kStoppingOutcome;
      co_return reply.error().m_mayHaveBeenSent ? AttemptEnd::Unknown : AttemptEnd::NotRun;
    }
    if (!reply) {
      m_record.m_outcome = ToText(reply.error().m_kind);
      m_state.RecordTransportFailure(reply.error(), m_attempt, false, m_context.m_end);
      if (reply.error().m_kind == base::HttpFailure::Kind::Withdrawn) {
        co_return AttemptEnd::NotSent;
      }
      co_return reply.error().m_mayHaveBeenSent ? AttemptEnd::Unknown : AttemptEnd::NotRun;
    }
    m_attempt.m_connection = reply->ConnectionNumber();
    m_attempt.m_earlierRequests = reply->EarlierRequests();
    co_return co_await m_relay.Relay(*reply, aChoice);
  }

  /// Whether the request may be written to a connection to the upstream, and takes the
  /// upstream's permits for it.
  bool MayWrite(engine::UpstreamChoice const& aChoice)
  {
    if (!m_state.m_directory.MaySend(aChoice, Now()) || IsRefused()) {
      return false;
    }
    auto const usedAt =
      m_state.m_directory.WarmUps().Use(aChoice.m_instance, m_attempt.m_permitUsedAt, Now());
    m_attempt.m_permitUsedAt = usedAt ? usedAt : m_attempt.m_permitUsedAt;
    if (!usedAt) {
      return false;
    }
    m_attempt.m_isLimitPermitUsed = m_attempt.m_isLimitPermitUsed ||
                                    m_state.m_directory.RequestLimits().Use(aChoice.Start(), Now());
    return m_attempt.m_isLimitPermitUsed;
  }

  void RecordEnd()
  {
    auto const now = Now();
    LogRequestEnd(m_context, m_history, m_record, now);
    RecordRequestMetrics(m_state.m_metrics, m_context, m_record, now);
  }

  GatewayState& m_state;
  base::HttpExchange& m_exchange;
  RequestContext m_context;
  caller::AttemptHistory m_history;
  RequestRecord m_record;
  Attempt m_attempt;
  base::Cancellation m_cancellation;
  ResponseRelay<Wire> m_relay{
    m_state, m_exchange, m_context, m_history, m_record, m_cancellation
  };
};

} // namespace sardinefold::programs
