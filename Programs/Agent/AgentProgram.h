#pragma once

#include "Base/Http/HttpServer.h"
#include "Base/Rpc/RpcServer.h"
#include "Programs/Agent/ExchangeSession.h"

#include <memory>

namespace sardinefold::programs {

/// Joins the parts of sardinefold-agent.
class AgentProgram
{
public:
  AgentProgram(base::EventLoop& aLoop, AgentConfiguration aConfiguration);
  ~AgentProgram();

  /// Starts to serve; the error says what the system answered.
  tl::expected<void, std::string> Start();
  /// Refuses new requests, lets the open ones end and stops the loop.
  boost::asio::awaitable<void> Shutdown();
  /// The port bound.
  std::uint16_t Port() const { return m_server.Port(); }

private:
  boost::asio::awaitable<void> Handle(base::HttpExchange& aExchange);
  boost::asio::awaitable<void> HandleUnsigned(base::HttpExchange& aExchange);
  void RegisterMethods();
  agent::AgentStatus Status() const;
  bool IsReady() const;

  base::EventLoop& m_loop;
  AgentConfiguration m_configuration;
  base::IncarnationId m_incarnation;
  base::PeerAuthentication m_authentication;
  base::Metrics m_metrics;
  base::HttpClient m_http;
  agent::ExchangeRegistry m_registry;
  AdmissionGate m_gate;
  /// Null beside a service.
  std::unique_ptr<ReplicaLoader> m_loader;
  objectstore::CallBudget m_platformBudget;
  objectstore::CircuitBreaker m_platformBreaker;
  objectstore::ObjectClient m_platform;
  service::ClaimSession<objectstore::ObjectClient> m_claims;
  ExchangeContext m_context;
  base::RpcServer m_rpc;
  base::HttpServer m_server;
};

} // namespace sardinefold::programs
