#pragma once

#include "Base/Http/HttpClient.h"
#include "Engine/EngineOrder.h"

namespace sardinefold::engine {

/// Sends orders to one engine and reads its status report.
class EngineClient
{
public:
  EngineClient(base::HttpClient& aHttp, base::Endpoint aEngine)
    : m_http(aHttp)
    , m_engine(std::move(aEngine))
  {
  }

  /// Completes when the engine has executed the order; fails with Lost when no
  /// response arrived within the bound.
  boost::asio::awaitable<tl::expected<void, EngineOrderFailure>> Load(EngineOrder aOrder,
                                                                      base::Duration aBound);
  boost::asio::awaitable<tl::expected<void, EngineOrderFailure>> Unload(EngineOrder aOrder,
                                                                        base::Duration aBound);
  /// The error says why the status report could not be read.
  boost::asio::awaitable<tl::expected<EngineStatusReport, std::string>> ReadStatusReport(
    base::Duration aLimit);

private:
  /// Engines do not say which request a response belongs to.
  boost::asio::awaitable<tl::expected<base::HttpResponse, base::HttpFailure>> Fetch(
    base::HttpRequest aRequest, base::Duration aTimeout);
  boost::asio::awaitable<tl::expected<void, EngineOrderFailure>> Send(base::HttpRequest aRequest,
                                                                      base::Duration aBound);

  base::HttpClient& m_http;
  base::Endpoint m_engine;
};

} // namespace sardinefold::engine
