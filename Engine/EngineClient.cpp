#include "Engine/EngineClient.h"

#include "Engine/EngineCodec.h"
#include "Engine/EngineResponseLimits.h"

namespace sardinefold::engine {

using boost::asio::awaitable;
using OrderResult = tl::expected<void, EngineOrderFailure>;

awaitable<tl::expected<base::HttpResponse, base::HttpFailure>> EngineClient::Fetch(
  base::HttpRequest aRequest, base::Duration aTimeout)
{
  base::HttpSendOptions options{ aTimeout, nullptr, std::nullopt, std::nullopt, nullptr };
  options.m_isConnectionExclusive = true;
  co_return co_await m_http.Fetch(m_engine, std::move(aRequest), std::move(options),
                                  kMaximumReportBytes);
}

awaitable<OrderResult> EngineClient::Send(base::HttpRequest aRequest, base::Duration aBound)
{
  auto const response = co_await Fetch(std::move(aRequest), aBound);
  if (!response) {
    using Kind = EngineOrderFailure::Kind;
    auto const& failure = response.error();
    EngineOrderFailure mapped{ failure.m_mayHaveBeenSent ? Kind::Lost : Kind::NotSent,
                               failure.m_detail };
    co_return tl::make_unexpected(std::move(mapped));
  }
  co_return DecodeOrderResponse(*response);
}

awaitable<OrderResult> EngineClient::Load(EngineOrder aOrder, base::Duration aBound)
{
  auto request = EncodeLoadOrder(aOrder);
  co_return co_await Send(std::move(request), aBound);
}

awaitable<OrderResult> EngineClient::Unload(EngineOrder aOrder, base::Duration aBound)
{
  auto request = EncodeUnloadOrder(aOrder);
  co_return co_await Send(std::move(request), aBound);
}

awaitable<tl::expected<EngineStatusReport, std::string>> EngineClient::ReadStatusReport(
  base::Duration aLimit)
{
  base::HttpRequest request;
  request.m_target = "/state";
  auto const response = co_await Fetch(std::move(request), aLimit);
  if (!response) {
    co_return tl::make_unexpected(response.error().m_detail);
  }
  if (response->m_status != 200) {
    co_return tl::make_unexpected("HTTP status " + std::to_string(response->m_status));
  }
  co_return DecodeEngineStatusReport(response->m_body);
}

} // namespace sardinefold::engine
