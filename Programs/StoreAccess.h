#pragma once

#include "Base/Digest.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"
#include "Base/Metrics.h"
#include "ObjectStore/CallBudget.h"
#include "ObjectStore/CircuitBreaker.h"
#include "ObjectStore/ObjectStoreClient.h"

namespace sardinefold::programs {

/// Access of one process to the object store, with its share of the calls.
template<objectstore::ObjectStore Client>
class StoreAccess
{
public:
  StoreAccess(base::EventLoop& aLoop, base::Endpoint aStore, base::Metrics& aMetrics)
    : m_http(aLoop, ClientLimits())
    , m_breaker(Circuit(), base::RandomNumber())
    , m_budget(Rates(), base::RandomNumber(), aLoop.Now())
    , m_client(aLoop, m_http, std::move(aStore), m_budget, m_breaker, aMetrics)
  {
  }

  Client& Objects() { return m_client; }
  void SetEndpoint(base::Endpoint aStore) { m_client.SetEndpoint(std::move(aStore)); }

  void SweepIdle(base::Instant aNow) { m_http.SweepIdle(aNow); }

  static objectstore::CircuitLimits Circuit()
  {
    objectstore::CircuitLimits limits;
    // A configuration must be in force within two seconds of the store's recovery,
    // so probes are at most half a second apart.
    limits.m_backoff = { std::chrono::milliseconds(100), std::chrono::milliseconds(500) };
    limits.m_probeTime = std::chrono::seconds(3);
    return limits;
  }

private:
  static base::HttpClientLimits ClientLimits()
  {
    base::HttpClientLimits limits;
    // The store responds within milliseconds; a lost packet takes up to a second.
    limits.m_connectTimeout = std::chrono::milliseconds(800);
    // An idle connection may have failed unnoticed, so it is not reused for long.
    limits.m_idle.m_timeout = std::chrono::seconds(4);
    // A watch may receive nothing for longer than a configuration may take to be
    // in force.
    limits.m_acknowledgeTimeout = std::chrono::milliseconds(1000);
    return limits;
  }

  /// A process watches two kinds of objects and writes one, so a small share of
  /// the site's rates is sufficient.
  static objectstore::CallRates Rates()
  {
    return { objectstore::CallsPerSecond(5), objectstore::CallsPerSecond(20) };
  }

  base::HttpClient m_http;
  objectstore::CircuitBreaker m_breaker;
  objectstore::CallBudget m_budget;
  Client m_client;
};

} // namespace sardinefold::programs
