#pragma once

#include "Base/Http/HttpMessage.h"
#include "Base/Rpc/PeerAuthentication.h"

#include <json/value.h>
#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace sardinefold::base {

/// Path of the JSON-RPC endpoint of each process of the system.
inline constexpr char kRpcTarget[] = "/rpc";

/// The code and message of a JSON-RPC error response.
struct RpcError
{
  int m_code;
  std::string m_message;
};

inline constexpr int kRpcInvalidParameters = -32602;
/// The process is temporarily unable to serve the call, for instance at start-up.
inline constexpr int kRpcUnavailable = -32001;
/// The caller's information is older than the callee's.
inline constexpr int kRpcStale = -32002;

/// Serves JSON-RPC requests of other processes of the system. Methods run on the
/// event loop and must not block.
class RpcServer
{
public:
  using Method = std::function<tl::expected<Json::Value, RpcError>(Json::Value const&)>;

  explicit RpcServer(PeerAuthentication const& aAuthentication);
  ~RpcServer();

  void Register(std::string const& aName, Method aMethod);

  /// Handles an authenticated request. Other requests are rejected with status 401.
  HttpResponse HandleRequest(HttpRequest const& aRequest);

private:
  class Invoker;

  PeerAuthentication const& m_authentication;
  std::unique_ptr<Invoker> m_invoker;
};

} // namespace sardinefold::base
