#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Settings.h"
#include "Base/Signal.h"
#include "StandIns/Common/FaultInjector.h"
#include "StandIns/Common/RateLimiter.h"
#include "StandIns/Platform/HostList.h"
#include "StandIns/Platform/ObjectTable.h"

#include <tl/expected.hpp>

#include <memory>
#include <string>

namespace sardinefold::standins {

/// Stand-in of the platform: the object API and the host list that
/// docs/INTERFACES.md describes.
class PlatformStandIn
{
public:
  static base::SettingsTable Table();
  static tl::expected<std::unique_ptr<PlatformStandIn>, std::string> Create(
    base::EventLoop& aLoop, base::Settings const& aSettings);

  PlatformStandIn(base::EventLoop& aLoop, double aWritesPerSecond, double aReadsPerSecond);

  void Attach(base::HttpServer const& aServer) { m_faultInjector.Attach(aServer); }
  boost::asio::awaitable<void> Serve(base::HttpExchange& aExchange);

  FaultSwitches& Faults() { return m_faultInjector.Faults(); }
  ObjectTable& Objects() { return m_objects; }
  HostList& Hosts() { return m_hosts; }
  RateLimiter const& Writes() const { return m_writes; }
  RateLimiter const& Reads() const { return m_reads; }

private:
  /// Decoded path below /v1/objects or /v1/watch.
  struct ObjectPath
  {
    std::string m_kind;
    std::string m_name;
  };

  boost::asio::awaitable<void> ServeAdmin(base::HttpExchange& aExchange);
  boost::asio::awaitable<void> ServeObjects(base::HttpExchange& aExchange, ObjectPath aPath);
  boost::asio::awaitable<void> ServeWatch(base::HttpExchange& aExchange, ObjectPath aPath);
  base::HttpResponse Get(ObjectPath const& aPath) const;
  base::HttpResponse List(std::string const& aKind, std::string const& aPrefix) const;
  base::HttpResponse Put(ObjectPath const& aPath, base::HttpRequest const& aRequest);
  base::HttpResponse Delete(ObjectPath const& aPath, base::HttpRequest const& aRequest);
  Json::Value Calls() const;

  base::EventLoop& m_loop;
  FaultInjector m_faultInjector;
  ObjectTable m_objects;
  HostList m_hosts;
  RateLimiter m_writes;
  RateLimiter m_reads;
  base::Signal m_changed;
  std::uint64_t m_waitingWatches = 0;
};

} // namespace sardinefold::standins
