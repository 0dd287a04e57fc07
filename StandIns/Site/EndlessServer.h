#pragma once

#include "Base/Endpoint.h"
#include "Base/EventLoop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <string>

namespace sardinefold::standins {

/// What of an answer has no end.
enum class EndlessPart
{
  InterimResponses,
  Head,
  /// A body that the head frames as stated, of the given status.
  ChunkedBody,
  UnframedBody,
  ChunkExtension,
  Trailer,
  /// The body of an answer to another request, before the one that is awaited.
  OtherResponse,
  /// One event of a stream.
  Event
};

struct EndlessResponse
{
  EndlessPart m_part = EndlessPart::ChunkedBody;
  unsigned m_status = 500;
  /// Fields of the head besides the framing, each with its line end.
  std::string m_fields;
  /// Pause between pieces; with none they follow as fast as they are read.
  base::Duration m_interval{};
  std::size_t m_fragmentBytes = 64UL * 1024;
};

/// A faulty upstream: reads a request and answers until its peer closes.
class EndlessServer
{
public:
  EndlessServer(base::EventLoop& aLoop, EndlessResponse aResponse);

  tl::expected<void, std::string> Listen(base::Endpoint const& aAddress);

  std::size_t Requests() const { return m_requests; }
  /// Connections that it still answers on.
  std::size_t Open() const { return m_open; }
  std::size_t BytesWritten() const { return m_bytesWritten; }

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Respond(boost::asio::ip::tcp::socket aSocket);
  /// Echoes the request's id, unless the answer is to another request.
  std::string Head(std::string const& aRequest) const;
  std::string Fragment() const;

  base::EventLoop& m_loop;
  EndlessResponse m_response;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::size_t m_requests = 0;
  std::size_t m_open = 0;
  std::size_t m_bytesWritten = 0;
};

} // namespace sardinefold::standins
