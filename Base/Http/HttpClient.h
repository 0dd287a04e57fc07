#pragma once

#include "Base/Cancellation.h"
#include "Base/EventLoop.h"
#include "Base/Http/HttpMessage.h"
#include "Base/Units.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sardinefold::base {

/// Why an exchange with a server gave no complete answer.
struct HttpFailure
{
  enum class Kind
  {
    ConnectFailed,
    TimedOut,
    ConnectionClosed,
    MalformedResponse,
    TooLarge,
    /// The answer named another request.
    MismatchedResponse,
    /// The sender no longer wanted it when the connection was ready.
    Withdrawn
  };

  Kind m_kind;
  /// False only if no byte of the request was given to a connection.
  bool m_mayHaveBeenSent;
  std::string m_detail;
  /// The host answered that no process listens there.
  bool m_isConnectionRefused = false;
};

std::string_view ToText(HttpFailure::Kind aKind);

/// A request that tells whether a connection still carries data. Something
/// between the two ends may have forgotten a connection, and then neither end
/// hears of it.
struct HttpProbe
{
  /// Any answer to a GET of this target will do.
  std::string m_target;
  /// Connections that were idle for longer are probed before they are used.
  Duration m_idleThreshold = std::chrono::seconds(1);
  Duration m_timeout = std::chrono::milliseconds(500);
};

struct HttpClientLimits
{
  Duration m_connectTimeout = std::chrono::seconds(1);
  /// An idle connection older than this is closed and not used again. Shorter
  /// than the servers' idle time, so that the two ends seldom race.
  Duration m_idleTimeout = std::chrono::seconds(20);
  std::size_t m_idlePerEndpoint = 64;
  /// At most 64 KB, as a connection reads no more ahead.
  Bytes m_headerBytes{ 32 * 1024 };
  std::optional<HttpProbe> m_probe;
  /// A connection whose peer acknowledges nothing for this long is closed, also
  /// while a response is awaited: it may have gone silent for good. Absent, only
  /// the limits of each request hold.
  std::optional<Duration> m_acknowledgeTimeout;
};

/// How one request is sent.
struct HttpSendOptions
{
  /// Longest wait for the head of the response, the connection's set-up included.
  Duration m_headTimeout;
  /// Closes the connection until the response has ended; outlives the reply.
  Cancellation* m_cancellation = nullptr;
  /// Connections that were idle for longer are left alone; zero always
  /// connects anew. Absent, the client's own limit holds.
  std::optional<Duration> m_maximumIdleTime;
  /// A field that the response echoes. Final responses that carry another
  /// value answer an earlier request: they are read and dropped.
  std::optional<HttpHeaders::Field> m_echo;
  /// Asked once a connection is ready, before the first byte is written.
  std::function<bool()> m_mayStillSend;
};

class HttpClient;
struct HttpConnection;

/// A response that is arriving. Destroying it before its end closes its
/// connection, which tells the server to stop.
class HttpReply
{
public:
  HttpReply(HttpReply&&) noexcept;
  HttpReply& operator=(HttpReply&&) noexcept;
  ~HttpReply();

  unsigned Status() const { return m_status; }
  HttpHeaders const& Headers() const { return m_headers; }

  /// The next bytes of the body as they arrive; empty at its end. Fails with
  /// TimedOut if nothing arrives for the given time, and with TooLarge if what
  /// arrives besides the body, such as a chunk's extension, is too long.
  /// NOTE: A body may go on for ever; whoever reads it bounds its size and its
  /// whole time.
  boost::asio::awaitable<tl::expected<std::string, HttpFailure>> Read(Duration aTimeout);
  /// Whether the body has been read to its end.
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
  bool m_complete = false;
};

/// Sends HTTP/1.1 requests over pooled connections, one request at a time on
/// each. It never repeats a request by itself.
class HttpClient
{
public:
  HttpClient(EventLoop& aLoop, HttpClientLimits aLimits);
  ~HttpClient();

  /// Sends a request and waits for the head of its response. Fails with
  /// TimedOut if the head does not arrive in the given time. A cancellation,
  /// if given, closes the connection until the response has ended; it has to
  /// outlive the reply.
  boost::asio::awaitable<tl::expected<HttpReply, HttpFailure>> Send(
    Endpoint aEndpoint, HttpRequest aRequest, Duration aHeadTimeout,
    Cancellation* aCancellation = nullptr);
  boost::asio::awaitable<tl::expected<HttpReply, HttpFailure>> Send(Endpoint aEndpoint,
                                                                    HttpRequest aRequest,
                                                                    HttpSendOptions aOptions);

  /// Sends a request and reads its whole response, of at most the given size,
  /// within the given time.
  boost::asio::awaitable<tl::expected<HttpResponse, HttpFailure>> Fetch(
    Endpoint aEndpoint, HttpRequest aRequest, Duration aTimeout,
    Bytes aBodyLimit = Bytes(8 * 1024 * 1024));

  /// Closes the idle connections to an endpoint, for when one of them was
  /// found silent.
  void CloseIdle(Endpoint const& aEndpoint);
  std::size_t IdleConnections(Endpoint const& aEndpoint) const;

private:
  friend class HttpReply;
  std::unique_ptr<HttpConnection> TakeIdle(Endpoint const& aEndpoint, Duration aMaximumIdleTime);
  /// An idle connection that is known to carry data. When one does not, all
  /// idle connections to its endpoint are closed.
  boost::asio::awaitable<std::unique_ptr<HttpConnection>> TakeProbed(Endpoint const& aEndpoint,
                                                                     Duration aMaximumIdleTime);
  void Return(std::unique_ptr<HttpConnection> aConnection);

  EventLoop& m_loop;
  HttpClientLimits m_limits;
  std::map<Endpoint, std::vector<std::unique_ptr<HttpConnection>>> m_idle;
};

} // namespace sardinefold::base
