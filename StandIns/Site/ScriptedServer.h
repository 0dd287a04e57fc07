#pragma once

#include "Base/Endpoint.h"
#include "Base/EventLoop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace sardinefold::standins {

/// What a ScriptedServer sends for one request.
struct ScriptedResponse
{
  enum class End
  {
    KeepOpen,
    Close,
    Reset,
    /// Ends what is sent, and reads on until the peer closes.
    HalfClose
  };

  /// Bytes to send, in which {id} is the request's ID and {previous} that of the
  /// request before it.
  std::string m_text;
  End m_end = End::KeepOpen;
  /// Whether to respond without having read the body.
  bool m_isEarly = false;
  /// Sent before m_text on a connection that has carried a request before.
  std::string m_textIfReused{};
  /// Time between the last byte and the end.
  base::Duration m_pause{};
};

/// Faulty upstream that answers each request with the next text of a script, and
/// the last one again when the script has ended.
class ScriptedServer
{
public:
  ScriptedServer(base::EventLoop& aLoop, std::vector<ScriptedResponse> aScript);

  tl::expected<void, std::string> Listen(base::Endpoint const& aAddress);
  std::size_t Requests() const { return m_requests; }
  std::size_t Connections() const { return m_connections; }

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket);
  boost::asio::awaitable<void> End(boost::asio::ip::tcp::socket& aSocket,
                                   ScriptedResponse::End aEnd);

  base::EventLoop& m_loop;
  std::vector<ScriptedResponse> m_script;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::string m_previousId;
  std::size_t m_requests = 0;
  std::size_t m_connections = 0;
};

} // namespace sardinefold::standins
