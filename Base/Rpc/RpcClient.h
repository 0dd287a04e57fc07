#pragma once

#include "Base/Http/HttpClient.h"
#include "Base/Rpc/PeerAuthentication.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <string>

namespace sardinefold::base {

/// Why a call gave no result.
struct RpcFailure
{
  enum class Kind
  {
    /// The exchange failed; the callee may have acted if m_mayHaveRun.
    Transport,
    /// The callee does not accept the caller's signature.
    Unauthenticated,
    /// The callee answered with an error of the given code.
    Refused
  };

  Kind m_kind;
  bool m_mayHaveRun;
  int m_code = 0;
  std::string m_message;
  /// The host answered that no process listens there.
  bool m_isConnectionRefused = false;
};

/// Calls JSON-RPC methods of the system's other processes.
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
