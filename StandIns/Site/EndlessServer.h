#pragma once

#include "Base/Endpoint.h"
#include "Base/EventLoop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <string>

namespace sardinefold::standins {

/// The part of a response that never ends.
enum class EndlessPart
{
  InterimResponses,
  Head,
  /// A body in chunked transfer coding.
  ChunkedBody,
  /// A body without a length, which only the end of the connection ends.
  UnframedBody,
  ChunkExtension,
  Trailer,
  /// The body of a response to another request.
  OtherResponse,
  /// A single event of a stream.
  Event,
  /// Events of line ends only.
  EmptyEvents
};

struct EndlessResponse
{
  EndlessPart m_part = EndlessPart::ChunkedBody;
  unsigned m_status = 500;
  /// Header lines besides those of the framing, each with its line end.
  std::string m_fields;
  /// Pause between fragments; with zero they are sent as fast as they are read.
  base::Duration m_interval{};
  std::size_t m_fragmentBytes = 64UL * 1024;
  /// Whether the connection is closed after the head.
  bool m_endsAfterHead = false;
};

/// Faulty upstream that reads a request and responds until its peer closes the
/// connection.
class EndlessServer
{
public:
  EndlessServer(base::EventLoop& aLoop, EndlessResponse aResponse);

  tl::expected<void, std::string> Listen(base::Endpoint const& aAddress);

  std::size_t Requests() const { return m_requests; }
  /// Number of connections on which a response is still being sent.
  std::size_t Open() const { return m_open; }
  std::size_t BytesWritten() const { return m_bytesWritten; }

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Respond(boost::asio::ip::tcp::socket aSocket);
  /// Waits until the next fragment is due. Returns at once, and true, when the peer
  /// has closed the connection.
  boost::asio::awaitable<bool> WaitForClose(boost::asio::ip::tcp::socket& aSocket);
  /// Renders the start of the response. It echoes the request's id, unless it
  /// responds to another request.
  std::string Head(std::string const& aRequest) const;
  std::string Fragment() const;

  base::EventLoop& m_loop;
  EndlessResponse m_response;
  std::string m_fragment;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::size_t m_requests = 0;
  std::size_t m_open = 0;
  std::size_t m_bytesWritten = 0;
};

} // namespace sardinefold::standins
