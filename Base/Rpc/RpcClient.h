#pragma once

#include "Base/Http/HttpClient.h"
#include "Base/Rpc/PeerAuthentication.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>

namespace sardinefold::base {

/// Why a call returned no result.
struct RpcFailure
{
  enum class Kind
  {
    /// The exchange failed. If m_mayHaveRun is set, the method may have run.
    Transport,
    /// The callee rejected the caller's signature.
    Unauthenticated,
    /// The callee responded with an error of the given code.
    Refused
  };

  Kind m_kind;
  bool m_mayHaveRun;
  int m_code = 0;
  std::string m_message;
  /// The host refused the connection, as no process listens on the port.
  bool m_isConnectionRefused = false;
};

/// Calls JSON-RPC methods of other processes of the system.
class RpcClient
{
public:
  RpcClient(HttpClient& aClient, PeerAuthentication const& aAuthentication)
    : m_client(aClient)
    , m_authentication(aAuthentication)
  {
  }

  boost::asio::awaitable<tl::expected<Json::Value, RpcFailure>> Call(Endpoint aEndpoint,
                                                                     std::string aMethod,
                                                                     Json::Value aParameters,
                                                                     Duration aTimeout);

private:
  HttpClient& m_client;
  PeerAuthentication const& m_authentication;
};

} // namespace sardinefold::base
