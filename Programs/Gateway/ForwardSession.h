#pragma once

#include "Base/Cancellation.h"
#include "Base/Digest.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Log.h"
#include "Programs/Gateway/EventBuffer.h"
#include "Programs/Gateway/GatewayState.h"
#include "Programs/ServingWire.h"

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace sardinefold::programs {

/// Serves one request of a caller: finds its route and workspace, waits for an
/// engine that can run it, sends it there and passes the answer back. Sends it
/// again only with proof that it did not run or that a second run does no harm.
template<ServingWire Wire>
class ForwardSession
{
public:
  ForwardSession(GatewayState& aState, base::HttpExchange& aExchange)
    : m_state(aState)
    , m_exchange(aExchange)
    , m_start(aState.m_loop.Now())
  {
  }

  boost::asio::awaitable<void> Run()
  {
    auto refusal = Admit();
    if (refusal) {
      auto answer = std::move(*refusal);
      co_await Refuse(std::move(answer));
      co_return;
    }
    m_exchange.OnPeerGone([this] {
      m_cancellation.Cancel();
      if (m_request.m_model) {
        m_state.ModelSignal(m_request.m_model->m_model).Notify();
      }
    });
    co_await Serve();
    m_exchange.OnPeerGone(nullptr);
    Finish();
  }

private:
  /// How one sending to one upstream ended.
  enum class AttemptEnd
  {
    /// The answer, good or bad, has gone to the caller.
    Delivered,
    /// The upstream did not run the request.
    NotRun,
    /// The upstream may have run it, and no usable answer came.
    Unknown,
    /// The upstream ran it and failed.
    Failed,
    /// The caller has left or does not read.
    CallerGone
  };

  struct Refusal
  {
    unsigned m_status;
    std::string_view m_reason;
    std::optional<base::Duration> m_retryAfter;
  };

  /// What a refused request is told when nothing better is known: about the
  /// time in which an engine changes its model.
  static constexpr base::Duration kRetryAfter = std::chrono::milliseconds(1000);
  /// How much later than the caller's time limit the upstream's own answer to
  /// it may arrive.
  static constexpr base::Duration kAnswerGrace = std::chrono::milliseconds(150);
  /// A request that must not run twice uses no connection that was idle for
  /// longer, as a close that crosses it leaves its outcome unknown.
  static constexpr base::Duration kFreshConnection = std::chrono::milliseconds(400);
  static constexpr base::Duration kRepeatableIdle = std::chrono::seconds(4);
  /// What the planner said of a model holds for this long.
  static constexpr base::Duration kOutlookAge = std::chrono::milliseconds(800);
  /// Waits for an adapter before the next look.
  static constexpr base::Duration kAdapterWait = std::chrono::milliseconds(40);

  /// Decides whether the request may go on; the refusal if not.
  std::optional<Refusal> Admit()
  {
    auto decoded = Wire::DecodeRequest(m_exchange.Request());
    if (!decoded) {
      return Refusal{ 400, "malformed request", std::nullopt };
    }
    m_request = std::move(*decoded);
    auto const* const catalog = m_state.m_catalog.get();
    if (!catalog) {
      return Refusal{ 503, "no configuration yet", kRetryAfter };
    }
    auto const* const route = catalog->FindRoute(m_request.m_host, m_exchange.Request().Path());
    if (!route) {
      return Refusal{ 404, "no route", std::nullopt };
    }
    m_route = *route;
    m_urgency = route->m_urgency;
    m_end = m_start + std::min(m_request.m_deadline.value_or(route->m_timeout), route->m_timeout);
    operators::WorkspaceGrant const* workspace = nullptr;
    if (!m_route.m_isPublic && catalog->HasWorkspaces()) {
      workspace = m_request.m_key ? catalog->FindWorkspace(*m_request.m_key) : nullptr;
      if (!workspace) {
        return Refusal{ 401, "unknown key", std::nullopt };
      }
      m_workspace = workspace->m_id;
      m_urgency = workspace->m_urgency.value_or(m_urgency);
    }
    m_fingerprint = Fingerprint();
    if (auto const refusedFor = m_state.m_suspects.RefusedFor(m_fingerprint, m_start)) {
      return Refusal{ 503, "request ended its upstreams", *refusedFor };
    }
    if (auto refusal = workspace ? TakeTokens(*workspace) : std::nullopt) {
      return refusal;
    }
    ChooseUpstreams(*catalog);
    return std::nullopt;
  }

  std::optional<Refusal> TakeTokens(operators::WorkspaceGrant const& aWorkspace)
  {
    m_tokens = m_request.m_tokens ? m_request.m_tokens->Total() : aWorkspace.m_plainRequestTokens;
    auto const wait = m_state.m_allowance.Take(aWorkspace.m_id, m_tokens, m_start);
    if (!wait) {
      return std::nullopt;
    }
    LogAllowance(aWorkspace.m_id);
    return Refusal{ 429, "allowance used up", *wait };
  }

  /// What the request needs of an upstream.
  void ChooseUpstreams(caller::CatalogIndex const& aCatalog)
  {
    m_query.m_deployment = ChooseDeployment();
    auto const* const deployment = aCatalog.FindDeployment(m_query.m_deployment);
    if (m_request.m_model && deployment && deployment->m_engine) {
      m_query.m_model = m_request.m_model->m_model;
      m_query.m_adapter = m_request.m_model->m_adapter;
      m_state.m_demand.OnAsked(*m_query.m_model, m_start);
    }
  }

  /// The same each time that a caller sends the same request.
  base::FingerprintId Fingerprint() const
  {
    auto const& request = m_exchange.Request();
    auto const hash = base::FastHash(
      request.m_target + "\n" + (m_workspace ? m_workspace->Text() : "") + "\n" + request.m_body);
    return base::FingerprintId::FromValidated(std::to_string(hash));
  }

  /// A connection that closes without an answer may be an upstream that died.
  void NoteBreak(base::HttpFailure const& aFailure, engine::InstanceId const& aUpstream)
  {
    m_outcome = ToText(aFailure.m_kind);
    m_state.m_directory.OnFailed(aUpstream, Now());
    if (aFailure.m_kind == base::HttpFailure::Kind::ConnectionClosed) {
      m_state.NoteDeath(m_fingerprint, aUpstream, Now());
    }
  }

  /// Splits requests among a route's deployments by weight, the same for each
  /// repetition of one request.
  base::DeploymentId ChooseDeployment() const
  {
    double total = 0;
    for (auto const& target : m_route.m_targets) {
      total += target.m_weight;
    }
    auto const hash = std::hash<std::string>()(m_request.m_id.Text());
    double point = static_cast<double>(hash % 10'000) / 10'000 * total;
    for (auto const& target : m_route.m_targets) {
      point -= target.m_weight;
      if (point < 0) {
        return target.m_deployment;
      }
    }
    return m_route.m_targets.empty() ? base::DeploymentId() : m_route.m_targets.back().m_deployment;
  }

  base::Instant Now() const { return m_state.m_loop.Now(); }

  boost::asio::awaitable<void> Refuse(Refusal aRefusal)
  {
    std::optional<base::RequestId> id;
    if (!m_request.m_id.IsEmpty()) {
      id = m_request.m_id;
    }
    m_outcome = aRefusal.m_reason;
    m_status = aRefusal.m_status;
    auto response =
      Wire::EncodeRefusal(aRefusal.m_status, aRefusal.m_reason, id, aRefusal.m_retryAfter);
    LogEnd();
    co_await m_exchange.Respond(std::move(response));
  }

  boost::asio::awaitable<void> Serve()
  {
    auto& retries = m_state.RetriesOf(m_query.m_deployment, m_start);
    retries.NoteRequest(m_start);
    while (true) {
      auto const choice = co_await FindUpstream();
      if (!choice) {
        co_await GiveUp();
        co_return;
      }
      if (m_sends > 0 && !retries.TryTake(Now())) {
        m_outcome = "retry budget used up";
        co_await GiveUp();
        co_return;
      }
      ++m_sends;
      NoteSent(*choice);
      auto const end = co_await Attempt(*choice);
      NoteDone(*choice);
      if (end == AttemptEnd::Delivered || end == AttemptEnd::CallerGone) {
        co_return;
      }
      m_query.m_excluded.insert(choice->m_instance);
      m_mayHaveRun = m_mayHaveRun || end != AttemptEnd::NotRun;
      m_runs += end != AttemptEnd::NotRun ? 1 : 0;
      bool const mayGoOn = end == AttemptEnd::NotRun || (m_route.MayRepeat() && CanResume());
      if (!mayGoOn || m_runs >= std::max(m_route.m_maximumAttempts, 1U)) {
        co_await GiveUp();
        co_return;
      }
    }
  }

  void NoteSent(engine::UpstreamChoice const& aChoice)
  {
    m_isBegunHere = false;
    m_state.m_directory.OnSent(aChoice.m_instance);
    if (m_query.m_model) {
      m_state.m_demand.StartRunning(*m_query.m_model);
    }
  }

  void NoteDone(engine::UpstreamChoice const& aChoice)
  {
    m_state.m_directory.OnDone(aChoice.m_instance, m_isBegunHere);
    if (m_query.m_model) {
      m_state.m_demand.StopRunning(*m_query.m_model);
    }
  }

  /// A stream that has begun goes on only behind a known event.
  bool CanResume() const
  {
    return !m_hasBegun || (m_route.m_isResumable && m_lastEvent.has_value());
  }

  /// Waits until an upstream can take the request; none if it can't in time.
  boost::asio::awaitable<std::optional<engine::UpstreamChoice>> FindUpstream()
  {
    std::optional<engine::WaitTicket> ticket;
    std::optional<engine::UpstreamChoice> result;
    while (!m_cancellation.IsCancelled() && Now() < WaitEnd()) {
      auto const found = m_state.m_directory.Find(m_query, Now());
      if (auto const* const choice = std::get_if<engine::UpstreamChoice>(&found)) {
        if (!choice->m_lacksAdapter) {
          result = *choice;
          break;
        }
        RequestAdapter(*choice);
        co_await m_state.ModelSignal(*m_query.m_model).Wait(kAdapterWait);
        continue;
      }
      if (!MayWaitFor(std::get<engine::UpstreamAbsence>(found))) {
        m_outcome = ToText(std::get<engine::UpstreamAbsence>(found));
        break;
      }
      m_waited = true;
      if (!ticket) {
        ticket = m_state.m_demand.StartWaiting(*m_query.m_model, Worth(), m_start + m_route.m_goal);
      }
      co_await m_state.ModelSignal(*m_query.m_model).Wait(WaitEnd() - Now());
    }
    if (ticket) {
      m_state.m_demand.StopWaiting(*m_query.m_model, *ticket);
    }
    co_return result;
  }

  /// When a request that waits for a model is given up.
  base::Instant WaitEnd() const
  {
    auto const end = std::min(m_end, m_start + Patience());
    return std::min(end, m_state.m_lastWait.value_or(end));
  }

  /// Callers leave a stream whose first event does not come; a request is
  /// given up a little earlier, so that they hear when to come back.
  base::Duration Patience() const
  {
    constexpr base::Duration kLeast = std::chrono::seconds(2);
    constexpr int kGoals = 4;
    constexpr int kPauses = 8;
    auto const callers =
      std::max<base::Duration>({ kLeast, m_route.m_goal * kGoals, m_route.m_pause * kPauses });
    return callers * 85 / 100;
  }

  bool MayWaitFor(engine::UpstreamAbsence aAbsence) const
  {
    if (aAbsence != engine::UpstreamAbsence::ModelNotLoaded || m_hasBegun) {
      return false;
    }
    auto const expected = m_state.m_readyAt.find(*m_query.m_model);
    // Until the planner has answered, which takes a fifth of a second, there is
    // nothing to go by.
    bool const isKnown =
      expected != m_state.m_readyAt.end() && Now() - expected->second.m_toldAt < kOutlookAge;
    return !isKnown || expected->second.m_readyAt < WaitEnd();
  }

  /// When to come back: when the model is expected, if that is known.
  base::Duration RetryAfter() const
  {
    if (!m_query.m_model) {
      return kRetryAfter;
    }
    auto const expected = m_state.m_readyAt.find(*m_query.m_model);
    bool const isKnown =
      expected != m_state.m_readyAt.end() && Now() - expected->second.m_toldAt < kOutlookAge;
    return isKnown ? std::max<base::Duration>(expected->second.m_readyAt - Now(), kRetryAfter)
                   : kRetryAfter;
  }

  /// Weighs waiting requests by their size, as longer ones earn more.
  double Worth() const
  {
    constexpr double kTypicalTokens = 2'000;
    double const tokens =
      static_cast<double>(m_request.m_tokens ? m_request.m_tokens->Total().Value() : 0);
    return 0.3 + 0.7 * tokens / kTypicalTokens;
  }

  void RequestAdapter(engine::UpstreamChoice const& aChoice)
  {
    base::Endpoint const loader{ aChoice.m_endpoint.m_address, m_state.m_profile.m_peerPort };
    agent::AdapterRequest const message{ *m_query.m_model, *m_query.m_adapter };
    m_state.m_peers.Send(loader, agent::EncodeFleetMessage(message));
  }

  /// Answers a request that no upstream will serve.
  boost::asio::awaitable<void> GiveUp()
  {
    if (m_cancellation.IsCancelled()) {
      m_outcome = "caller left";
      co_return;
    }
    if (m_exchange.HasStarted()) {
      // The connection closes without the body's end, so that the caller sees
      // that the answer is not whole.
      m_outcome = "stream broken off";
      m_exchange.CloseAfterwards();
      co_return;
    }
    if (m_heldFailure) {
      m_status = m_heldFailure->m_status;
      auto response = std::move(*m_heldFailure);
      co_await m_exchange.Respond(std::move(response));
      co_return;
    }
    bool const isLate = Now() >= m_end;
    if (m_outcome.empty()) {
      m_outcome = isLate ? "timed out" : "upstream failed";
    }
    std::optional<base::RequestId> const id = m_request.m_id;
    if (m_mayHaveRun) {
      m_status = isLate ? 504 : 502;
      auto response = Wire::EncodeRefusal(m_status, m_outcome, id, std::nullopt);
      co_await m_exchange.Respond(std::move(response));
      co_return;
    }
    m_status = 503;
    auto response = Wire::EncodeRefusal(m_status, m_outcome, id, RetryAfter());
    co_await m_exchange.Respond(std::move(response));
  }

  boost::asio::awaitable<AttemptEnd> Attempt(engine::UpstreamChoice aChoice)
  {
    m_upstream = aChoice.m_instance;
    caller::ForwardTerms terms;
    terms.m_instance = aChoice.m_instance;
    terms.m_timeLeft = std::max<base::Duration>(m_end - Now(), std::chrono::milliseconds(1));
    terms.m_workspace = m_workspace;
    terms.m_urgency = std::min(m_urgency, 9U);
    terms.m_resumeAfter = m_lastEvent ? m_lastEvent : m_request.m_resumeAfter;
    auto request = Wire::EncodeForEngine(m_exchange.Request(), terms);
    base::HttpSendOptions options{ terms.m_timeLeft + kAnswerGrace, &m_cancellation,
                                   m_route.MayRepeat() ? kRepeatableIdle : kFreshConnection,
                                   base::HttpHeaders::Field{ Wire::RequestIdHeader(),
                                                             m_request.m_id.Text() } };
    auto endpoint = aChoice.m_endpoint;
    auto reply =
      co_await m_state.m_http.Send(std::move(endpoint), std::move(request), std::move(options));
    if (m_cancellation.IsCancelled()) {
      co_return AttemptEnd::CallerGone;
    }
    if (!reply) {
      NoteBreak(reply.error(), aChoice.m_instance);
      co_return reply.error().m_mayHaveBeenSent ? AttemptEnd::Unknown : AttemptEnd::NotRun;
    }
    auto const head = Wire::DecodeAnswerHead(reply->Status(), reply->Headers(), m_request.m_id);
    if (head.m_load) {
      m_state.m_directory.OnLoadTold(aChoice.m_instance, head.m_load->m_running,
                                     head.m_load->m_waiting);
    }
    if (head.m_isNotRun) {
      co_return co_await TakeRejection(*reply, head, aChoice);
    }
    if (PromisesNotRun(head.m_status)) {
      // The upstream gave no proof, so the caller must not read it as one.
      m_outcome = "upstream refused without proof";
      m_state.m_directory.OnFailed(aChoice.m_instance, Now());
      co_return AttemptEnd::Unknown;
    }
    if (head.IsSuccess() && (!head.m_isGenuine || head.m_isEncoded)) {
      m_outcome = "answer is not the upstream's";
      m_state.m_directory.OnFailed(aChoice.m_instance, Now());
      co_return AttemptEnd::Unknown;
    }
    if (head.IsSuccess() && m_route.m_repeatability == operators::Repeatability::Stream) {
      co_return co_await PassStream(*reply, aChoice);
    }
    co_return co_await PassWhole(*reply, head, aChoice);
  }

  /// Statuses that tell callers that a request has not run and never will.
  static bool PromisesNotRun(unsigned aStatus)
  {
    return aStatus == 408 || aStatus == 429 || aStatus == 503;
  }

  boost::asio::awaitable<AttemptEnd> TakeRejection(base::HttpReply& aReply,
                                                   caller::UpstreamAnswerHead const& aHead,
                                                   engine::UpstreamChoice const& aChoice)
  {
    m_outcome = aHead.m_isWrongEngine ? "misdirected" : "upstream is full";
    if (aHead.m_isWrongEngine && m_query.m_model) {
      m_state.m_directory.OnModelMissing(aChoice.m_instance, *m_query.m_model, Now());
    } else if (aHead.m_isWrongEngine) {
      m_state.m_directory.OnWrongInstance(aChoice.m_instance, Now());
    }
    // Reading the rest keeps the connection usable.
    constexpr base::Duration kRestLimit = std::chrono::milliseconds(200);
    while (!aReply.IsComplete()) {
      auto const piece = co_await aReply.Read(kRestLimit);
      if (!piece) {
        break;
      }
    }
    co_return AttemptEnd::NotRun;
  }

  /// Reads an answer to its end before a byte of it goes to the caller, so that
  /// one that is cut short can be told from a whole one.
  boost::asio::awaitable<AttemptEnd> PassWhole(base::HttpReply& aReply,
                                               caller::UpstreamAnswerHead const& aHead,
                                               engine::UpstreamChoice const& aChoice)
  {
    base::HttpResponse response;
    response.m_status = aHead.m_status;
    response.m_headers = Wire::EncodeAnswerHeaders(aReply.Headers());
    while (!aReply.IsComplete()) {
      auto const limit =
        std::max<base::Duration>(m_end - Now(), base::Duration::zero()) + kAnswerGrace;
      auto const piece = co_await aReply.Read(limit);
      if (m_cancellation.IsCancelled()) {
        co_return AttemptEnd::CallerGone;
      }
      if (!piece) {
        NoteBreak(piece.error(), aChoice.m_instance);
        co_return AttemptEnd::Unknown;
      }
      response.m_body += *piece;
    }
    bool const isFailure = aHead.m_status >= 500;
    if (isFailure) {
      m_state.m_directory.OnFailed(aChoice.m_instance, Now());
    } else {
      m_state.m_directory.OnServed(aChoice.m_instance);
    }
    bool const hasMoreAttempts = m_runs + 1 < m_route.m_maximumAttempts;
    if (isFailure && m_route.MayRepeat() && hasMoreAttempts && Now() < m_end &&
        m_state.RetriesOf(m_query.m_deployment, Now()).Available() >= 1) {
      m_outcome = "upstream answered with a failure";
      m_heldFailure = std::move(response);
      co_return AttemptEnd::Failed;
    }
    m_status = response.m_status;
    m_outcome = "answered";
    auto const sent = co_await m_exchange.Respond(std::move(response));
    co_return sent ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  /// Passes events on as they arrive.
  boost::asio::awaitable<AttemptEnd> PassStream(base::HttpReply& aReply,
                                                engine::UpstreamChoice const& aChoice)
  {
    if (!m_exchange.HasStarted()) {
      auto headers = Wire::EncodeAnswerHeaders(aReply.Headers());
      auto const started = co_await m_exchange.StartStream(aReply.Status(), std::move(headers));
      if (!started) {
        co_return AttemptEnd::CallerGone;
      }
      m_status = aReply.Status();
    }
    m_hasBegun = true;
    EventBuffer events;
    while (!aReply.IsComplete()) {
      auto const limit =
        std::max<base::Duration>(m_end - Now(), base::Duration::zero()) + kAnswerGrace;
      auto const piece = co_await aReply.Read(limit);
      if (m_cancellation.IsCancelled()) {
        co_return AttemptEnd::CallerGone;
      }
      if (!piece) {
        NoteBreak(piece.error(), aChoice.m_instance);
        co_return AttemptEnd::Unknown;
      }
      auto const complete = events.Add(*piece);
      if (complete.empty()) {
        continue;
      }
      if (auto const number = Wire::DecodeEventNumber(LastEvent(complete))) {
        m_lastEvent = number;
      }
      if (!m_firstEventAt) {
        m_firstEventAt = Now();
      }
      if (!m_isBegunHere) {
        m_isBegunHere = true;
        m_state.m_directory.OnBegun(aChoice.m_instance);
      }
      auto const written = co_await m_exchange.Write(complete);
      if (!written) {
        co_return AttemptEnd::CallerGone;
      }
    }
    if (!events.Rest().empty()) {
      m_outcome = "stream ended inside an event";
      m_state.m_directory.OnFailed(aChoice.m_instance, Now());
      co_return AttemptEnd::Unknown;
    }
    m_state.m_directory.OnServed(aChoice.m_instance);
    m_outcome = "answered";
    auto const finished = co_await m_exchange.Finish();
    co_return finished ? AttemptEnd::Delivered : AttemptEnd::CallerGone;
  }

  void Finish()
  {
    if (m_workspace && m_sends == 0) {
      m_state.m_allowance.Refund(*m_workspace, m_tokens);
    }
    LogEnd();
  }

  void LogAllowance(base::WorkspaceId const& aWorkspace) const
  {
    auto const standing = m_state.m_allowance.StandingOf(aWorkspace, m_start);
    base::log::Info(
      "allowance is used up",
      { { "request", m_request.m_id.Text() },
        { "workspace", aWorkspace.Text() },
        { "tokens", std::to_string(m_tokens.Value()) },
        { "level", std::to_string(standing.m_level.Value()) },
        { "share", std::to_string(standing.m_share) },
        { "news_age_ms",
          standing.m_newsAge ? std::to_string(base::ToMilliseconds(*standing.m_newsAge)) : "" } });
  }

  void LogEnd()
  {
    auto const now = Now();
    auto const firstEvent = m_firstEventAt ? *m_firstEventAt - m_start : now - m_start;
    base::log::Info("request ended",
                    { { "request", m_request.m_id.Text() },
                      { "route", m_route.m_id.Text() },
                      { "workspace", m_workspace ? m_workspace->Text() : "" },
                      { "tokens", std::to_string(m_tokens.Value()) },
                      { "model", m_query.m_model ? m_query.m_model->Text() : "" },
                      { "upstream", m_upstream.Text() },
                      { "sends", std::to_string(m_sends) },
                      { "status", std::to_string(m_status) },
                      { "outcome", std::string(m_outcome) },
                      { "waited", m_waited ? "true" : "false" },
                      { "first_ms", std::to_string(base::ToMilliseconds(firstEvent)) },
                      { "total_ms", std::to_string(base::ToMilliseconds(now - m_start)) } });
    base::MetricLabels const labels{ { "outcome", std::string(m_outcome) } };
    m_state.m_metrics
      .Counter("sardinefold_gateway_requests_total", "Requests by how they ended.", labels)
      .Increment();
  }

  GatewayState& m_state;
  base::HttpExchange& m_exchange;
  base::Instant m_start;
  base::Instant m_end{};
  caller::ForwardRequest m_request;
  operators::RouteRule m_route;
  std::optional<base::WorkspaceId> m_workspace;
  base::Tokens m_tokens;
  unsigned m_urgency = 0;
  engine::UpstreamQuery m_query;
  base::Cancellation m_cancellation;
  unsigned m_sends = 0;
  unsigned m_runs = 0;
  bool m_mayHaveRun = false;
  /// A part of the answer has gone to the caller.
  bool m_hasBegun = false;
  /// The upstream in use has begun to answer.
  bool m_isBegunHere = false;
  bool m_waited = false;
  std::optional<caller::EventNumber> m_lastEvent;
  std::optional<base::HttpResponse> m_heldFailure;
  std::optional<base::Instant> m_firstEventAt;
  base::FingerprintId m_fingerprint;
  engine::InstanceId m_upstream;
  unsigned m_status = 0;
  std::string_view m_outcome;
};

} // namespace sardinefold::programs
