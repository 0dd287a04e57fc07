#pragma once

#include "Base/Http/HttpClient.h"
#include "Engine/EngineOrder.h"

namespace sardinefold::engine {

/// Gives orders to one engine and reads its account of itself.
class EngineClient
{
public:
  EngineClient(base::HttpClient& aHttp, base::Endpoint aEngine)
    : m_http(aHttp)
    , m_engine(std::move(aEngine))
  {
  }

  /// Completes when the order has been carried out; Lost when no answer came
  /// within the bound.
  boost::asio::awaitable<tl::expected<void, EngineOrderFailure>> Load(EngineOrder aOrder,
                                                                      base::Duration aBound);
  boost::asio::awaitable<tl::expected<void, EngineOrderFailure>> Unload(EngineOrder aOrder,
                                                                        base::Duration aBound);
  /// The error says why the account could not be read.
  boost::asio::awaitable<tl::expected<EngineStatusReport, std::string>> ReadStatusReport(
    base::Duration aLimit);

private:
  boost::asio::awaitable<tl::expected<void, EngineOrderFailure>> Send(base::HttpRequest aRequest,
                                                                      base::Duration aBound);

  base::HttpClient& m_http;
  base::Endpoint m_engine;
};

} // namespace sardinefold::engine
