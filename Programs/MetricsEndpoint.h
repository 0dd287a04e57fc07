#pragma once

#include "Base/Http/HttpServer.h"
#include "Base/Metrics.h"
#include "Programs/DoorMetrics.h"
#include "Programs/RetryAfter.h"

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <memory>
#include <string>
#include <utility>

namespace sardinefold::programs {

/// Serves a process's metrics as text at /metrics.
class MetricsEndpoint
{
public:
  MetricsEndpoint(base::EventLoop& aLoop, base::Metrics& aMetrics,
                  std::shared_ptr<base::HttpBudget> aBudget)
    : m_metrics(aMetrics)
    , m_budget(std::move(aBudget))
    , m_server(
        aLoop, Limits(), [this](base::HttpExchange& aExchange) { return Serve(aExchange); },
        RenderError)
  {
    m_server.UseBudget(m_budget);
  }

  /// Limits of servers whose requests have no body.
  static base::HttpServerLimits Limits()
  {
    base::HttpServerLimits limits;
    limits.m_bodyBytes = base::Bytes(16LL * 1024);
    return limits;
  }

  tl::expected<void, std::string> Listen(base::Endpoint const& aEndpoint)
  {
    return m_server.Listen(aEndpoint);
  }

private:
  static base::HttpResponse RenderError(base::HttpRequestError const& aError)
  {
    base::HttpResponse response;
    response.m_status = aError.m_status;
    response.m_body = aError.m_message;
    AddRetryAfter(response, aError);
    return response;
  }

  boost::asio::awaitable<void> Serve(base::HttpExchange& aExchange)
  {
    base::HttpResponse response;
    response.m_status = 404;
    if (aExchange.Request().Path() == "/metrics") {
      response.m_status = 200;
      UpdateDoorMetrics(m_metrics, *m_budget);
      response.m_headers.Add("Content-Type", "text/plain; version=0.0.4");
      response.m_body = m_metrics.Render();
    }
    co_await aExchange.Respond(std::move(response));
  }

  base::Metrics& m_metrics;
  std::shared_ptr<base::HttpBudget> m_budget;
  base::HttpServer m_server;
};

} // namespace sardinefold::programs
