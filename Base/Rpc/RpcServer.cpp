#include "Base/Rpc/RpcServer.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <cstdarg>

namespace sardinefold::base {

/// Dispatches calls of the library's protocol handler to the registered methods.
class RpcServer::Invoker : public jsonrpc::IProcedureInvokationHandler
{
public:
  Invoker()
    : m_protocol(
        jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
  {
  }

  void Add(std::string const& aName, Method aMethod)
  {
    // The methods validate their parameters themselves, with typed codecs.
    jsonrpc::Procedure const procedure(aName, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                                       static_cast<char const*>(nullptr));
    m_protocol->AddProcedure(procedure);
    m_methods[aName] = std::move(aMethod);
  }

  std::string Handle(std::string const& aRequest)
  {
    std::string response;
    m_protocol->HandleRequest(aRequest, response);
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& aProcedure, Json::Value const& aInput,
                        Json::Value& aOutput) override
  {
    auto result = m_methods.at(aProcedure.GetProcedureName())(aInput);
    if (!result) {
      throw jsonrpc::JsonRpcException(result.error().m_code, result.error().m_message);
    }
    aOutput = std::move(*result);
  }

  void HandleNotificationCall(jsonrpc::Procedure&, Json::Value const&) override {}

private:
  std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
  std::map<std::string, Method> m_methods;
};

RpcServer::RpcServer(PeerAuthentication const& aAuthentication)
  : m_authentication(aAuthentication)
  , m_invoker(std::make_unique<Invoker>())
{
}

RpcServer::~RpcServer() = default;

void RpcServer::Register(std::string const& aName, Method aMethod)
{
  m_invoker->Add(aName, std::move(aMethod));
}

HttpResponse RpcServer::HandleRequest(HttpRequest const& aRequest)
{
  if (!m_authentication.Verify(aRequest)) {
    return JsonResponse(401, R"({"error":{"code":"peer_not_authenticated"}})");
  }
  auto response = JsonResponse(200, m_invoker->Handle(aRequest.m_body));
  response.m_headers.Add(kCorrelationHeader,
                         std::string(*aRequest.m_headers.Find(kCorrelationHeader)));
  return response;
}

} // namespace sardinefold::base
