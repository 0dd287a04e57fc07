#include "Base/Rpc/RpcClient.h"

#include "Base/Rpc/Cxx14/JsonRpcClientCodec.h"
#include "Base/Rpc/RpcServer.h"

namespace sardinefold::base {

boost::asio::awaitable<tl::expected<Json::Value, RpcFailure>> RpcClient::Call(
  Endpoint aEndpoint, std::string aMethod, Json::Value aParameters, Duration aTimeout)
{
  HttpRequest request;
  request.m_method = "POST";
  request.m_target = kRpcTarget;
  request.m_headers.Add("Content-Type", "application/json");
  request.m_body = BuildJsonRpcRequest(aMethod, aParameters);
  m_authentication.Sign(request);
  std::string const correlation(*request.m_headers.Find(kCorrelationHeader));

  auto response = co_await m_client.Fetch(std::move(aEndpoint), std::move(request), aTimeout);
  if (!response) {
    RpcFailure failure{ RpcFailure::Kind::Transport, response.error().m_mayHaveBeenSent, 0,
                        response.error().m_detail, response.error().m_isConnectionRefused };
    co_return tl::make_unexpected(std::move(failure));
  }
  if (response->m_status != 200) {
    RpcFailure failure{ RpcFailure::Kind::Unauthenticated, false, 0,
                        "HTTP status " + std::to_string(response->m_status) };
    co_return tl::make_unexpected(std::move(failure));
  }
  if (response->m_headers.Find(kCorrelationHeader) != std::string_view(correlation)) {
    RpcFailure failure{ RpcFailure::Kind::Transport, true, 0,
                        "the response belongs to another request" };
    co_return tl::make_unexpected(std::move(failure));
  }
  auto result = ParseJsonRpcResponse(aMethod, aParameters, response->m_body);
  if (result.m_code != 0) {
    RpcFailure failure{ RpcFailure::Kind::Refused, false, result.m_code, result.m_message };
    co_return tl::make_unexpected(std::move(failure));
  }
  co_return std::move(result.m_result);
}

} // namespace sardinefold::base
