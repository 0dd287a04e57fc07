#pragma once

#include "Base/Http/HttpServer.h"
#include "Base/Metrics.h"

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include <string>

namespace sardinefold::programs {

/// Serves a process's metrics as text at /metrics.
class MetricsEndpoint
{
public:
  MetricsEndpoint(base::EventLoop& aLoop, base::Metrics const& aMetrics)
    : m_metrics(aMetrics)
    , m_server(
        aLoop, {}, [this](base::HttpExchange& aExchange) { return Serve(aExchange); }, RenderError)
  {
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
    return response;
  }

  boost::asio::awaitable<void> Serve(base::HttpExchange& aExchange)
  {
    base::HttpResponse response;
    response.m_status = 404;
    if (aExchange.Request().Path() == "/metrics") {
      response.m_status = 200;
      response.m_headers.Add("Content-Type", "text/plain; version=0.0.4");
      response.m_body = m_metrics.Render();
    }
    co_await aExchange.Respond(std::move(response));
  }

  base::Metrics const& m_metrics;
  base::HttpServer m_server;
};

} // namespace sardinefold::programs
