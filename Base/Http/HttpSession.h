#pragma once

#include "Base/Http/HttpBudgetShare.h"
#include "Base/Http/HttpRequestParser.h"
#include "Base/Http/HttpServer.h"
#include "Base/Http/IdleWait.h"
#include "Base/Http/ReadDeadline.h"
#include "Base/Http/TransferCoding.h"
#include "Base/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <new>
#include <optional>
#include <string>

namespace sardinefold::base {

namespace detail {

inline constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

/// The budget of the process has no room for the request.
inline boost::system::error_code const kNoRoom =
  boost::system::errc::make_error_code(boost::system::errc::not_enough_memory);

HttpRequestError ToRequestError(boost::system::error_code aError);
bool IsPeerClosed(boost::asio::ip::tcp::socket& aSocket);
bool HasInput(boost::asio::ip::tcp::socket& aSocket);
/// Whether the stream holds input that it has taken from its socket.
inline bool HasDecryptedInput(boost::beast::tcp_stream&)
{
  return false;
}
bool HasDecryptedInput(HttpExchange::TlsStream& aStream);
HttpRequest ToRequest(boost::beast::http::request<HttpRequestBody>& aMessage);

} // namespace detail

/// Reads and serves the requests of one connection, one after the other.
template<typename Stream>
class HttpServer::Session
{
public:
  Session(HttpServer& aServer, Stream& aStream, HttpBudgetShare& aShare)
    : m_server(aServer)
    , m_stream(aStream)
    , m_share(aShare)
    , m_number(++aServer.m_accepted)
  {
  }

  /// Serves the connection. Returns whether it may end in order, which completes a body that ends
  /// with its connection.
  boost::asio::awaitable<bool> Run()
  {
    m_share.OnCut([this] { Cut(); });
    co_await ServeAll();
    ReportClose();
    co_await StopWatching();
    m_share.OnCut([] {});
    co_return !m_isEndOfBodyPending;
  }

private:
  using Parser = detail::HttpRequestParser;

  /// Ends the connection, as others need its room. A request that is being read is still
  /// refused with a response.
  void Cut()
  {
    m_isCut = true;
    if (m_idleWait) {
      m_idleWait->Cancel();
    } else if (m_parser) {
      std::string().swap(m_parser->get().body());
      if (m_read) {
        m_read->Expire();
      }
    } else {
      boost::system::error_code ignored;
      Socket().close(ignored);
    }
  }

  /// Counts what the request holds. Returns false if there is no room for it.
  bool HoldRequest()
  {
    // The parser holds a head twice: as it came, and as fields.
    auto const head = m_parser ? 2 * m_headBytes + m_parser->FieldCount() * kFieldBytes : 0;
    auto const body = m_parser ? m_parser->get().body().capacity() : 0;
    return m_share.HoldRequest(Bytes(static_cast<std::int64_t>(m_buffer.capacity() + head + body)));
  }

  void ReportClose()
  {
    boost::system::error_code ignored;
    HttpConnectionClose close;
    close.m_reason = m_closeReason;
    close.m_connection = m_number;
    close.m_requests = m_requests;
    close.m_sinceWait = m_server.m_loop.Now() - m_waitBegan;
    close.m_pendingBytes = m_buffer.size() + Socket().available(ignored);
    m_server.ReportClose(close);
  }

  boost::asio::awaitable<void> ServeAll()
  {
    while (true) {
      bool const hasNext = co_await HasNextRequest();
      if (!hasNext) {
        co_return;
      }
      // A drain also waits for a request that is being read.
      detail::CountGuard const guard(m_server.m_counts, &HttpServerCounts::m_exchanges);
      auto request = co_await ReadRequest();
      if (!request) {
        co_return;
      }
      bool const isReusable = co_await Serve(std::move(*request));
      HoldRequest();
      if (!isReusable) {
        bool const isFinished = m_closeReason == HttpCloseReason::AfterResponse;
        if (isFinished && detail::HasInput(Socket())) {
          // Closing with unread input would reset the connection and may discard the
          // end of the response.
          co_await Linger();
        }
        co_return;
      }
    }
  }

  boost::asio::ip::tcp::socket& Socket()
  {
    return boost::beast::get_lowest_layer(m_stream).socket();
  }

  /// Whether bytes of a next request have arrived.
  bool HasPendingInput()
  {
    return m_buffer.size() > 0 || detail::HasDecryptedInput(m_stream) || detail::HasInput(Socket());
  }

  /// Waits for a next request. A connection closes only after a last look whether one
  /// has begun to arrive, whichever ended the wait.
  boost::asio::awaitable<bool> HasNextRequest()
  {
    m_waitBegan = m_server.m_loop.Now();
    m_closeReason = HttpCloseReason::PeerClosed;
    m_isCut = false;
    if (m_buffer.size() > 0) {
      co_return true;
    }
    // A response that began before the drain did not announce the close.
    bool const mayFollow = m_server.m_draining && m_requests > 0;
    if (!m_server.m_draining || mayFollow) {
      bool const isCancelled =
        co_await WaitForInput(mayFollow ? m_lastRequestLimit : m_server.m_idleLimit);
      if (!isCancelled) {
        co_return m_buffer.size() > 0;
      }
    }
    if (HasPendingInput()) {
      co_return true;
    }
    m_closeReason = m_server.m_draining ? HttpCloseReason::Drain : HttpCloseReason::IdleLimit;
    if (m_isCut) {
      m_closeReason = HttpCloseReason::Cut;
    }
    co_return false;
  }

  /// Returns whether the wait was cancelled. The connection is listed as idle meanwhile,
  /// so that Drain() can cancel the wait.
  boost::asio::awaitable<bool> WaitForInput(IdleLimit const& aLimit)
  {
    boost::beast::get_lowest_layer(m_stream).expires_never();
    m_share.SetActivity(m_requests > 0 ? HttpActivity::Idle : HttpActivity::Silent);
    IdleWait wait(m_server.m_loop, Socket(), aLimit);
    m_idleWait = &wait;
    auto const position = m_server.m_idle.insert(m_server.m_idle.end(), &wait);
    auto const prepared = m_buffer.prepare(4096);
    auto const [error, size] = co_await m_stream.async_read_some(prepared, detail::kAwait);
    m_buffer.commit(size);
    m_idleWait = nullptr;
    co_await wait.Stop();
    // Nothing suspends the session between here and the count of its exchange, so that
    // a drain always finds it in one of the two.
    m_server.m_idle.erase(position);
    co_return error == boost::asio::error::operation_aborted;
  }

  boost::asio::awaitable<std::optional<HttpRequest>> ReadRequest()
  {
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_server.m_limits.m_headerBytes.Value()));
    m_parser->body_limit(static_cast<std::uint64_t>(m_server.m_limits.m_bodyBytes.Value()));
    auto const headerError = co_await ReadHead();
    if (headerError || m_isCut) {
      co_await Reject(headerError ? headerError : detail::kNoRoom);
      co_return std::nullopt;
    }
    m_share.SetActivity(HttpActivity::ReadingBody);
    if (ExpectsContinue()) {
      boost::beast::http::response<boost::beast::http::empty_body> continueResponse{
        boost::beast::http::status::continue_, 11
      };
      auto const [writeError, written] =
        co_await boost::beast::http::async_write(m_stream, continueResponse, detail::kAwait);
      if (writeError) {
        co_return std::nullopt;
      }
    }
    m_parser->eager(true);
    auto const readBody = [this] { return ReadUntil(&Parser::is_done); };
    auto const bodyError = co_await ReadWithin(m_server.m_limits.m_bodyTimeout, readBody);
    if (bodyError || m_isCut || !m_share.Serve()) {
      co_await Reject(bodyError ? bodyError : detail::kNoRoom);
      co_return std::nullopt;
    }
    m_keepAlive = m_parser->get().keep_alive();
    m_mayChunk = m_parser->get().version() >= kVersion11;
    std::optional<HttpRequest> request(detail::ToRequest(m_parser->get()));
    m_parser.reset();
    co_return request;
  }

  /// Whether the peer waits for an interim response, which HTTP/1.0 does not know: it would
  /// take one for the final response.
  bool ExpectsContinue() const
  {
    auto const& head = m_parser->get();
    return head.version() >= kVersion11 &&
           boost::beast::iequals(head[boost::beast::http::field::expect], "100-continue");
  }

  boost::asio::awaitable<boost::system::error_code> ReadHead()
  {
    m_headBytes = 0;
    m_isCut = false;
    m_share.SetActivity(HttpActivity::ReadingHead);
    boost::beast::get_lowest_layer(m_stream).expires_never();
    auto const readHead = [this] { return ReadUntil(&Parser::is_header_done); };
    auto const error = co_await ReadWithin(m_server.m_limits.m_headerTimeout, readHead);
    if (error || detail::HasSupportedTransferCoding(m_parser->get())) {
      co_return error;
    }
    co_return boost::beast::http::error::bad_transfer_encoding;
  }

  /// Reads until the parser has the part, or there is no room for more. The parser keeps
  /// what it has, so that another call goes on.
  boost::asio::awaitable<boost::system::error_code> ReadUntil(bool (Parser::*aHasPart)() const)
  {
    constexpr std::size_t kLeastReadBytes = 512;
    boost::system::error_code error;
    while (true) {
      if (m_buffer.size() > 0 && !((*m_parser).*aHasPart)()) {
        bool const isHead = !m_parser->is_header_done();
        auto const used = m_parser->put(m_buffer.data(), error);
        m_buffer.consume(used);
        m_headBytes += isHead ? used : 0;
        if (error && error != boost::beast::http::error::need_more) {
          co_return error;
        }
      }
      if (m_isCut || !HoldRequest()) {
        co_return detail::kNoRoom;
      }
      if (((*m_parser).*aHasPart)()) {
        co_return boost::system::error_code();
      }
      auto const room = m_buffer.max_size() - m_buffer.size();
      if (room == 0) {
        co_return boost::beast::http::error::buffer_overflow;
      }
      auto const free = m_buffer.capacity() - m_buffer.size();
      auto const prepared = m_buffer.prepare(std::min(std::max(free, kLeastReadBytes), room));
      auto const [readError, size] = co_await m_stream.async_read_some(prepared, detail::kAwait);
      m_buffer.commit(size);
      if (readError == boost::asio::error::eof && m_parser->got_some()) {
        m_parser->put_eof(error);
        co_return error ? error : boost::beast::http::error::partial_message;
      }
      if (readError) {
        co_return readError == boost::asio::error::eof ? boost::beast::http::error::end_of_stream
                                                       : readError;
      }
    }
  }

  /// Reads a part of a request. At the deadline, input that has arrived is still read.
  template<typename Read>
  boost::asio::awaitable<boost::system::error_code> ReadWithin(Duration aTimeout, Read const& aRead)
  {
    constexpr Duration kLastLook = std::chrono::milliseconds(10);
    ReadDeadline deadline(Socket());
    deadline.Start(m_server.m_areReadsEnded ? kLastLook : aTimeout);
    m_read = &deadline;
    auto const position = m_server.m_reads.insert(m_server.m_reads.end(), &deadline);
    boost::system::error_code error = co_await aRead();
    m_server.m_reads.erase(position);
    m_read = nullptr;
    bool isLate = co_await deadline.Stop();
    if (m_isCut) {
      co_return detail::kNoRoom;
    }
    if (error && isLate && HasPendingInput()) {
      deadline.Start(kLastLook);
      error = co_await aRead();
      isLate = co_await deadline.Stop();
    }
    co_return error&& isLate ? boost::beast::error::timeout : error;
  }

  boost::asio::awaitable<void> Reject(boost::system::error_code aError)
  {
    if (aError == boost::beast::http::error::end_of_stream ||
        aError == boost::asio::error::connection_reset ||
        aError == boost::asio::error::operation_aborted || aError == boost::asio::error::eof) {
      co_return;
    }
    m_closeReason = m_isCut ? HttpCloseReason::Cut : HttpCloseReason::RequestRefused;
    ReleaseRequest();
    m_share.SetActivity(HttpActivity::Lingering);
    auto response = m_server.m_errorRenderer(detail::ToRequestError(aError));
    HttpRequest noRequest;
    HttpExchange exchange(&m_stream, std::move(noRequest), false, true,
                          m_server.m_limits.m_writeTimeout);
    exchange.UseBudget(m_share);
    co_await exchange.Respond(std::move(response));
    co_await Linger();
  }

  void ReleaseRequest()
  {
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    HoldRequest();
  }

  /// Performs a lingering close: reads for up to 2 s before closing, so that a peer
  /// that is still sending receives the response and not a reset. A peer that sends
  /// without end is no longer read from after kMaximumLingerBytes.
  boost::asio::awaitable<void> Linger()
  {
    detail::CountGuard const guard(m_server.m_counts, &HttpServerCounts::m_lingering);
    constexpr Duration kLingerTime = std::chrono::seconds(2);
    m_share.SetActivity(HttpActivity::Lingering);
    auto& lowest = boost::beast::get_lowest_layer(m_stream);
    boost::system::error_code ignored;
    lowest.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    auto const end = m_server.m_loop.Now() + kLingerTime;
    lowest.expires_after(kLingerTime);
    for (std::size_t total = 0; total < kMaximumLingerBytes;) {
      auto const [error, size] =
        co_await lowest.async_read_some(boost::asio::buffer(m_server.m_discarded), detail::kAwait);
      if (error) {
        co_return;
      }
      total += size;
    }
    co_await m_server.m_loop.Sleep(end - m_server.m_loop.Now());
  }

  boost::asio::awaitable<bool> Serve(HttpRequest aRequest)
  {
    ++m_requests;
    // A peer that sends requests ahead would keep its room from others without end.
    bool const mustYield = m_buffer.size() > 0 && m_share.IsRoomShort();
    bool const keepAlive =
      m_keepAlive && !m_server.m_draining && !m_server.m_isClosing && !mustYield;
    HttpExchange exchange(&m_stream, std::move(aRequest), keepAlive, m_mayChunk,
                          m_server.m_limits.m_writeTimeout);
    exchange.SetConnectionNumber(m_number);
    exchange.UseBudget(m_share);
    m_current = &exchange;
    auto const position = m_server.m_open.insert(m_server.m_open.end(), &exchange);
    WatchPeer();
    // The state of the loop is unknown once memory has run out; that ends the program.
    std::optional<std::string> failure;
    try {
      co_await m_server.m_handler(exchange);
    } catch (std::bad_alloc const&) {
      throw;
    } catch (std::exception const& error) {
      failure = error.what();
    }
    m_current = nullptr;
    m_server.m_open.erase(position);
    if (m_buffer.size() == 0 && m_buffer.capacity() > kKeptBufferBytes) {
      m_buffer.shrink_to_fit();
    }
    exchange.OnPeerDisconnected(nullptr);
    if (failure) {
      co_await FailExchange(exchange, *failure);
    }
    if (m_isCut) {
      m_closeReason = HttpCloseReason::Cut;
    } else if (exchange.IsPeerDisconnected()) {
      m_closeReason = HttpCloseReason::PeerClosed;
    } else {
      m_closeReason = exchange.HasFinished() ? HttpCloseReason::AfterResponse
                                             : HttpCloseReason::ResponseIncomplete;
    }
    m_isEndOfBodyPending = exchange.IsEndOfBodyPending();
    co_return exchange.IsReusable();
  }

  /// Ends an exchange whose handler has thrown an exception.
  boost::asio::awaitable<void> FailExchange(HttpExchange& aExchange, std::string const& aFailure)
  {
    log::Error("request handler failed", { { "connection", std::to_string(m_number) },
                                           { "started", aExchange.HasStarted() ? "true" : "false" },
                                           { "error", aFailure } });
    aExchange.CloseAfterResponse();
    if (!aExchange.HasStarted()) {
      auto response = m_server.m_errorRenderer({ 500, "internal error" });
      co_await aExchange.Respond(std::move(response));
    }
  }

  /// Keeps one wait for input pending while a request is served, to detect that the
  /// peer closes the connection. The wait may outlast the request; it then ends with
  /// the next input.
  void WatchPeer()
  {
    if (m_watching) {
      return;
    }
    m_watching = true;
    Socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [this](boost::system::error_code aError) {
                          m_watching = false;
                          m_watchEnded.cancel();
                          if (aError || !m_current) {
                            return;
                          }
                          if (detail::IsPeerClosed(Socket())) {
                            m_current->HandlePeerDisconnected();
                          } else if (!detail::HasInput(Socket())) {
                            WatchPeer();
                          }
                          // NOTE: A pipelined request hides a later close from this check;
                          // the next write then detects the close.
                        });
  }

  /// The pending wait refers to the session, so it has to end before the session is
  /// destroyed.
  boost::asio::awaitable<void> StopWatching()
  {
    while (m_watching) {
      boost::system::error_code ignored;
      Socket().cancel(ignored);
      m_watchEnded.expires_after(std::chrono::seconds(1));
      co_await m_watchEnded.async_wait(detail::kAwait);
    }
  }

  HttpServer& m_server;
  Stream& m_stream;
  HttpBudgetShare& m_share;
  std::uint64_t m_number;
  /// Limits each part that the parser needs in one piece, such as a chunk extension,
  /// and the data that a caller sends ahead.
  static constexpr std::size_t kMaximumBufferedBytes = 256UL * 1024;
  /// An empty buffer above this size is released.
  static constexpr std::size_t kKeptBufferBytes = 16UL * 1024;
  /// What a field takes besides its text: a node of the parser, which may hold memory that is not
  /// reused, and a field each of the request and of the one that is sent to an upstream.
  static constexpr std::size_t kFieldBytes = 4 * sizeof(HttpHeaders::Field);
  /// HTTP/1.1 as the parser counts versions.
  static constexpr unsigned kVersion11 = 11;
  static constexpr std::size_t kMaximumLingerBytes = 16UL * 1024 * 1024;
  boost::beast::flat_buffer m_buffer{ kMaximumBufferedBytes };
  std::optional<Parser> m_parser;
  std::size_t m_headBytes = 0;
  IdleWait* m_idleWait = nullptr;
  ReadDeadline* m_read = nullptr;
  bool m_isCut = false;
  boost::asio::steady_timer m_watchEnded{ m_server.m_loop.Context() };
  /// How long a draining connection waits for a request that follows a response: some
  /// round trips.
  IdleLimit m_lastRequestLimit{ std::chrono::milliseconds(100) };
  HttpCloseReason m_closeReason = HttpCloseReason::PeerClosed;
  Instant m_waitBegan{};
  std::uint64_t m_requests = 0;
  bool m_keepAlive = false;
  bool m_mayChunk = true;
  bool m_isEndOfBodyPending = false;
  HttpExchange* m_current = nullptr;
  bool m_watching = false;
};

} // namespace sardinefold::base
