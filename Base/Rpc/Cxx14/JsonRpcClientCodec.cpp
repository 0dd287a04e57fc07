#include "Base/Rpc/Cxx14/JsonRpcClientCodec.h"

#include <jsonrpccpp/client.h>

#include <exception>

namespace sardinefold {
namespace base {

namespace {

constexpr int kMalformedResponse = -32700;

/// Thrown through the library when it has rendered the request, since the library
/// would wait for the response in the same call.
class RequestCaptured : public jsonrpc::JsonRpcException
{
public:
  RequestCaptured()
    : JsonRpcException("captured")
  {
  }
};

class CapturingConnector : public jsonrpc::IClientConnector
{
public:
  std::string m_request;

  void SendRPCMessage(std::string const& aMessage,
                      std::string&) throw(jsonrpc::JsonRpcException) override
  {
    m_request = aMessage;
    throw RequestCaptured();
  }
};

class PresetResponseConnector : public jsonrpc::IClientConnector
{
public:
  explicit PresetResponseConnector(std::string const& aResponse)
    : m_response(aResponse)
  {
  }

  void SendRPCMessage(std::string const&,
                      std::string& aResult) throw(jsonrpc::JsonRpcException) override
  {
    aResult = m_response;
  }

private:
  std::string const& m_response;
};

} // namespace

std::string BuildJsonRpcRequest(std::string const& aMethod, Json::Value const& aParameters)
{
  CapturingConnector connector;
  jsonrpc::Client client(connector);
  try {
    client.CallMethod(aMethod, aParameters);
  } catch (RequestCaptured const&) {
  }
  return connector.m_request;
}

JsonRpcResponse ParseJsonRpcResponse(std::string const& aMethod, Json::Value const& aParameters,
                                     std::string const& aText)
{
  PresetResponseConnector connector(aText);
  jsonrpc::Client client(connector);
  JsonRpcResponse response;
  try {
    response.m_result = client.CallMethod(aMethod, aParameters);
  } catch (jsonrpc::JsonRpcException const& error) {
    response.m_code = error.GetCode() == 0 ? kMalformedResponse : error.GetCode();
    response.m_message = error.GetMessage();
  } catch (std::exception const& error) {
    response.m_code = kMalformedResponse;
    response.m_message = error.what();
  }
  return response;
}

} // namespace base
} // namespace sardinefold
