#pragma once

#include "Base/Http/HttpServer.h"
#include "Base/Rpc/RpcServer.h"
#include "Programs/Agent/ExchangeSession.h"

#include <memory>

namespace sardinefold::programs {

/// The program sardinefold-agent: creates its components and connects them.
class AgentProgram
{
public:
  AgentProgram(base::EventLoop& aLoop, AgentConfiguration aConfiguration);
  ~AgentProgram();

  /// Starts serving. The error is the operating system's message.
  tl::expected<void, std::string> Start();
  /// Refuses new requests, waits for open ones to end and stops the loop.
  boost::asio::awaitable<void> Shutdown();
  /// Returns the port that the server is bound to.
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
  /// Null if the upstream is a service.
  std::unique_ptr<ReplicaLoader> m_loader;
  objectstore::CallBudget m_platformBudget;
  objectstore::CircuitBreaker m_platformBreaker;
  objectstore::ObjectClient m_platform;
  service::ClaimSession<objectstore::ObjectClient> m_claims;
  caller::ResponseMemoryBudget m_responseMemory;
  ExchangeContext m_context;
  base::RpcServer m_rpc;
  std::shared_ptr<base::HttpBudget> m_door;
  base::HttpServer m_server;
};

} // namespace sardinefold::programs
