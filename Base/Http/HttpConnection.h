#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace sardinefold::base {

/// How the write of a request went.
struct HttpWriteState
{
  /// Whether the whole request was written; a response may come before that.
  bool m_isDone = false;
  boost::system::error_code m_error;
};

/// A client's connection with the parser of the response that is arriving on it.
struct HttpConnection
{
  HttpConnection(boost::asio::io_context& aContext, Endpoint aEndpoint)
    : m_stream(aContext)
    , m_endpoint(std::move(aEndpoint))
  {
  }

  /// Bounds what the parser waits for as a whole: a head, a chunk's head, a
  /// trailer.
  static constexpr std::size_t kMaximumBufferedBytes = 64UL * 1024;

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer{ kMaximumBufferedBytes };
  std::optional<boost::beast::http::response_parser<boost::beast::http::buffer_body>> m_parser;
  Endpoint m_endpoint;
  Instant m_idleSince{};
  /// The server's own idle limit, if it told one.
  std::optional<Duration> m_serverIdleTimeout;
  // Shared with the write's handler, which may run after the connection ended.
  std::shared_ptr<HttpWriteState> m_write = std::make_shared<HttpWriteState>();
};

/// Bytes of a body that are read at a time.
inline constexpr std::size_t kHttpReadBytes = 16UL * 1024;

/// Connects, and makes the system close the connection when its peer
/// acknowledges nothing for the given time, if any.
boost::asio::awaitable<boost::system::error_code> Connect(
  HttpConnection& aConnection, Duration aTimeout, std::optional<Duration> aAcknowledgeTimeout);

/// Whether an idle connection may be used again.
bool IsStillOpen(HttpConnection& aConnection);

/// Whether the connection answers the probe in time.
boost::asio::awaitable<bool> Probe(HttpConnection& aConnection, HttpProbe const& aProbe);

/// Writes a request while its response is awaited, since a server may answer
/// before it has read a long body.
void StartWriting(HttpConnection& aConnection, std::string aMessage);

/// Reads heads until the response's own: interim responses and those that do
/// not carry the given field answer something else. All of it ends by aEnd and
/// is bounded in bytes.
boost::asio::awaitable<boost::system::error_code> ReadHead(
  EventLoop const& aLoop, HttpConnection& aConnection, bool aIsHead, Bytes aHeaderLimit,
  Instant aEnd, std::optional<HttpHeaders::Field> const& aEcho);

/// Closes a connection so that what is still on its way is lost: a request that
/// nobody waits for any more must not arrive after a partition has healed.
void Abort(HttpConnection& aConnection);

} // namespace sardinefold::base
