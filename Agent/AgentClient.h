#pragma once

#include "Agent/AgentClockEstimate.h"
#include "Agent/ConnectionStateMachine.h"
#include "Agent/ExchangeHead.h"
#include "Base/Cancellation.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Outcome.h"
#include "Base/Rpc/RpcClient.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sardinefold::agent {

/// A request that an entry forwards to an agent. The client sets the
/// correlation id, the incarnation and the start-by time of the head.
struct ForwardRequest
{
  ExchangeHead m_head;
  /// The caller's message without the fields that must not reach agents.
  base::HttpRequest m_message;
  /// Time within which the request has to start; empty to use m_firstByteLimit
  /// of the head.
  std::optional<base::Duration> m_startLimit;
};

/// The response of an upstream, received through its agent. Destroying it
/// before its end cancels the exchange.
class AgentReply
{
public:
  AgentReply(AgentReply&&) noexcept;
  AgentReply& operator=(AgentReply&&) = delete;
  ~AgentReply();

  unsigned Status() const { return m_reply.Status(); }
  /// The upstream's header fields, without those that only this system's
  /// processes exchange.
  base::HttpHeaders const& Headers() const { return m_headers; }

  /// Returns the next bytes of the body as they arrive; empty at its end.
  /// Returns Unknown if the connection closed or was found dead.
  boost::asio::awaitable<tl::expected<std::string, base::Unknown>> Read();
  bool IsComplete() const { return m_reply.IsComplete(); }

private:
  friend class AgentClient;
  class Watchdog;
  AgentReply(base::EventLoop& aLoop, base::HttpReply aReply, std::shared_ptr<Watchdog> aWatchdog);

  base::EventLoop* m_loop;
  // Shared with the coroutine that detects silence, which may be waiting for a
  // probe's response when the reply is destroyed. It holds the reply's
  // cancellation, so it is declared first and destroyed last.
  std::shared_ptr<Watchdog> m_watchdog;
  base::HttpReply m_reply;
  base::HttpHeaders m_headers;
};

using ForwardOutcome = base::Outcome<AgentReply>;

/// Forwards requests to agents and reports how each attempt ended. An attempt
/// whose connection closed is resolved by querying the agent over a new
/// connection. A request that has not started there is prevented from starting,
/// which makes its outcome NotRun.
class AgentClient
{
public:
  AgentClient(base::EventLoop& aLoop, base::HttpClient& aHttp,
              base::PeerAuthentication const& aAuthentication, ConnectionLimits aLimits);

  /// Sends a request and waits for the head of its response, at most for
  /// m_firstByteLimit of the request's head. Cancelling ends the wait or closes
  /// the reply; aCancellation must outlive the reply.
  boost::asio::awaitable<ForwardOutcome> Forward(ForwardRequest aRequest, base::Endpoint aEndpoint,
                                                 base::Cancellation& aCancellation);

  /// Calls an RPC method of an agent, such as agent.status.
  boost::asio::awaitable<tl::expected<Json::Value, base::RpcFailure>> Call(base::Endpoint aEndpoint,
                                                                           std::string aMethod,
                                                                           Json::Value aParameters,
                                                                           base::Duration aLimit);

private:
  using Watchdog = AgentReply::Watchdog;

  boost::asio::awaitable<bool> QueryClock(base::Endpoint aEndpoint, base::Duration aLimit);
  boost::asio::awaitable<ForwardOutcome> Attempt(ForwardRequest aRequest, base::Endpoint aEndpoint,
                                                 base::Cancellation& aCancellation);
  boost::asio::awaitable<ForwardOutcome> Resolve(std::shared_ptr<Watchdog> aWatchdog,
                                                 std::string aReason);
  boost::asio::awaitable<tl::expected<ExchangeReport, base::RpcFailure>> QueryExchange(
    std::shared_ptr<Watchdog> aWatchdog, bool aDeny);
  boost::asio::awaitable<void> DetectSilence(std::shared_ptr<Watchdog> aWatchdog);
  void RecordClock(base::Endpoint const& aEndpoint, base::IncarnationId const& aIncarnation,
                   AgentClock aClock);

  base::EventLoop& m_loop;
  base::HttpClient& m_http;
  base::RpcClient m_rpc;
  base::PeerAuthentication const& m_authentication;
  ConnectionLimits m_limits;
  std::map<base::Endpoint, AgentClockEstimate> m_clocks;
};

} // namespace sardinefold::agent
