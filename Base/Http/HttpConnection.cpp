#include "Base/Http/HttpConnection.h"

#include "Base/Http/HttpHead.h"
#include "Base/Http/TransferCoding.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

namespace sardinefold::base {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
/// Limits on the responses to earlier requests that precede a response, and on the
/// bytes of each body that is skipped.
constexpr int kMaximumSkippedResponses = 4;
constexpr std::size_t kMaximumSkippedBytes = 1024UL * 1024;
/// Servers usually send at most two interim responses.
constexpr int kMaximumInterimResponses = 16;

/// Sets a TCP option that Asio has no class for. Errors are ignored: without the
/// option, the timeouts of each request detect an unresponsive peer.
void SetTcpOption(tcp::socket& aSocket, int aName, int aValue)
{
  ::setsockopt(aSocket.native_handle(), IPPROTO_TCP, aName, &aValue, sizeof(aValue));
}

/// Makes the operating system close the connection when its peer acknowledges
/// neither data nor keep-alive probes for the given time.
void CloseWhenUnresponsive(tcp::socket& aSocket, Duration aAcknowledgeTimeout)
{
  // The shortest interval that the operating system supports.
  constexpr int kKeepAliveSeconds = 1;
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetTcpOption(aSocket, TCP_KEEPIDLE, kKeepAliveSeconds);
  SetTcpOption(aSocket, TCP_KEEPINTVL, kKeepAliveSeconds);
  SetTcpOption(aSocket, TCP_USER_TIMEOUT, static_cast<int>(ToMilliseconds(aAcknowledgeTimeout)));
}

/// Whether the status is one that RFC 9110, section 15, allows in a response to a request that
/// asks for no other protocol.
bool IsValidStatus(unsigned aStatus)
{
  constexpr unsigned kFirstStatus = 100;
  constexpr unsigned kLastStatus = 599;
  constexpr unsigned kSwitchingProtocols = 101;
  return aStatus >= kFirstStatus && aStatus <= kLastStatus && aStatus != kSwitchingProtocols;
}

/// Whether a line begins with whitespace and so continues the field before it, or hides a field
/// from those who unfold it (RFC 9112, section 5.2).
bool HasFoldedLine(std::string_view aHead)
{
  return aHead.find("\r\n ") != std::string_view::npos ||
         aHead.find("\r\n\t") != std::string_view::npos;
}

/// Reads the next bytes into the connection's buffer. An end fails like that of a message that
/// has begun.
asio::awaitable<boost::system::error_code> ReadSome(HttpConnection& aConnection)
{
  constexpr std::size_t kLeastReadBytes = 512;
  auto& buffer = aConnection.m_buffer;
  auto const room = buffer.max_size() - buffer.size();
  if (room == 0) {
    co_return http::error::buffer_overflow;
  }
  auto const free = buffer.capacity() - buffer.size();
  auto const prepared = buffer.prepare(std::min(std::max(free, kLeastReadBytes), room));
  auto const [error, size] = co_await aConnection.m_stream->async_read_some(prepared, kAwait);
  buffer.commit(size);
  if (error != asio::error::eof) {
    co_return error;
  }
  co_return aConnection.m_parser->got_some() ? http::error::partial_message
                                             : http::error::end_of_stream;
}

/// Reads one head. Folded lines are looked for in its bytes, as the parser unfolds them.
asio::awaitable<boost::system::error_code> ReadOneHead(HttpConnection& aConnection)
{
  auto& parser = *aConnection.m_parser;
  auto& buffer = aConnection.m_buffer;
  while (true) {
    if (buffer.size() > 0) {
      boost::system::error_code error;
      auto const* const head = static_cast<char const*>(buffer.data().data());
      auto const used = parser.put(buffer.data(), error);
      // The parser uses a field and all its lines at once, so that no two pieces share a fold.
      bool const isFolded = HasFoldedLine({ head, used });
      buffer.consume(used);
      if (error && error != http::error::need_more) {
        co_return error;
      }
      if (isFolded) {
        co_return http::error::bad_field;
      }
    }
    if (parser.is_header_done()) {
      co_return boost::system::error_code{};
    }
    auto const error = co_await ReadSome(aConnection);
    if (error) {
      co_return error;
    }
  }
}

enum class EchoMatch
{
  Same,
  Absent,
  Other
};

EchoMatch MatchEcho(HttpHeaders::Field const& aEcho,
                    http::response_parser<http::buffer_body> const& aParser)
{
  auto const found = aParser.get().find(aEcho.m_name);
  if (found == aParser.get().end()) {
    return EchoMatch::Absent;
  }
  return found->value() == std::string_view(aEcho.m_value) ? EchoMatch::Same : EchoMatch::Other;
}

/// Reads the rest of a response and discards it.
asio::awaitable<boost::system::error_code> SkipBody(EventLoop const& aLoop,
                                                    HttpConnection& aConnection, Instant aEnd)
{
  auto& parser = *aConnection.m_parser;
  std::array<char, kHttpReadBytes> storage;
  std::size_t skipped = 0;
  while (!parser.is_done()) {
    // The stream's own timer does not fire while reads complete immediately.
    if (aLoop.Now() >= aEnd) {
      co_return boost::beast::error::timeout;
    }
    if (skipped > kMaximumSkippedBytes) {
      co_return http::error::body_limit;
    }
    parser.get().body().data = storage.data();
    parser.get().body().size = storage.size();
    auto const [error, size] =
      co_await http::async_read_some(*aConnection.m_stream, aConnection.m_buffer, parser, kAwait);
    if (error && error != http::error::need_buffer) {
      co_return error;
    }
    skipped += storage.size() - parser.get().body().size;
  }
  if (!parser.keep_alive()) {
    co_return http::error::end_of_stream;
  }
  co_return boost::system::error_code{};
}

} // namespace

asio::awaitable<boost::system::error_code> Connect(HttpConnection& aConnection, Duration aTimeout,
                                                   std::optional<Duration> aAcknowledgeTimeout)
{
  boost::system::error_code error;
  tcp::endpoint const endpoint(asio::ip::make_address(aConnection.m_endpoint.m_address, error),
                               aConnection.m_endpoint.m_port);
  if (error) {
    co_return error;
  }
  aConnection.m_stream->expires_after(aTimeout);
  auto const [connectError] = co_await aConnection.m_stream->async_connect(endpoint, kAwait);
  if (!connectError) {
    boost::system::error_code ignored;
    aConnection.m_stream->socket().set_option(tcp::no_delay(true), ignored);
    if (aAcknowledgeTimeout) {
      CloseWhenUnresponsive(aConnection.m_stream->socket(), *aAcknowledgeTimeout);
    }
  }
  co_return connectError;
}

HttpIdleInput CheckIdleInput(HttpConnection& aConnection)
{
  if (aConnection.m_buffer.size() > 0) {
    return HttpIdleInput::Unsolicited;
  }
  char byte = 0;
  auto const received = ::recv(aConnection.m_stream->socket().native_handle(), &byte, sizeof(byte),
                               MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return HttpIdleInput::Unsolicited;
  }
  bool const isWaiting = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return isWaiting ? HttpIdleInput::None : HttpIdleInput::Closed;
}

std::set<HttpConnection const*> FindUnusable(
  std::list<std::unique_ptr<HttpConnection>> const& aConnections)
{
  std::vector<::pollfd> polled;
  std::vector<HttpConnection const*> connections;
  for (auto const& connection : aConnections) {
    polled.push_back({ connection->m_stream->socket().native_handle(), POLLIN, 0 });
    connections.push_back(connection.get());
  }
  std::set<HttpConnection const*> unusable;
  if (polled.empty() || ::poll(polled.data(), polled.size(), 0) <= 0) {
    return unusable;
  }
  for (std::size_t number = 0; number < polled.size(); ++number) {
    if (polled[number].revents != 0) {
      unusable.insert(connections[number]);
    }
  }
  return unusable;
}

asio::awaitable<bool> Probe(EventLoop const& aLoop, HttpConnection& aConnection,
                            HttpProbe const& aProbe, Bytes aHeaderLimit)
{
  HttpRequest request;
  request.m_target = aProbe.m_target;
  auto const head = RenderRequestHead(request, aConnection.m_endpoint, {});
  auto const end = aLoop.Now() + aProbe.m_timeout;
  aConnection.m_stream->expires_after(aProbe.m_timeout);
  auto const [writeError, written] =
    co_await asio::async_write(*aConnection.m_stream, asio::buffer(head), kAwait);
  if (writeError) {
    co_return false;
  }
  aConnection.m_hasResponded = true;
  auto const headError =
    co_await ReadHead(aLoop, aConnection, false, aHeaderLimit, end, std::nullopt);
  if (headError) {
    co_return false;
  }
  auto const bodyError = co_await SkipBody(aLoop, aConnection, end);
  co_return !bodyError;
}

void StartWriting(HttpConnection& aConnection, std::string aHead,
                  std::shared_ptr<std::string const> aBody)
{
  // The buffers have to live until the write's handler has run, which may be after
  // the connection was closed.
  auto const head = std::make_shared<std::string const>(std::move(aHead));
  std::array const buffers = { asio::buffer(*head), asio::buffer(*aBody) };
  *aConnection.m_write = {};
  asio::async_write(*aConnection.m_stream, buffers,
                    [head, body = std::move(aBody), stream = aConnection.m_stream,
                     state = aConnection.m_write](boost::system::error_code aError, std::size_t) {
                      *state = { !aError, aError };
                    });
}

boost::system::error_code ErrorOfWrite(HttpConnection const& aConnection)
{
  auto const& error = aConnection.m_write->m_error;
  // The peer had ended its side before it refused the rest of the request.
  bool const isAfterOrderlyClose = error == asio::error::broken_pipe;
  return isAfterOrderlyClose ? boost::system::error_code{} : error;
}

asio::awaitable<boost::system::error_code> ReadHead(EventLoop const& aLoop,
                                                    HttpConnection& aConnection, bool aIsHead,
                                                    Bytes aHeaderLimit, Instant aEnd,
                                                    std::optional<HttpHeaders::Field> const& aEcho)
{
  int interim = 0;
  for (int skipped = 0; skipped <= kMaximumSkippedResponses;) {
    auto& parser = aConnection.m_parser.emplace();
    parser.header_limit(static_cast<std::uint32_t>(aHeaderLimit.Value()));
    parser.body_limit(boost::none);
    parser.skip(aIsHead);
    auto const error = co_await ReadOneHead(aConnection);
    if (error) {
      co_return error;
    }
    if (!detail::HasSupportedTransferCoding(parser.get())) {
      co_return http::error::bad_transfer_encoding;
    }
    if (!IsValidStatus(parser.get().result_int())) {
      co_return http::error::bad_status;
    }
    if (parser.get().result_int() < 200) {
      if (++interim > kMaximumInterimResponses) {
        co_return http::error::header_limit;
      }
      continue;
    }
    auto const match = aEcho ? MatchEcho(*aEcho, parser) : EchoMatch::Same;
    if (match != EchoMatch::Other) {
      aConnection.m_isResponseUnidentified =
        match == EchoMatch::Absent && aConnection.m_hasResponded;
      co_return error;
    }
    ++skipped;
    aConnection.m_hasResponded = true;
    auto const skipError = co_await SkipBody(aLoop, aConnection, aEnd);
    if (skipError) {
      co_return skipError;
    }
  }
  co_return http::error::unexpected_body;
}

void Abort(HttpConnection& aConnection)
{
  boost::system::error_code ignored;
  aConnection.m_stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
  aConnection.m_stream->close();
}

} // namespace sardinefold::base
