#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Http/HttpMessage.h"
#include "Base/Units.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace sardinefold::base {

/// Bounds on what one connection may cost.
struct HttpServerLimits
{
  Bytes m_headerBytes{ 16 * 1024 };
  Bytes m_bodyBytes{ 4 * 1024 * 1024 };
  /// From the first byte of a request to the end of its headers.
  Duration m_headerTimeout = std::chrono::seconds(10);
  /// For the whole of a request's body.
  Duration m_bodyTimeout = std::chrono::seconds(30);
  /// For one write to make progress before the peer counts as gone.
  Duration m_writeTimeout = std::chrono::seconds(30);
  /// Between two requests of one connection.
  Duration m_idleTimeout = std::chrono::seconds(75);
  std::size_t m_connections = 20'000;
};

/// Why a request could not be read; the status is the one to answer with.
struct HttpRequestError
{
  unsigned m_status;
  std::string m_message;
};

/// Accepts HTTP/1.1 connections and gives each request, read whole, to a
/// handler. Requests of one connection are served one after the other.
class HttpServer
{
public:
  using Handler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;
  using ErrorRenderer = std::function<HttpResponse(HttpRequestError const&)>;

  HttpServer(EventLoop& aLoop, HttpServerLimits aLimits, Handler aHandler,
             ErrorRenderer aErrorRenderer);
  ~HttpServer();

  /// Serves TLS from now on; connections that are open keep their certificate.
  void UseTls(std::shared_ptr<boost::asio::ssl::context> aContext);

  /// Binds and starts to accept. The error says what the system answered.
  tl::expected<void, std::string> Listen(Endpoint const& aEndpoint);
  /// The port bound, which the system chose if the endpoint said 0.
  std::uint16_t Port() const;

  /// Replaces the bounds; requests that are being read keep theirs.
  void SetLimits(HttpServerLimits aLimits) { m_limits = aLimits; }

  /// Goes on serving, and closes each connection after its next response.
  void CloseAfterResponses() { m_isClosing = true; }

  /// Accepts no more, closes idle connections and lets the open exchanges end,
  /// for at most the given time. Returns how many were still open then.
  boost::asio::awaitable<std::size_t> Drain(Duration aTimeout);

  std::size_t OpenConnections() const { return m_connections; }
  std::size_t OpenExchanges() const { return m_exchanges; }
  /// Connections accepted so far; the number of the latest one.
  std::uint64_t AcceptedConnections() const { return m_accepted; }

private:
  template<typename Stream>
  class Session;

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> ServePlain(boost::asio::ip::tcp::socket aSocket);
  boost::asio::awaitable<void> ServeTls(boost::asio::ip::tcp::socket aSocket,
                                        std::shared_ptr<boost::asio::ssl::context> aContext);

  EventLoop& m_loop;
  HttpServerLimits m_limits;
  Handler m_handler;
  ErrorRenderer m_errorRenderer;
  // Shared with each handshake under way, which may outlast a reload.
  std::shared_ptr<boost::asio::ssl::context> m_tls;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::list<boost::asio::ip::tcp::socket*> m_idle;
  std::size_t m_connections = 0;
  std::size_t m_exchanges = 0;
  std::uint64_t m_accepted = 0;
  bool m_isClosing = false;
  bool m_draining = false;
};

} // namespace sardinefold::base
