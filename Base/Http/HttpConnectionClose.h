#pragma once

#include "Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sardinefold::base {

/// Why a connection of an HttpServer ended.
enum class HttpCloseReason
{
  /// The peer closed or reset the connection, or did not read its response.
  PeerClosed,
  /// No request arrived within the idle time-out.
  IdleLimit,
  /// The server drains.
  Drain,
  /// The response announced the close.
  AfterResponse,
  /// A request could not be read completely; a refusal was sent.
  RequestRefused,
  /// A request was read and its response was not sent completely.
  ResponseIncomplete,
  /// The server is over its connection limit, or the process has no room.
  ConnectionLimit,
  /// Others needed its room.
  Cut
};

constexpr std::string_view ToText(HttpCloseReason aReason)
{
  switch (aReason) {
    case HttpCloseReason::PeerClosed:
      return "peer closed";
    case HttpCloseReason::IdleLimit:
      return "idle limit";
    case HttpCloseReason::Drain:
      return "drain";
    case HttpCloseReason::AfterResponse:
      return "after response";
    case HttpCloseReason::RequestRefused:
      return "request refused";
    case HttpCloseReason::ResponseIncomplete:
      return "response incomplete";
    case HttpCloseReason::ConnectionLimit:
      return "connection limit";
    case HttpCloseReason::Cut:
      return "cut";
  }
  return "unknown";
}

/// The end of one connection of an HttpServer.
struct HttpConnectionClose
{
  HttpCloseReason m_reason = HttpCloseReason::PeerClosed;
  /// The connection's sequence number; 0 if the connection was not served.
  std::uint64_t m_connection = 0;
  /// Requests that were read completely.
  std::uint64_t m_requests = 0;
  /// Time since the connection last began to wait for a request.
  Duration m_sinceWait{};
  /// Bytes that were received and belong to no request that was served.
  std::size_t m_pendingBytes = 0;

  /// Whether a peer may miss a response.
  bool IsSuspect() const
  {
    return m_reason == HttpCloseReason::ResponseIncomplete ||
           (m_pendingBytes > 0 && m_reason != HttpCloseReason::PeerClosed);
  }
};

} // namespace sardinefold::base
