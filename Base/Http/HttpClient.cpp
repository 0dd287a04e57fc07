#include "Base/Http/HttpClient.h"

#include "Base/Http/HttpHead.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include <array>
#include <optional>

namespace sardinefold::base {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// A connection with the parser of the response that is arriving on it.
struct HttpConnection
{
  explicit HttpConnection(asio::io_context& aContext, Endpoint aEndpoint)
    : m_stream(aContext)
    , m_endpoint(std::move(aEndpoint))
  {
  }

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  Endpoint m_endpoint;
  Instant m_idleSince{};
};

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t kProbeAnswerBytes = std::uint64_t(1024) * 1024;
constexpr std::size_t kReadBytes = 16 * 1024;

HttpFailure ToFailure(boost::system::error_code aError, bool aMayHaveBeenSent)
{
  using Kind = HttpFailure::Kind;
  if (aError == boost::beast::error::timeout) {
    return { Kind::TimedOut, aMayHaveBeenSent, aError.message() };
  }
  if (aError == http::error::end_of_stream || aError == http::error::partial_message ||
      aError.category() != make_error_code(http::error::end_of_stream).category()) {
    return { Kind::ConnectionClosed, aMayHaveBeenSent, aError.message() };
  }
  return { Kind::MalformedResponse, aMayHaveBeenSent, aError.message() };
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

asio::awaitable<boost::system::error_code> Connect(HttpConnection& aConnection, Duration aLimit)
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
  }
  co_return connectError;
}

/// Reads heads until one that is not an interim response.
asio::awaitable<boost::system::error_code> ReadHead(HttpConnection& aConnection, bool aIsHead,
                                                    Bytes aHeaderLimit)
{
  while (true) {
    auto& parser = aConnection.m_parser.emplace();
    parser.header_limit(static_cast<std::uint32_t>(aHeaderLimit.Value()));
    parser.body_limit(boost::none);
    parser.skip(aIsHead);
    auto const [error, size] =
      co_await http::async_read_header(aConnection.m_stream, aConnection.m_buffer, parser, kAwait);
    if (error || parser.get().result_int() >= 200) {
      co_return error;
    }
  }
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

/// Makes a cancellation close the connection.
void CancelWith(Cancellation* aCancellation, HttpConnection& aConnection)
{
  if (aCancellation) {
    aCancellation->SetAction([&aConnection] { aConnection.m_stream.close(); });
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
}

void HttpReply::Finish()
{
  m_complete = true;
  if (m_cancellation) {
    m_cancellation->ClearAction();
  }
  bool const keepAlive = m_connection->m_parser->keep_alive();
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

std::unique_ptr<HttpConnection> HttpClient::TakeIdle(Endpoint const& aEndpoint)
{
  auto const found = m_idle.find(aEndpoint);
  if (found == m_idle.end()) {
    return nullptr;
  }
  auto& connections = found->second;
  while (!connections.empty()) {
    auto connection = std::move(connections.back());
    connections.pop_back();
    bool const isFresh = m_loop.Now() - connection->m_idleSince < m_limits.m_idleTime;
    if (isFresh && IsStillOpen(connection->m_stream.socket())) {
      return connection;
    }
  }
  return nullptr;
}

asio::awaitable<std::unique_ptr<HttpConnection>> HttpClient::TakeWorking(Endpoint const& aEndpoint)
{
  auto connection = TakeIdle(aEndpoint);
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
  auto connection = co_await TakeWorking(aEndpoint);
  if (!connection) {
    connection = std::make_unique<HttpConnection>(m_loop.Context(), aEndpoint);
    CancelWith(aCancellation, *connection);
    auto const connectLimit = std::min(m_limits.m_connectTime, aHeadLimit);
    auto const error = co_await Connect(*connection, connectLimit);
    if (error) {
      StopCancelling(aCancellation);
      HttpFailure failure{ HttpFailure::Kind::ConnectFailed, false,
                           aEndpoint.Text() + ": " + error.message(),
                           error == asio::error::connection_refused };
      co_return tl::make_unexpected(std::move(failure));
    }
  }
  if (aCancellation && aCancellation->IsCancelled()) {
    HttpFailure failure{ HttpFailure::Kind::ConnectFailed, false, "cancelled" };
    co_return tl::make_unexpected(std::move(failure));
  }
  CancelWith(aCancellation, *connection);
  auto const head = RenderRequestHead(aRequest, aEndpoint, FramingOf(aRequest));
  std::array<asio::const_buffer, 2> const message = { asio::buffer(head),
                                                      asio::buffer(aRequest.m_body) };
  connection->m_stream.expires_after(aHeadLimit);
  auto const [writeError, written] =
    co_await asio::async_write(connection->m_stream, message, kAwait);
  if (writeError) {
    StopCancelling(aCancellation);
    co_return tl::make_unexpected(ToFailure(writeError, true));
  }
  bool const isHead = aRequest.m_method == "HEAD";
  auto const readError = co_await ReadHead(*connection, isHead, m_limits.m_headerBytes);
  if (readError) {
    StopCancelling(aCancellation);
    co_return tl::make_unexpected(ToFailure(readError, true));
  }
  co_return HttpReply(*this, std::move(connection), aCancellation);
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
