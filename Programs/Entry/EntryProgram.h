#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Http/HttpServer.h"
#include "Base/Metrics.h"
#include "Base/Rpc/PeerAuthentication.h"
#include "Base/Rpc/RpcServer.h"
#include "Base/Settings.h"
#include "Caller/CallerEndpoint.h"
#include "Caller/CallerMetrics.h"
#include "Entry/Configuration/ConfigurationEndpoint.h"
#include "ObjectStore/ObjectClient.h"
#include "Operator/OperatorEndpoint.h"
#include "Programs/Entry/EntryBackend.h"
#include "Programs/Entry/HostViews.h"

#include <memory>
#include <string>

namespace sardinefold::programs {

/// The program sardinefold-entry: creates its components and connects them.
class EntryProgram
{
public:
  EntryProgram(base::EventLoop& aLoop, base::Settings const& aSettings);

  /// Starts serving. The error says what can't be used.
  tl::expected<void, std::string> Start();
  /// Reads the certificate files again. Open connections keep the certificate
  /// that they were opened with.
  void ReloadCertificate();
  /// Waits at most the configured drain time for open requests to end, then stops
  /// the loop.
  boost::asio::awaitable<void> Shutdown();

private:
  boost::asio::awaitable<void> Handle(base::HttpExchange& aExchange);
  base::HttpResponse ReadyResponse() const;
  tl::expected<void, std::string> LoadDocument(std::string const& aPath);
  tl::expected<void, std::string> LoadCertificate();
  boost::asio::awaitable<void> FollowHosts();
  void ApplyHosts(objectstore::HostList const& aHosts);
  /// Keeps reporting to the keys which version the configuration relay last
  /// received from the platform, and when it was read.
  boost::asio::awaitable<void> ForwardNewestVersion();
  /// Returns the state of the fleet's configuration for operators, as JSON text.
  boost::asio::awaitable<std::string> RenderStatus();

  base::EventLoop& m_loop;
  base::Settings const& m_settings;
  base::Metrics m_metrics;
  base::PeerAuthentication m_authentication;
  base::HttpClient m_http;
  base::RpcServer m_rpc;
  objectstore::CallBudget m_budget;
  objectstore::CircuitBreaker m_breaker;
  objectstore::ObjectClient m_platform;
  EntryBackend::Allowances m_allowances;
  entry::KeysEndpoint m_keys;
  EntryBackend m_backend;
  caller::CallerMetrics m_callerMetrics;
  caller::CallerEndpoint<EntryBackend> m_callers;
  entry::ConfigurationEndpoint<objectstore::ObjectClient, EntryBackend> m_configuration;
  operators::OperatorEndpoint<objectstore::ObjectClient> m_operators;
  std::shared_ptr<base::HttpBudget> m_door;
  base::HttpServer m_server;
  bool m_hasHosts = false;
};

} // namespace sardinefold::programs
