#pragma once

#include <json/value.h>

#include <string>

namespace sardinefold::base {

/// What a JSON-RPC response says. A code of 0 means success.
struct JsonRpcResponse
{
  Json::Value m_result;
  int m_code = 0;
  std::string m_message;
};

/// The text of a JSON-RPC 2.0 request.
std::string BuildJsonRpcRequest(std::string const& aMethod, Json::Value const& aParameters);

/// Reads a JSON-RPC 2.0 response; a malformed one gives an error answer.
JsonRpcResponse ParseJsonRpcResponse(std::string const& aMethod, Json::Value const& aParameters,
                                     std::string const& aText);

} // namespace sardinefold::base
