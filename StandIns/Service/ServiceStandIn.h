#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Settings.h"
#include "StandIns/Common/ExecutionLog.h"
#include "StandIns/Common/FaultInjector.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace sardinefold::standins {

/// Stand-in of a service without models. Every request is echoed; each POST
/// also creates a booking with a new number.
class ServiceStandIn
{
public:
  static base::SettingsTable Table();
  static tl::expected<std::unique_ptr<ServiceStandIn>, std::string> Create(
    base::EventLoop& aLoop, base::Settings const& aSettings);

  ServiceStandIn(base::EventLoop& aLoop, base::Duration aWorkTime);

  void Attach(base::HttpServer const& aServer) { m_faultInjector.Attach(aServer); }
  boost::asio::awaitable<void> Serve(base::HttpExchange& aExchange);

  FaultSwitches& Faults() { return m_faultInjector.Faults(); }
  ExecutionLog const& Executions() const { return m_executionLog; }

private:
  boost::asio::awaitable<void> ServeAdmin(base::HttpExchange& aExchange);
  base::HttpResponse Execute(base::HttpRequest const& aRequest);
  Json::Value RenderCounts() const;

  base::EventLoop& m_loop;
  FaultInjector m_faultInjector;
  ExecutionLog m_executionLog;
  base::Duration m_workTime;
  std::string m_poison;
  std::uint64_t m_running = 0;
  std::uint64_t m_nextBooking = 1;
  // Number of executions by the hash of the request's target and body.
  std::map<std::string, std::uint64_t> m_executions;
};

} // namespace sardinefold::standins
