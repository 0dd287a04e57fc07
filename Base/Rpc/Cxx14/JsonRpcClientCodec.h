#pragma once

#include <json/value.h>

#include <string>

namespace sardinefold::base {

/// The content of a JSON-RPC response. A code of 0 means success.
struct JsonRpcResponse
{
  Json::Value m_result;
  int m_code = 0;
  std::string m_message;
};

/// Renders a JSON-RPC 2.0 request.
std::string BuildJsonRpcRequest(std::string const& aMethod, Json::Value const& aParameters);

/// Parses a JSON-RPC 2.0 response. A malformed response gives an error code.
JsonRpcResponse ParseJsonRpcResponse(std::string const& aMethod, Json::Value const& aParameters,
                                     std::string const& aText);

} // namespace sardinefold::base
