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

/// Path of the JSON-RPC endpoint of every process of the system.
inline constexpr char kRpcTarget[] = "/rpc";

/// An error answer of a method, in JSON-RPC's terms.
struct RpcError
{
  int m_code;
  std::string m_message;
};

inline constexpr int kRpcInvalidParameters = -32602;
/// The process cannot answer now, for instance because it is starting.
inline constexpr int kRpcUnavailable = -32001;
/// The caller's information is older than the callee's.
inline constexpr int kRpcStale = -32002;

/// Answers JSON-RPC requests of the system's other processes. Methods run on
/// the loop and return at once.
class RpcServer
{
public:
  using Method = std::function<tl::expected<Json::Value, RpcError>(Json::Value const&)>;

  explicit RpcServer(PeerAuthentication const& aAuthentication);
  ~RpcServer();

  void Register(std::string const& aName, Method aMethod);

  /// Answers an authenticated request; refuses another with 401.
  HttpResponse Answer(HttpRequest const& aRequest);

private:
  class Invoker;

  PeerAuthentication const& m_authentication;
  std::unique_ptr<Invoker> m_invoker;
};

} // namespace sardinefold::base
