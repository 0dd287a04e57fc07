#pragma once

#include "Base/Http/HttpBudgetShare.h"
#include "Base/Http/HttpMessage.h"
#include "Base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace sardinefold::base {

/// Error for a peer that closed the connection or stopped reading.
struct HttpPeerDisconnected
{
  std::string m_detail;
};

/// One request and the response to it, on a connection of an HttpServer.
class HttpExchange
{
public:
  using TlsStream = boost::asio::ssl::stream<boost::beast::tcp_stream>;
  using AnyStream = std::variant<boost::beast::tcp_stream*, TlsStream*>;
  using Result = tl::expected<void, HttpPeerDisconnected>;

  HttpExchange(AnyStream aStream, HttpRequest aRequest, bool aKeepAlive, bool aMayChunk,
               Duration aWriteTimeout);

  HttpRequest& Request() { return *m_request; }
  /// The request's body, which outlives the exchange for as long as it is held.
  std::shared_ptr<std::string const> SharedBody() const
  {
    return { m_request, &m_request->m_body };
  }
  /// Returns the connection's sequence number on its server, starting with 1.
  std::uint64_t ConnectionNumber() const { return m_connectionNumber; }
  void SetConnectionNumber(std::uint64_t aNumber) { m_connectionNumber = aNumber; }
  /// Returns the peer's IP address, or an empty text if it is not known.
  std::string PeerAddress() const;

  /// Counts the responses that are being written.
  void UseBudget(HttpBudgetShare& aShare) { m_share = &aShare; }

  /// Sends a complete response.
  boost::asio::awaitable<Result> Respond(HttpResponse aResponse);
  /// Sends the head of a response whose body follows by Write().
  boost::asio::awaitable<Result> StartStream(unsigned aStatus, HttpHeaders aHeaders);
  /// Sends a part of the body. Completes when the operating system has accepted it,
  /// so that a slow reader exerts back-pressure on the writer.
  boost::asio::awaitable<Result> Write(std::string_view aData);
  /// Ends a streamed body.
  boost::asio::awaitable<Result> Finish();

  /// Sets a callback that is called once if the peer disconnects while the request
  /// is being served. It is not called after the end of the response.
  void OnPeerDisconnected(std::function<void()> aCallback)
  {
    m_onPeerDisconnected = std::move(aCallback);
  }
  bool IsPeerDisconnected() const { return m_isPeerDisconnected; }
  void HandlePeerDisconnected();

  /// Returns whether a body that ends with its connection has been started and not finished, so
  /// that an orderly end of the connection would complete it.
  bool IsEndOfBodyPending() const { return m_isEndOfBodyPending; }
  bool HasStarted() const { return m_started; }
  bool HasFinished() const { return m_finished; }
  /// Returns whether the connection may carry another request.
  bool IsReusable() const { return m_keepAlive && m_finished && !m_isPeerDisconnected; }
  /// Closes the connection after the response of this exchange.
  void CloseAfterResponse() { m_keepAlive = false; }

private:
  using Buffers = std::array<boost::asio::const_buffer, 3>;

  boost::asio::awaitable<Result> WriteBuffers(Buffers aBuffers);
  boost::beast::tcp_stream& LowestLayer();
  Result Check(boost::system::error_code aError);
  /// Makes any close of the connection a reset, also by the operating system when the process
  /// ends, as long as the end of the body is pending.
  void SetEndOfBodyPending(bool aIsPending);
  /// Whether the response to the request has a body, which depends on its status.
  bool HasBody(unsigned aStatus) const;

  AnyStream m_stream;
  std::shared_ptr<HttpRequest> m_request;
  Duration m_writeTimeout;
  std::function<void()> m_onPeerDisconnected;
  std::uint64_t m_connectionNumber = 0;
  bool m_keepAlive;
  bool m_mayChunk;
  bool m_isHead;
  /// Whether the response that has been started has a body.
  bool m_hasBody = true;
  bool m_isEndOfBodyPending = false;
  bool m_started = false;
  bool m_finished = false;
  bool m_isPeerDisconnected = false;
  HttpBudgetShare* m_share = nullptr;
};

} // namespace sardinefold::base
