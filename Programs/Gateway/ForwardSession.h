#pragma once

#include "Base/Cancellation.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Log.h"
#include "Caller/AttemptHistory.h"
#include "Caller/WaitPolicy.h"
#include "Programs/Gateway/AnswerRelay.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/Gateway/RequestAdmission.h"
#include "Programs/Gateway/RequestContext.h"
#include "Programs/Gateway/RequestRecord.h"
#include "Programs/Gateway/UpstreamSearch.h"
#include "Programs/ServingWire.h"

#include <algorithm>
#include <optional>
#include <string>

namespace sardinefold::programs {

/// Serves one request of a caller: admits it, finds an upstream, sends it there
/// and passes the answer back. Sends it again only with proof that it did not
/// run or that a second run does no harm.
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
      auto const answer = *refusal;
      co_await Refuse(answer);
      End();
      co_return;
    }
    m_exchange.OnPeerDisconnected([this] {
      m_cancellation.Cancel();
      if (m_context.m_query.m_model) {
        m_state.ModelSignal(*m_context.m_query.m_model).Notify();
      }
    });
    co_await Serve();
    m_exchange.OnPeerDisconnected(nullptr);
    if (m_context.m_workspace && m_history.Sends() == 0) {
      m_state.m_allowance.Refund(*m_context.m_workspace, m_context.m_tokens);
    }
    End();
  }

private:
  using AttemptEnd = caller::AttemptEnd;

  /// A request that must not run twice uses no connection that was idle for
  /// longer, as a close that crosses it leaves its outcome unknown.
  static constexpr base::Duration kFreshConnection = std::chrono::milliseconds(400);
  /// Shorter than the idle time of any server here.
  static constexpr base::Duration kRepeatableIdle = std::chrono::seconds(4);

  base::Instant Now() const { return m_state.m_loop.Now(); }

  boost::asio::awaitable<void> Refuse(RequestRefusal aRefusal)
  {
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
    auto& retries = m_state.RetriesOf(m_context.m_query.m_deployment, m_context.m_start);
    retries.NoteRequest(m_context.m_start);
    UpstreamSearch search(m_state, m_context, m_record, m_cancellation);
    while (true) {
      auto const choice = co_await search.Run(m_relay.PassedAt().value_or(m_context.m_start));
      if (!choice) {
        co_await GiveUp();
        co_return;
      }
      if (m_history.Sends() > 0 && !retries.TryTake(Now())) {
        m_record.m_outcome = "retry budget used up";
        co_await GiveUp();
        co_return;
      }
      NoteSent(*choice);
      auto const end = co_await Attempt(*choice);
      NoteDone(*choice);
      if (end == AttemptEnd::CallerGone) {
        m_record.m_outcome = "caller left";
        co_return;
      }
      if (end == AttemptEnd::Delivered) {
        co_return;
      }
      m_history.OnEnd(end);
      LogAttempt(*choice, end);
      m_context.m_query.m_excluded.insert(choice->m_instance);
      if (!m_history.MayGoOn(m_context.m_route)) {
        co_await GiveUp();
        co_return;
      }
    }
  }

  void NoteSent(engine::UpstreamChoice const& aChoice)
  {
    m_record.m_upstream = aChoice.m_instance;
    m_history.OnSent();
    m_relay.OnNewAttempt();
    m_state.m_directory.OnSent(aChoice.m_instance);
    if (m_context.m_query.m_model) {
      m_state.m_demand.StartRunning(*m_context.m_query.m_model);
    }
    auto const& standing = aChoice.m_standing;
    base::log::Info(
      "request sent",
      { { "request", m_context.m_request.m_id.Text() },
        { "upstream", aChoice.m_instance.Text() },
        { "attempt", std::to_string(m_history.Sends()) },
        { "unanswered", std::to_string(standing.m_unanswered) },
        { "running", std::to_string(standing.m_running) },
        { "account_age_ms", standing.m_accountAge
                              ? std::to_string(base::ToMilliseconds(*standing.m_accountAge))
                              : "" },
        { "listed", standing.m_isUnlisted ? "false" : "true" },
        { "time_left_ms", std::to_string(base::ToMilliseconds(m_context.m_end - Now())) } });
  }

  void NoteDone(engine::UpstreamChoice const& aChoice)
  {
    m_state.m_directory.OnDone(aChoice.m_instance, m_relay.HasBegunHere());
    if (m_context.m_query.m_model) {
      m_state.m_demand.StopRunning(*m_context.m_query.m_model);
    }
  }

  void LogAttempt(engine::UpstreamChoice const& aChoice, AttemptEnd aEnd)
  {
    base::log::Info("attempt failed", { { "request", m_context.m_request.m_id.Text() },
                                        { "upstream", aChoice.m_instance.Text() },
                                        { "end", std::string(ToText(aEnd)) },
                                        { "reason", std::string(m_record.m_outcome) } });
    m_state.m_metrics
      .Counter("sardinefold_gateway_failed_attempts_total", "Sendings without a usable answer.",
               { { "deployment", m_context.m_query.m_deployment.Text() },
                 { "end", std::string(ToText(aEnd)) },
                 { "reason", std::string(m_record.m_outcome) } })
      .Increment();
  }

  /// Answers a request that no upstream will serve.
  boost::asio::awaitable<void> GiveUp()
  {
    if (m_cancellation.IsCancelled()) {
      m_record.m_outcome = "caller left";
      co_return;
    }
    if (m_exchange.HasStarted()) {
      // The connection closes without the body's end, so that the caller sees
      // that the answer is not whole.
      m_record.m_outcome = "stream broken off";
      m_exchange.CloseAfterResponse();
      co_return;
    }
    if (auto failure = m_relay.TakeHeldFailure()) {
      m_record.m_status = failure->m_status;
      auto response = std::move(*failure);
      co_await m_exchange.Respond(std::move(response));
      co_return;
    }
    bool const isLate = Now() >= m_context.m_end;
    if (m_record.m_outcome.empty()) {
      m_record.m_outcome = isLate ? "timed out" : "upstream failed";
    }
    RequestRefusal refusal{ 503, m_record.m_outcome, std::nullopt };
    if (m_history.MayHaveRun()) {
      refusal.m_status = isLate ? 504 : 502;
    } else {
      refusal.m_retryAfter =
        caller::WaitPolicy::RetryAfter(m_state.ExpectedAt(m_context.m_query.m_model), Now());
    }
    co_await Refuse(refusal);
  }

  boost::asio::awaitable<AttemptEnd> Attempt(engine::UpstreamChoice aChoice)
  {
    caller::ForwardTerms terms;
    terms.m_instance = aChoice.m_instance;
    terms.m_timeLeft =
      std::max<base::Duration>(m_context.m_end - Now(), std::chrono::milliseconds(1));
    terms.m_workspace = m_context.m_workspace;
    terms.m_urgency = std::min(m_context.m_urgency, caller::ForwardTerms::kLeastUrgent);
    terms.m_resumeAfter =
      m_history.LastEvent() ? m_history.LastEvent() : m_context.m_request.m_resumeAfter;
    auto request = Wire::EncodeForEngine(m_exchange.Request(), terms);
    base::HttpSendOptions options{
      terms.m_timeLeft + AnswerRelay<Wire>::kAnswerGrace, &m_cancellation,
      m_context.m_route.MayRepeat() ? kRepeatableIdle : kFreshConnection,
      base::HttpHeaders::Field{ Wire::RequestIdHeader(), m_context.m_request.m_id.Text() },
      // It may have left while the connection was set up.
      [this, &aChoice] { return m_state.m_directory.IsUsable(aChoice.m_instance, Now()); }
    };
    auto endpoint = aChoice.m_endpoint;
    auto reply =
      co_await m_state.m_http.Send(std::move(endpoint), std::move(request), std::move(options));
    if (m_cancellation.IsCancelled()) {
      co_return AttemptEnd::CallerGone;
    }
    if (!reply) {
      m_record.m_outcome = ToText(reply.error().m_kind);
      m_state.NoteBreak(reply.error(), m_context.m_fingerprint, aChoice, m_context.m_end);
      co_return reply.error().m_mayHaveBeenSent ? AttemptEnd::Unknown : AttemptEnd::NotRun;
    }
    co_return co_await m_relay.Pass(*reply, aChoice);
  }

  void End()
  {
    auto const now = Now();
    LogEnd(m_context, m_history, m_record, now);
    CountEnd(m_state.m_metrics, m_context, m_record, now);
  }

  GatewayState& m_state;
  base::HttpExchange& m_exchange;
  RequestContext m_context;
  caller::AttemptHistory m_history;
  RequestRecord m_record;
  base::Cancellation m_cancellation;
  AnswerRelay<Wire> m_relay{ m_state, m_exchange, m_context, m_history, m_record, m_cancellation };
};

} // namespace sardinefold::programs
