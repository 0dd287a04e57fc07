#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinefold::base {

/// State of the write of a request.
struct HttpWriteState
{
  /// Whether the complete request was written. The response may arrive before that.
  bool m_isDone = false;
  boost::system::error_code m_error;
};

/// A client's connection with the parser of the response that is being received.
struct HttpConnection
{
  /// aBufferLimit limits each part that the parser needs in one piece: a head, a chunk
  /// header or a trailer.
  HttpConnection(boost::asio::io_context& aContext, Endpoint aEndpoint, Bytes aBufferLimit)
    : m_stream(std::make_shared<boost::beast::tcp_stream>(aContext))
    , m_buffer(static_cast<std::size_t>(aBufferLimit.Value()))
    , m_endpoint(std::move(aEndpoint))
  {
  }
  ~HttpConnection() { m_stream->close(); }
  HttpConnection(HttpConnection const&) = delete;
  HttpConnection& operator=(HttpConnection const&) = delete;

  // Shared with the write of a request, whose next step uses the stream if its last one ended
  // before the connection was destroyed.
  std::shared_ptr<boost::beast::tcp_stream> m_stream;
  boost::beast::flat_buffer m_buffer;
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
  Endpoint m_endpoint;
  HttpConnectionNumber m_number;
  /// Requests that were sent on the connection.
  std::size_t m_requests = 0;
  /// Digests of the values that the responses to those requests echo.
  std::vector<std::uint64_t> m_echoes;
  /// Whether the connection is closed after its first response.
  bool m_isExclusive = false;
  Instant m_idleSince{};
  /// The server's own idle timeout, if the response stated one.
  std::optional<Duration> m_serverIdleTimeout;
  /// Whether a final response has been received on this connection.
  bool m_hasResponded = false;
  /// Whether the response may belong to another request. The connection is then not
  /// reused, since the response to this request may still follow.
  bool m_isResponseUnidentified = false;
  // Shared with the write's handler, which may run after the connection is destroyed.
  std::shared_ptr<HttpWriteState> m_write = std::make_shared<HttpWriteState>();
};

/// Maximum number of bytes of a body per read.
inline constexpr std::size_t kHttpReadBytes = 16UL * 1024;

/// Connects within the timeout. With an acknowledgement timeout, the operating
/// system closes the connection if its peer acknowledges nothing for that long.
boost::asio::awaitable<boost::system::error_code> Connect(
  HttpConnection& aConnection, Duration aTimeout, std::optional<Duration> aAcknowledgeTimeout);

/// What a connection on which no response is awaited has received.
enum class HttpIdleInput
{
  None,
  Closed,
  /// Bytes that belong to no request, such as a second response to the last one.
  Unsolicited
};

HttpIdleInput CheckIdleInput(HttpConnection& aConnection);

/// Returns those of the idle connections that have received something or were closed by
/// their peers, with one call to the operating system.
std::set<HttpConnection const*> FindUnusable(
  std::list<std::unique_ptr<HttpConnection>> const& aConnections);

/// Sends the probe and returns whether a complete final response arrives within its timeout.
boost::asio::awaitable<bool> Probe(EventLoop const& aLoop, HttpConnection& aConnection,
                                   HttpProbe const& aProbe, Bytes aHeaderLimit);

/// Starts to write a request without waiting for the end of the write, since a
/// server may respond before it has read a long body.
void StartWriting(HttpConnection& aConnection, std::string aHead,
                  std::shared_ptr<std::string const> aBody);

/// Returns the error that has ended the connection if the write of the request has received it,
/// or else no error. The operating system reports such an error to one operation only, and to the
/// others an end like that of an orderly close.
boost::system::error_code ErrorOfWrite(HttpConnection const& aConnection);

/// Reads the head of the final response. Interim responses are skipped, as are
/// responses that echo another value of the given field, which belong to earlier
/// requests. Both are limited in number and size, and skipping ends by aEnd. A
/// response without the field is returned and marked as unidentified.
boost::asio::awaitable<boost::system::error_code> ReadHead(
  EventLoop const& aLoop, HttpConnection& aConnection, bool aIsHead, Bytes aHeaderLimit,
  Instant aEnd, std::optional<HttpHeaders::Field> const& aEcho);

/// Resets the connection and discards unsent data, so that an abandoned request
/// does not arrive after a network partition has ended.
void Abort(HttpConnection& aConnection);

} // namespace sardinefold::base
