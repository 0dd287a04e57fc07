#pragma once

#include "Agent/AgentClient.h"
#include "Agent/AgentDirectory.h"
#include "Agent/DispatchError.h"
#include "Agent/DispatchPolicy.h"
#include "Agent/DispatchRequest.h"
#include "Agent/DispatchResponse.h"

#include <concepts>
#include <set>
#include <utility>

namespace sardinefold::agent {

/// Chooses the agent of each attempt and is notified how the attempts end.
template<typename T>
concept AgentChooser = requires(T& aChooser, DispatchRequest const& aRequest,
                                std::set<base::UpstreamId> const& aExcluded,
                                base::UpstreamId const& aUpstream, AttemptEnd aEnd,
                                base::Instant aNow)
{
  {
    aChooser.Choose(aRequest, aExcluded, aNow)
    } -> std::same_as<std::optional<KnownAgent>>;
  { aChooser.OnSent(aRequest, aUpstream, aNow) };
  { aChooser.OnEnded(aRequest, aUpstream, aEnd, aNow) };
};

/// Reserves tokens of the workspace's allowance for a request about to be sent.
template<typename T>
concept TokenReserver = requires(T& aReserver, DispatchRequest const& aRequest,
                                 ReservationId aReservation, base::Tokens aUsed)
{
  {
    aReserver.Reserve(aRequest)
    } -> std::same_as<boost::asio::awaitable<tl::expected<TokenReservation, DispatchError>>>;
  { aReserver.Settle(aReservation, aUsed) };
};

/// Bounds the number of retries relative to the number of requests.
template<typename T>
concept RetryLimiter = requires(T& aLimiter, base::Instant aNow)
{
  { aLimiter.OnRequest(aNow) };
  {
    aLimiter.TryTake(aNow)
    } -> std::same_as<bool>;
};

/// Sends one request to agents until one runs it or the request has to be
/// refused.
template<AgentChooser Chooser, TokenReserver Reserver, RetryLimiter Retries>
class DispatchSession
{
public:
  using Response = DispatchResponse<AgentReply>;
  using Result = tl::expected<Response, DispatchError>;

  DispatchSession(base::EventLoop& aLoop, AgentClient& aClient, Chooser& aChooser,
                  Reserver& aReserver, Retries& aRetries)
    : m_loop(aLoop)
    , m_client(aClient)
    , m_chooser(aChooser)
    , m_reserver(aReserver)
    , m_retries(aRetries)
  {
  }

  boost::asio::awaitable<Result> Run(DispatchRequest const& aRequest, base::HttpRequest aMessage,
                                     base::Cancellation& aCancellation)
  {
    std::optional<DispatchError> last;
    m_retries.OnRequest(m_loop.Now());
    while (true) {
      auto const now = m_loop.Now();
      auto const agent = m_chooser.Choose(aRequest, m_excluded, now);
      if (!agent && (m_excluded.empty() || now + m_pause >= aRequest.m_deadline)) {
        co_return tl::make_unexpected(Final(last ? *last : NoUpstreamError()));
      }
      if (!agent) {
        // Every agent has been tried once; one that was restarting may be able
        // to serve now.
        m_excluded.clear();
        co_await m_loop.Sleep(m_pause);
        m_pause *= 2;
        continue;
      }
      auto const reservation = co_await m_reserver.Reserve(aRequest);
      if (!reservation) {
        co_return tl::make_unexpected(Final(reservation.error()));
      }
      auto outcome = co_await Attempt(aRequest, aMessage, *agent, *reservation, aCancellation);
      if (auto* const reply = std::get_if<AgentReply>(&outcome)) {
        co_return Response{ agent->m_upstream, reservation->m_reservation, reservation->m_tokens,
                            std::move(*reply) };
      }
      auto const step = NextStep(aRequest, outcome, aCancellation.IsCancelled(), m_loop.Now());
      m_reserver.Settle(reservation->m_reservation,
                        step.m_mayHaveRun ? reservation->m_tokens : base::Tokens(0));
      m_chooser.OnEnded(aRequest, agent->m_upstream, step.m_end, m_loop.Now());
      last = step.m_error;
      if (auto const* const unknown = std::get_if<base::Unknown>(&step.m_error.m_outcome)) {
        m_unknown = *unknown;
      }
      if (step.m_permit && step.m_end == AttemptEnd::Late) {
        // The agent was not ready in time, for example because it was loading
        // the model. The same agent gets the request again with a new
        // reservation of tokens.
        continue;
      }
      if (!step.m_permit || !m_retries.TryTake(m_loop.Now())) {
        co_return tl::make_unexpected(Final(*last));
      }
      m_excluded.insert(agent->m_upstream);
    }
  }

private:
  /// Sets the outcome of a refusal: "not run" only if no attempt may have run.
  DispatchError Final(DispatchError aError) const
  {
    if (m_unknown) {
      aError.m_outcome = *m_unknown;
    }
    return aError;
  }

  boost::asio::awaitable<ForwardOutcome> Attempt(DispatchRequest const& aRequest,
                                                 base::HttpRequest const& aMessage,
                                                 KnownAgent const& aAgent,
                                                 TokenReservation const& aReservation,
                                                 base::Cancellation& aCancellation)
  {
    m_chooser.OnSent(aRequest, aAgent.m_upstream, m_loop.Now());
    ForwardRequest forward{ MakeExchangeHead(aRequest, m_loop.Now()), aMessage, std::nullopt };
    if (aReservation.m_startBy) {
      forward.m_startLimit = *aReservation.m_startBy - m_loop.Now();
    }
    auto outcome = co_await m_client.Forward(std::move(forward), aAgent.m_endpoint, aCancellation);
    co_return outcome;
  }

  base::EventLoop& m_loop;
  AgentClient& m_client;
  Chooser& m_chooser;
  Reserver& m_reserver;
  Retries& m_retries;
  std::set<base::UpstreamId> m_excluded;
  /// The outcome of the latest attempt that may have run; empty if there was
  /// none.
  std::optional<base::Unknown> m_unknown;
  /// Delay before agents that have been tried are tried again.
  base::Duration m_pause = std::chrono::milliseconds(100);
};

} // namespace sardinefold::agent
