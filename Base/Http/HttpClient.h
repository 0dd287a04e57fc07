#pragma once

#include "Base/Cancellation.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpIdleLimits.h"
#include "Base/Http/HttpMessage.h"
#include "Base/Units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sardinefold::base {

/// Why an exchange with a server gave no complete response.
struct HttpFailure
{
  enum class Kind
  {
    ConnectFailed,
    TimedOut,
    ConnectionClosed,
    MalformedResponse,
    TooLarge,
    /// The response belongs to another request.
    MismatchedResponse,
    /// The sender no longer wanted the request when the connection was ready.
    Withdrawn
  };

  Kind m_kind;
  /// False only if no byte of the request was written to a connection.
  bool m_mayHaveBeenSent;
  std::string m_detail;
  /// The host refused the connection, as no process listens on the port.
  bool m_isConnectionRefused = false;
};

std::string_view ToText(HttpFailure::Kind aKind);

/// A connection of one client, counted from the client's start.
using HttpConnectionNumber = Ordinal<struct HttpConnectionNumberTag>;

/// A request that checks whether an idle connection still carries data. A device
/// on the path, such as a NAT or a firewall, may have dropped the connection's
/// state, of which neither end is notified.
struct HttpProbe
{
  /// Target of the GET request. Any response counts as a success.
  std::string m_target;
  /// Connections that were idle for longer are probed before they are reused.
  Duration m_idleThreshold = std::chrono::seconds(1);
  Duration m_timeout = std::chrono::milliseconds(500);
};

struct HttpClientLimits
{
  Duration m_connectTimeout = std::chrono::seconds(1);
  /// A connection that was idle for longer is not reused. The timeout is shorter than
  /// the servers' idle timeout, so that a request rarely races with the server's close.
  HttpIdleLimits m_idle;
  /// Maximum size of a response head; at most 64 KiB, the size of a connection's
  /// read buffer.
  Bytes m_headerBytes{ 32 * 1024 };
  std::optional<HttpProbe> m_probe;
  /// A connection is closed if its peer acknowledges nothing for this long, also
  /// while a response is awaited, since the peer may be permanently unreachable. If
  /// absent, only the timeouts of each request apply.
  std::optional<Duration> m_acknowledgeTimeout;
  /// Whether a connection is reused after a response with a status of 400 or more. Without
  /// an echo, a late copy of that response would be taken for the next one.
  bool m_isReusedAfterRefusal = true;
};

/// Options for sending one request.
struct HttpSendOptions
{
  /// Timeout for the head of the response, including connection set-up.
  Duration m_headTimeout;
  /// Aborts the connection when cancelled before the response is complete. It must
  /// outlive the reply.
  Cancellation* m_cancellation = nullptr;
  /// Connections that were idle for longer are not reused; with zero the client
  /// always opens a new connection. If absent, the client's own timeout applies.
  std::optional<Duration> m_maximumIdleTime;
  /// A field that the response echoes. Final responses with another value belong
  /// to an earlier request and are discarded. One without the field is returned, but
  /// its connection is not reused. No connection carries a value twice, as a late copy
  /// of the first response would be taken for the second one.
  std::optional<HttpHeaders::Field> m_echo;
  /// Called when a connection is ready, before the first byte is written. If it
  /// returns false, the request is not sent.
  std::function<bool()> m_mayStillSend;
  /// Sent instead of the request's own body, if present. It is kept until it is written,
  /// also if the sender is gone by then.
  std::shared_ptr<std::string const> m_body = nullptr;
  /// Whether the request gets a connection that carries no other one. Without an echo,
  /// nothing else tells its response from a late copy of an earlier one.
  bool m_isConnectionExclusive = false;
};

class HttpClient;
struct HttpConnection;

/// A response that is being received. Destroying it before the end of the response
/// aborts the connection, which tells the server to stop.
class HttpReply
{
public:
  HttpReply(HttpReply&&) noexcept;
  HttpReply& operator=(HttpReply&&) noexcept;
  ~HttpReply();

  unsigned Status() const { return m_status; }
  HttpHeaders const& Headers() const { return m_headers; }

  /// Returns whether no earlier response came on the connection, so that this one
  /// cannot belong to an earlier request.
  bool IsFirstOnConnection() const { return m_isFirstOnConnection; }

  HttpConnectionNumber ConnectionNumber() const { return m_connectionNumber; }
  /// Requests that were sent on the connection before this one.
  std::size_t EarlierRequests() const { return m_earlierRequests; }

  /// Returns whether the body has neither a length nor chunks, so that its end cannot
  /// be told from a closed connection.
  bool EndsWithConnection() const { return m_endsWithConnection; }

  /// Returns the next bytes of the body as they arrive, or an empty text at its
  /// end. Fails with TimedOut if nothing arrives within the timeout, and with
  /// TooLarge if data other than the body, such as a chunk extension, is too long.
  /// NOTE: A body may be endless, so the caller has to limit its size and its total
  /// time.
  boost::asio::awaitable<tl::expected<std::string, HttpFailure>> Read(Duration aTimeout);
  /// Returns whether the body has been read to its end.
  bool IsComplete() const { return m_complete; }

private:
  friend class HttpClient;
  HttpReply(HttpClient& aClient, std::unique_ptr<HttpConnection> aConnection,
            Cancellation* aCancellation);
  void Finish();

  HttpClient* m_client;
  Cancellation* m_cancellation;
  std::unique_ptr<HttpConnection> m_connection;
  unsigned m_status = 0;
  HttpHeaders m_headers;
  bool m_isFirstOnConnection = false;
  HttpConnectionNumber m_connectionNumber;
  std::size_t m_earlierRequests = 0;
  bool m_endsWithConnection = false;
  bool m_complete = false;
};

/// Sends HTTP/1.1 requests over pooled connections, without pipelining. It never
/// retries a request by itself.
class HttpClient
{
public:
  static constexpr Bytes kDefaultBodyLimit{ 8 * 1024 * 1024 };

  HttpClient(EventLoop& aLoop, HttpClientLimits aLimits);
  ~HttpClient();

  /// Sends a request and waits for the head of its response. Fails with TimedOut if
  /// the head does not arrive within the timeout. A cancellation, if given, aborts
  /// the connection when cancelled before the response is complete; it must outlive
  /// the reply.
  boost::asio::awaitable<tl::expected<HttpReply, HttpFailure>> Send(
    Endpoint aEndpoint, HttpRequest aRequest, Duration aHeadTimeout,
    Cancellation* aCancellation = nullptr);
  boost::asio::awaitable<tl::expected<HttpReply, HttpFailure>> Send(Endpoint aEndpoint,
                                                                    HttpRequest aRequest,
                                                                    HttpSendOptions aOptions);

  /// Sends a request and reads the complete response, whose body may have at most
  /// the given size, within the timeout.
  boost::asio::awaitable<tl::expected<HttpResponse, HttpFailure>> Fetch(
    Endpoint aEndpoint, HttpRequest aRequest, Duration aTimeout,
    Bytes aBodyLimit = kDefaultBodyLimit);
  /// The same with options, whose timeout applies to the complete response.
  boost::asio::awaitable<tl::expected<HttpResponse, HttpFailure>> Fetch(
    Endpoint aEndpoint, HttpRequest aRequest, HttpSendOptions aOptions,
    Bytes aBodyLimit = kDefaultBodyLimit);

  /// Closes the idle connections to an endpoint, for use after one of them was
  /// found unresponsive.
  void CloseIdle(Endpoint const& aEndpoint);
  /// Closes the idle connections that their peers have closed or sent something on, and
  /// those that were idle for too long. To be called from time to time: nothing else
  /// closes the connections to an endpoint that no request is sent to.
  void SweepIdle(Instant aNow);
  std::size_t IdleConnections(Endpoint const& aEndpoint) const;
  std::size_t IdleConnections() const;

private:
  friend class HttpReply;
  struct Idle;
  using OpenResult = tl::expected<std::unique_ptr<HttpConnection>, HttpFailure>;

  /// Returns a connection on which a request may be sent without further delay. A
  /// kept connection with unsolicited input is replaced, at the last moment before
  /// the request is sent, since the input would be taken for the response.
  boost::asio::awaitable<OpenResult> Open(Endpoint aEndpoint, HttpSendOptions const& aOptions);
  boost::asio::awaitable<OpenResult> Connect(Endpoint aEndpoint, HttpSendOptions const& aOptions,
                                             Instant aEnd);
  /// Returns why the request is no longer to be sent, if so, and keeps the unused
  /// connection for another one.
  std::optional<HttpFailure> CheckBeforeSending(std::unique_ptr<HttpConnection>& aConnection,
                                                HttpSendOptions const& aOptions, Instant aEnd);
  std::unique_ptr<HttpConnection> TakeIdle(Endpoint const& aEndpoint,
                                           HttpSendOptions const& aOptions);
  /// Returns an idle connection, probed if it was idle for long, or null. If the
  /// probe fails, all idle connections to the endpoint are closed.
  boost::asio::awaitable<std::unique_ptr<HttpConnection>> TakeProbed(
    Endpoint const& aEndpoint, HttpSendOptions const& aOptions);
  void Return(std::unique_ptr<HttpConnection> aConnection);
  /// Keeps a connection on which nothing was sent since it was taken. It stays idle since
  /// the time before.
  void ReturnUnused(std::unique_ptr<HttpConnection> aConnection);

  EventLoop& m_loop;
  HttpClientLimits m_limits;
  std::uint64_t m_connections = 0;
  std::unique_ptr<Idle> m_idle;
};

} // namespace sardinefold::base
