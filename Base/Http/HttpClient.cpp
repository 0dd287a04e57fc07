#include "Base/Http/HttpClient.h"

#include "Base/Http/HttpHead.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace sardinefold::base {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Bounds what the parser waits for as a whole: a head, a chunk's head, a trailer.
constexpr std::size_t kMostBufferedBytes = 64UL * 1024;

/// How the write of a request went.
struct HttpWriteState
{
  /// Whether the whole request was written; a response may come before that.
  bool m_isDone = false;
  boost::system::error_code m_error;
};

/// A connection with the parser of the response that is arriving on it.
struct HttpConnection
{
  explicit HttpConnection(asio::io_context& aContext, Endpoint aEndpoint)
    : m_stream(aContext)
    , m_endpoint(std::move(aEndpoint))
  {
  }

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer{ kMostBufferedBytes };
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  Endpoint m_endpoint;
  Instant m_idleSince{};
  /// The server's own idle limit, if it told one.
  std::optional<Duration> m_serverIdleTime;
  // Shared with the write's handler, which may run after the connection ended.
  std::shared_ptr<HttpWriteState> m_write = std::make_shared<HttpWriteState>();
};

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kProbeAnswerBytes = std::uint64_t(1024) * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;
/// Responses to earlier requests that one connection may deliver first, and
/// their bytes.
constexpr int kMostSkippedResponses = 4;
constexpr std::size_t kMostSkippedBytes = 1024UL * 1024;
/// Servers send one or two interim responses, if any.
constexpr int kMostInterimResponses = 16;

HttpFailure ToFailure(boost::system::error_code aError, bool aMayHaveBeenSent)
{
  using Kind = HttpFailure::Kind;
  if (aError == boost::beast::error::timeout || aError == asio::error::timed_out) {
    return { Kind::TimedOut, aMayHaveBeenSent, aError.message() };
  }
  if (aError == http::error::end_of_stream || aError == http::error::partial_message ||
      aError.category() != make_error_code(http::error::end_of_stream).category()) {
    return { Kind::ConnectionClosed, aMayHaveBeenSent, aError.message() };
  }
  bool const isTooLarge = aError == http::error::header_limit ||
                          aError == http::error::body_limit ||
                          aError == http::error::buffer_overflow;
  return { isTooLarge ? Kind::TooLarge : Kind::MalformedResponse, aMayHaveBeenSent,
           aError.message() };
}

bool IsStillOpen(tcp::socket& aSocket)
{
  char byte = 0;
  auto const received =
    ::recv(aSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  // Input on an idle connection answers no request, so it is not reused.
  return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Requests without a body state no length unless their method expects one.
HttpFraming FramingOf(HttpRequest const& aRequest)
{
  bool const expectsBody =
    aRequest.m_method == "POST" || aRequest.m_method == "PUT" || aRequest.m_method == "PATCH";
  if (aRequest.m_body.empty() && !expectsBody) {
    return {};
  }
  return { aRequest.m_body.size(), false };
}

/// Options that Asio has no class for. They are best effort: without them a
/// silent peer is found by the limits of each request.
void SetTcpOption(tcp::socket& aSocket, int aName, int aValue)
{
  ::setsockopt(aSocket.native_handle(), IPPROTO_TCP, aName, &aValue, sizeof(aValue));
}

/// Makes the system close the connection when its peer falls silent.
void CloseWhenSilent(tcp::socket& aSocket, Duration aAcknowledgeTime)
{
  // The shortest time that the system offers.
  constexpr int kProbeSeconds = 1;
  boost::system::error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetTcpOption(aSocket, TCP_KEEPIDLE, kProbeSeconds);
  SetTcpOption(aSocket, TCP_KEEPINTVL, kProbeSeconds);
  SetTcpOption(aSocket, TCP_USER_TIMEOUT, static_cast<int>(ToMilliseconds(aAcknowledgeTime)));
}

asio::awaitable<boost::system::error_code> Connect(HttpConnection& aConnection, Duration aLimit,
                                                   std::optional<Duration> aAcknowledgeTime)
{
  boost::system::error_code error;
  tcp::endpoint const endpoint(asio::ip::make_address(aConnection.m_endpoint.m_address, error),
                               aConnection.m_endpoint.m_port);
  if (error) {
    co_return error;
  }
  aConnection.m_stream.expires_after(aLimit);
  auto const [connectError] = co_await aConnection.m_stream.async_connect(endpoint, kAwait);
  if (!connectError) {
    boost::system::error_code ignored;
    aConnection.m_stream.socket().set_option(tcp::no_delay(true), ignored);
    if (aAcknowledgeTime) {
      CloseWhenSilent(aConnection.m_stream.socket(), *aAcknowledgeTime);
    }
  }
  co_return connectError;
}

bool IsEchoedBy(HttpHeaders::Field const& aEcho,
                http::response_parser<http::buffer_body> const& aParser)
{
  auto const found = aParser.get().find(aEcho.m_name);
  return found == aParser.get().end() || found->value() == std::string_view(aEcho.m_value);
}

/// Reads the rest of a response and drops it.
asio::awaitable<boost::system::error_code> SkipBody(EventLoop const& aLoop,
                                                    HttpConnection& aConnection, Instant aEnd)
{
  auto& parser = *aConnection.m_parser;
  std::array<char, kReadBytes> storage;
  std::size_t skipped = 0;
  while (!parser.is_done()) {
    // Reads that complete at once never let the stream's own timer run.
    if (aLoop.Now() >= aEnd) {
      co_return boost::beast::error::timeout;
    }
    if (skipped > kMostSkippedBytes) {
      co_return http::error::body_limit;
    }
    parser.get().body().data = storage.data();
    parser.get().body().size = storage.size();
    auto const [error, size] =
      co_await http::async_read_some(aConnection.m_stream, aConnection.m_buffer, parser, kAwait);
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

/// Writes a request while its response is awaited, since a server may answer
/// before it has read a long body.
void StartWriting(HttpConnection& aConnection, std::string aMessage)
{
  // Shared: the buffer has to last until the write's handler has run, which may
  // be after the connection was closed.
  auto const message = std::make_shared<std::string const>(std::move(aMessage));
  *aConnection.m_write = {};
  asio::async_write(
    aConnection.m_stream, asio::buffer(*message),
    [message, state = aConnection.m_write](boost::system::error_code aError, std::size_t) {
      *state = { !aError, aError };
    });
}

/// The idle limit in a field of the form "timeout=5, max=100".
std::optional<Duration> ParseKeepAlive(std::string_view aText)
{
  constexpr std::string_view kName = "timeout=";
  auto const position = aText.find(kName);
  int seconds = 0;
  if (position == std::string_view::npos) {
    return std::nullopt;
  }
  auto const digits = aText.substr(position + kName.size());
  auto const [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc() || seconds <= 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

/// Reads heads until one that is not an interim response.
asio::awaitable<boost::system::error_code> ReadHead(EventLoop const& aLoop,
                                                    HttpConnection& aConnection, bool aIsHead,
                                                    Bytes aHeaderLimit, Instant aEnd,
                                                    std::optional<HttpHeaders::Field> const& aEcho)
{
  int interim = 0;
  for (int skipped = 0; skipped <= kMostSkippedResponses;) {
    auto& parser = aConnection.m_parser.emplace();
    parser.header_limit(static_cast<std::uint32_t>(aHeaderLimit.Value()));
    parser.body_limit(boost::none);
    parser.skip(aIsHead);
    auto const [error, size] =
      co_await http::async_read_header(aConnection.m_stream, aConnection.m_buffer, parser, kAwait);
    if (error) {
      co_return error;
    }
    if (parser.get().result_int() < 200) {
      if (++interim > kMostInterimResponses) {
        co_return http::error::header_limit;
      }
      continue;
    }
    if (!aEcho || IsEchoedBy(*aEcho, parser)) {
      co_return error;
    }
    ++skipped;
    auto const skipError = co_await SkipBody(aLoop, aConnection, aEnd);
    if (skipError) {
      co_return skipError;
    }
  }
  co_return http::error::unexpected_body;
}

/// Whether the connection answers the probe in time.
asio::awaitable<bool> Probe(HttpConnection& aConnection, HttpProbe const& aProbe)
{
  HttpRequest request;
  request.m_target = aProbe.m_target;
  auto const head = RenderRequestHead(request, aConnection.m_endpoint, {});
  aConnection.m_stream.expires_after(aProbe.m_limit);
  auto const [writeError, written] =
    co_await asio::async_write(aConnection.m_stream, asio::buffer(head), kAwait);
  if (writeError) {
    co_return false;
  }
  http::response_parser<http::string_body> answer;
  answer.body_limit(kProbeAnswerBytes);
  auto const [readError, size] =
    co_await http::async_read(aConnection.m_stream, aConnection.m_buffer, answer, kAwait);
  co_return !readError && answer.keep_alive();
}

/// Closes a connection so that what is still on its way is lost: a request that
/// nobody waits for any more must not arrive after a partition has healed.
void Abort(HttpConnection& aConnection)
{
  boost::system::error_code ignored;
  aConnection.m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  aConnection.m_stream.close();
}

/// Makes a cancellation abort the connection.
void CancelWith(Cancellation* aCancellation, HttpConnection& aConnection)
{
  if (aCancellation) {
    aCancellation->SetAction([&aConnection] { Abort(aConnection); });
  }
}

void StopCancelling(Cancellation* aCancellation)
{
  if (aCancellation) {
    aCancellation->ClearAction();
  }
}

} // namespace

std::string_view ToText(HttpFailure::Kind aKind)
{
  switch (aKind) {
    case HttpFailure::Kind::ConnectFailed:
      return "connect failed";
    case HttpFailure::Kind::TimedOut:
      return "timed out";
    case HttpFailure::Kind::ConnectionClosed:
      return "connection closed";
    case HttpFailure::Kind::MalformedResponse:
      return "malformed response";
    case HttpFailure::Kind::TooLarge:
      return "response too large";
    case HttpFailure::Kind::CrossedResponse:
      return "response to another request";
    case HttpFailure::Kind::Withdrawn:
      return "withdrawn before it was sent";
  }
  return "failed";
}

HttpReply::HttpReply(HttpClient& aClient, std::unique_ptr<HttpConnection> aConnection,
                     Cancellation* aCancellation)
  : m_client(&aClient)
  , m_cancellation(aCancellation)
  , m_connection(std::move(aConnection))
{
  auto const& head = m_connection->m_parser->get();
  m_status = head.result_int();
  for (auto const& field : head) {
    m_headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  if (m_connection->m_parser->is_done()) {
    Finish();
  }
}

HttpReply::HttpReply(HttpReply&&) noexcept = default;
HttpReply& HttpReply::operator=(HttpReply&&) noexcept = default;

HttpReply::~HttpReply()
{
  // The cancellation's action refers to the connection.
  if (m_connection && m_cancellation) {
    m_cancellation->ClearAction();
  }
  if (m_connection) {
    Abort(*m_connection);
  }
}

void HttpReply::Finish()
{
  m_complete = true;
  if (m_cancellation) {
    m_cancellation->ClearAction();
  }
  bool const keepAlive = m_connection->m_parser->keep_alive() && m_connection->m_write->m_isDone;
  if (auto const told = m_headers.Find("Keep-Alive")) {
    m_connection->m_serverIdleTime = ParseKeepAlive(*told);
  }
  m_connection->m_parser.reset();
  if (keepAlive) {
    m_client->Return(std::move(m_connection));
  }
  m_connection.reset();
}

asio::awaitable<tl::expected<std::string, HttpFailure>> HttpReply::Read(Duration aSilenceLimit)
{
  std::string data;
  while (!m_complete && data.empty()) {
    auto& connection = *m_connection;
    auto& parser = *connection.m_parser;
    std::array<char, kReadBytes> storage;
    parser.get().body().data = storage.data();
    parser.get().body().size = storage.size();
    connection.m_stream.expires_after(aSilenceLimit);
    auto const [error, size] =
      co_await http::async_read_some(connection.m_stream, connection.m_buffer, parser, kAwait);
    if (error && error != http::error::need_buffer) {
      if (m_cancellation) {
        m_cancellation->ClearAction();
      }
      m_connection.reset();
      m_complete = true;
      co_return tl::make_unexpected(ToFailure(error, true));
    }
    data.assign(storage.data(), storage.size() - parser.get().body().size);
    if (parser.is_done()) {
      Finish();
    }
  }
  co_return data;
}

HttpClient::HttpClient(EventLoop& aLoop, HttpClientLimits aLimits)
  : m_loop(aLoop)
  , m_limits(std::move(aLimits))
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpConnection> HttpClient::TakeIdle(Endpoint const& aEndpoint,
                                                     Duration aLongestIdle)
{
  auto const found = m_idle.find(aEndpoint);
  if (found == m_idle.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    // Half of the server's limit leaves room for the request's way.
    auto const limit =
      std::min(aLongestIdle, connection->m_serverIdleTime.value_or(aLongestIdle) / 2);
    bool const isFresh = m_loop.Now() - connection->m_idleSince < limit;
    if (isFresh && IsStillOpen(connection->m_stream.socket())) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<std::unique_ptr<HttpConnection>> HttpClient::TakeWorking(Endpoint const& aEndpoint,
                                                                         Duration aLongestIdle)
{
  auto connection = TakeIdle(aEndpoint, aLongestIdle);
  auto const& probe = m_limits.m_probe;
  if (!connection || !probe || m_loop.Now() - connection->m_idleSince < probe->m_afterIdle) {
    co_return connection;
  }
  bool const isWorking = co_await Probe(*connection, *probe);
  if (!isWorking) {
    connection.reset();
    CloseIdle(aEndpoint);
  }
  co_return connection;
}

void HttpClient::Return(std::unique_ptr<HttpConnection> aConnection)
{
  auto& connections = m_idle[aConnection->m_endpoint];
  if (connections.size() >= m_limits.m_idlePerEndpoint || aConnection->m_buffer.size() > 0) {
    return;
  }
  aConnection->m_idleSince = m_loop.Now();
  connections.push_back(std::move(aConnection));
}

void HttpClient::CloseIdle(Endpoint const& aEndpoint)
{
  m_idle.erase(aEndpoint);
}

std::size_t HttpClient::IdleConnections(Endpoint const& aEndpoint) const
{
  auto const found = m_idle.find(aEndpoint);
  return found == m_idle.end() ? 0 : found->second.size();
}

asio::awaitable<tl::expected<HttpReply, HttpFailure>> HttpClient::Send(Endpoint aEndpoint,
                                                                       HttpRequest aRequest,
                                                                       Duration aHeadLimit,
                                                                       Cancellation* aCancellation)
{
  HttpSendOptions options{ aHeadLimit, aCancellation, std::nullopt, std::nullopt, nullptr };
  co_return co_await Send(std::move(aEndpoint), std::move(aRequest), std::move(options));
}

asio::awaitable<tl::expected<HttpReply, HttpFailure>> HttpClient::Send(Endpoint aEndpoint,
                                                                       HttpRequest aRequest,
                                                                       HttpSendOptions aOptions)
{
  auto* const cancellation = aOptions.m_cancellation;
  auto const longestIdle = aOptions.m_longestIdle.value_or(m_limits.m_idleTime);
  auto const end = m_loop.Now() + aOptions.m_headLimit;
  auto connection = co_await TakeWorking(aEndpoint, longestIdle);
  if (!connection) {
    connection = std::make_unique<HttpConnection>(m_loop.Context(), aEndpoint);
    CancelWith(cancellation, *connection);
    auto const connectLimit = std::min(m_limits.m_connectTime, aOptions.m_headLimit);
    auto const error = co_await Connect(*connection, connectLimit, m_limits.m_acknowledgeTime);
    if (error) {
      StopCancelling(cancellation);
      HttpFailure failure{ HttpFailure::Kind::ConnectFailed, false,
                           aEndpoint.Text() + ": " + error.message(),
                           error == asio::error::connection_refused };
      co_return tl::make_unexpected(std::move(failure));
    }
  }
  if (cancellation && cancellation->IsCancelled()) {
    HttpFailure failure{ HttpFailure::Kind::ConnectFailed, false, "cancelled" };
    co_return tl::make_unexpected(std::move(failure));
  }
  if (aOptions.m_mayStillSend && !aOptions.m_mayStillSend()) {
    StopCancelling(cancellation);
    Return(std::move(connection));
    HttpFailure failure{ HttpFailure::Kind::Withdrawn, false, aEndpoint.Text() };
    co_return tl::make_unexpected(std::move(failure));
  }
  CancelWith(cancellation, *connection);
  connection->m_stream.expires_after(std::max(end - m_loop.Now(), Duration::zero()));
  StartWriting(*connection,
               RenderRequestHead(aRequest, aEndpoint, FramingOf(aRequest)) + aRequest.m_body);
  bool const isHead = aRequest.m_method == "HEAD";
  auto const readError =
    co_await ReadHead(m_loop, *connection, isHead, m_limits.m_headerBytes, end, aOptions.m_echo);
  if (readError) {
    StopCancelling(cancellation);
    // The system tells one of the two operations that the peer fell silent.
    bool const isSilent = connection->m_write->m_error == asio::error::timed_out;
    Abort(*connection);
    auto const error = isSilent ? make_error_code(asio::error::timed_out) : readError;
    co_return tl::make_unexpected(ToFailure(error, true));
  }
  co_return HttpReply(*this, std::move(connection), cancellation);
}

asio::awaitable<tl::expected<HttpResponse, HttpFailure>> HttpClient::Fetch(Endpoint aEndpoint,
                                                                           HttpRequest aRequest,
                                                                           Duration aLimit,
                                                                           Bytes aBodyLimit)
{
  auto const end = m_loop.Now() + aLimit;
  auto reply = co_await Send(std::move(aEndpoint), std::move(aRequest), aLimit);
  if (!reply) {
    co_return tl::make_unexpected(reply.error());
  }
  HttpResponse response;
  response.m_status = reply->Status();
  response.m_headers = reply->Headers();
  while (!reply->IsComplete()) {
    auto const left = end - m_loop.Now();
    if (left <= Duration::zero()) {
      HttpFailure failure{ HttpFailure::Kind::TimedOut, true, "the body did not end in time" };
      co_return tl::make_unexpected(std::move(failure));
    }
    auto piece = co_await reply->Read(left);
    if (!piece) {
      co_return tl::make_unexpected(piece.error());
    }
    response.m_body += *piece;
    if (static_cast<std::int64_t>(response.m_body.size()) > aBodyLimit.Value()) {
      HttpFailure failure{ HttpFailure::Kind::TooLarge, true, "the body is larger than allowed" };
      co_return tl::make_unexpected(std::move(failure));
    }
  }
  co_return response;
}

} // namespace sardinefold::base
