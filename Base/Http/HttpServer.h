#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpBudget.h"
#include "Base/Http/HttpConnectionClose.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Http/HttpMessage.h"
#include "Base/Http/HttpServerCounts.h"
#include "Base/Http/IdleLimit.h"
#include "Base/Units.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <tl/expected.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace sardinefold::base {

/// Limits on the resources of one connection, and on the number of connections.
struct HttpServerLimits
{
  Bytes m_headerBytes{ 16 * 1024 };
  Bytes m_bodyBytes{ 4 * 1024 * 1024 };
  /// Timeout from the first byte of a request to the end of its headers.
  Duration m_headerTimeout = std::chrono::seconds(10);
  /// Timeout for the complete body of a request.
  Duration m_bodyTimeout = std::chrono::seconds(30);
  /// Timeout for one write, after which the peer counts as disconnected.
  Duration m_writeTimeout = std::chrono::seconds(30);
  /// Timeout between two requests on one connection.
  Duration m_idleTimeout = std::chrono::seconds(75);
  std::size_t m_connections = 20'000;
};

/// Why a request could not be read, and the HTTP status of the response to it.
struct HttpRequestError
{
  unsigned m_status;
  std::string m_message;
  /// When a retry may succeed, if the refusal is for want of room.
  std::optional<Duration> m_retryAfter{};
};

class IdleWait;
class ReadDeadline;

/// Accepts HTTP/1.1 connections and passes each request to a handler once it is
/// completely read. Requests on one connection are served one after the other.
class HttpServer
{
public:
  using Handler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;
  using ErrorRenderer = std::function<HttpResponse(HttpRequestError const&)>;
  using CloseObserver = std::function<void(HttpConnectionClose const&)>;

  HttpServer(EventLoop& aLoop, HttpServerLimits aLimits, Handler aHandler,
             ErrorRenderer aErrorRenderer);
  ~HttpServer();

  /// Uses TLS for new connections. Open connections keep their certificate.
  void UseTls(std::shared_ptr<boost::asio::ssl::context> aContext);

  /// Shares a budget with the other servers of the process. Has to be called before
  /// Listen().
  void UseBudget(std::shared_ptr<HttpBudget> aBudget) { m_budget = std::move(aBudget); }

  /// Sets a callback that is called at the end of each connection.
  void OnConnectionClosed(CloseObserver aObserver) { m_closeObserver = std::move(aObserver); }

  /// Binds and starts to accept connections. The error carries the operating
  /// system's message.
  tl::expected<void, std::string> Listen(Endpoint const& aEndpoint);
  /// Returns the bound port, which the operating system chose if the endpoint's
  /// port was 0.
  std::uint16_t Port() const;

  /// Replaces the limits. A request that is being read keeps its former limits. A raised
  /// idle time-out also holds for connections that wait already; a lowered one closes
  /// none earlier than the former until that has passed.
  void SetLimits(HttpServerLimits aLimits, Instant aNow);

  /// Closes each connection after its next response, while serving continues.
  void CloseAfterResponses();

  /// Stops accepting, closes idle connections and waits until the open exchanges
  /// have ended or the timeout has expired. A request that has arrived, also in part,
  /// is still served. Returns how many exchanges are still open without an answer.
  boost::asio::awaitable<std::size_t> Drain(Duration aTimeout);

  /// Refuses the requests that are being read, and have not arrived completely, with
  /// status 408.
  void EndReads();

  std::size_t OpenConnections() const { return m_counts->m_connections; }
  /// Returns the number of requests that are being read or served.
  std::size_t OpenExchanges() const { return m_counts->m_exchanges; }
  /// Returns the number of connections accepted so far, which is also the sequence
  /// number of the latest one.
  std::uint64_t AcceptedConnections() const { return m_accepted; }

private:
  template<typename Stream>
  class Session;

  void ReportClose(HttpConnectionClose const& aClose) const
  {
    if (m_closeObserver) {
      m_closeObserver(aClose);
    }
  }

  boost::asio::awaitable<void> Accept();
  void StartSession(boost::asio::ip::tcp::socket aSocket);
  void ReportTurnedAway() const;
  void AcceptPending();
  boost::asio::awaitable<void> ServePlain(boost::asio::ip::tcp::socket aSocket);
  boost::asio::awaitable<void> ServeTls(boost::asio::ip::tcp::socket aSocket,
                                        std::shared_ptr<boost::asio::ssl::context> aContext);

  EventLoop& m_loop;
  HttpServerLimits m_limits;
  IdleLimit m_idleLimit;
  std::shared_ptr<HttpBudget> m_budget = std::make_shared<HttpBudget>(HttpBudgetLimits{});
  Handler m_handler;
  ErrorRenderer m_errorRenderer;
  CloseObserver m_closeObserver;
  // Shared with each pending handshake, which may outlast a reload.
  std::shared_ptr<boost::asio::ssl::context> m_tls;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::list<IdleWait*> m_idle;
  std::list<ReadDeadline*> m_reads;
  std::list<HttpExchange*> m_open;
  /// What connections that linger have received, and nobody reads.
  std::array<char, 16UL * 1024> m_discarded{};
  std::shared_ptr<HttpServerCounts> m_counts = std::make_shared<HttpServerCounts>();
  std::uint64_t m_accepted = 0;
  bool m_isClosing = false;
  bool m_draining = false;
  bool m_areReadsEnded = false;
};

} // namespace sardinefold::base
