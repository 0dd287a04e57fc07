#include "Base/Http/HttpClient.h"

#include "Base/Digest.h"
#include "Base/Http/HttpConnection.h"
#include "Base/Http/HttpHead.h"
#include "Base/Http/HttpIdlePool.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace sardinefold::base {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kFirstErrorStatus = 400;
/// Bounds the memory of a connection. One that has carried as many values is replaced.
constexpr std::size_t kMaximumEchoes = 1'000;

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

/// Requests without a body carry a Content-Length only if their method expects a
/// body.
HttpFraming FramingOf(HttpRequest const& aRequest, std::string const& aBody)
{
  bool const expectsBody =
    aRequest.m_method == "POST" || aRequest.m_method == "PUT" || aRequest.m_method == "PATCH";
  if (aBody.empty() && !expectsBody) {
    return {};
  }
  return { aBody.size(), false };
}

/// Parses the idle timeout in a Keep-Alive field such as "timeout=5, max=100".
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

void AbortOnCancellation(Cancellation* aCancellation, HttpConnection& aConnection)
{
  if (aCancellation) {
    aCancellation->SetAction([&aConnection] { Abort(aConnection); });
  }
}

std::uint64_t DigestOf(HttpHeaders::Field const& aEcho)
{
  return FastHash(aEcho.m_value);
}

/// Whether a request with that value was sent on the connection.
bool HasCarried(HttpConnection const& aConnection, HttpHeaders::Field const& aEcho)
{
  return std::ranges::find(aConnection.m_echoes, DigestOf(aEcho)) != aConnection.m_echoes.end();
}

void ClearCancellation(Cancellation* aCancellation)
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
    case HttpFailure::Kind::MismatchedResponse:
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
  m_endsWithConnection = m_connection->m_parser->need_eof();
  m_isFirstOnConnection = !m_connection->m_hasResponded;
  m_connectionNumber = m_connection->m_number;
  m_earlierRequests = m_connection->m_requests - 1;
  m_connection->m_hasResponded = true;
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
  // The cancellation's action refers to the connection, which is destroyed next.
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
  bool const isAmbiguous =
    m_connection->m_isResponseUnidentified ||
    (m_status >= kFirstErrorStatus && !m_client->m_limits.m_isReusedAfterRefusal);
  bool const keepAlive =
    m_connection->m_parser->keep_alive() && m_connection->m_write->m_isDone && !isAmbiguous;
  if (auto const keepAliveField = m_headers.Find("Keep-Alive")) {
    m_connection->m_serverIdleTimeout = ParseKeepAlive(*keepAliveField);
  }
  m_connection->m_parser.reset();
  if (keepAlive) {
    m_client->Return(std::move(m_connection));
  }
  m_connection.reset();
}

asio::awaitable<tl::expected<std::string, HttpFailure>> HttpReply::Read(Duration aTimeout)
{
  std::string data;
  while (!m_complete && data.empty()) {
    auto& connection = *m_connection;
    auto& parser = *connection.m_parser;
    std::array<char, kHttpReadBytes> storage;
    parser.get().body().data = storage.data();
    parser.get().body().size = storage.size();
    connection.m_stream->expires_after(aTimeout);
    auto [error, size] =
      co_await http::async_read_some(*connection.m_stream, connection.m_buffer, parser, kAwait);
    if (error == http::error::need_buffer) {
      error = {};
    }
    if (!error && parser.is_done() && m_endsWithConnection) {
      error = ErrorOfWrite(connection);
    }
    if (error) {
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

struct HttpClient::Idle : HttpIdlePool<HttpConnection>
{
  using HttpIdlePool::HttpIdlePool;
};

HttpClient::HttpClient(EventLoop& aLoop, HttpClientLimits aLimits)
  : m_loop(aLoop)
  , m_limits(std::move(aLimits))
  , m_idle(std::make_unique<Idle>(m_limits.m_idle))
{
}

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpConnection> HttpClient::TakeIdle(Endpoint const& aEndpoint,
                                                     HttpSendOptions const& aOptions)
{
  auto const maximumIdleTime = aOptions.m_maximumIdleTime.value_or(m_limits.m_idle.m_timeout);
  auto const isUnambiguous = [&aOptions](HttpConnection const& aConnection) {
    return !aOptions.m_echo || !HasCarried(aConnection, *aOptions.m_echo);
  };
  while (auto connection = m_idle->Take(aEndpoint, isUnambiguous)) {
    // Half of the server's timeout leaves a margin for the request's latency.
    auto const limit =
      std::min(maximumIdleTime, connection->m_serverIdleTimeout.value_or(maximumIdleTime) / 2);
    bool const isFresh = m_loop.Now() - connection->m_idleSince < limit;
    if (isFresh && CheckIdleInput(*connection) == HttpIdleInput::None) {
      return connection;
    }
  }
  // The connection that is opened instead takes the place of one that has carried the
  // value, so that a caller who repeats its ids does not use up the server's connections.
  m_idle->Take(aEndpoint);
  return nullptr;
}

asio::awaitable<std::unique_ptr<HttpConnection>> HttpClient::TakeProbed(
  Endpoint const& aEndpoint, HttpSendOptions const& aOptions)
{
  auto connection = TakeIdle(aEndpoint, aOptions);
  auto const& probe = m_limits.m_probe;
  if (!connection || !probe || m_loop.Now() - connection->m_idleSince < probe->m_idleThreshold) {
    co_return connection;
  }
  bool const isWorking = co_await Probe(m_loop, *connection, *probe, m_limits.m_headerBytes);
  if (!isWorking) {
    connection.reset();
    CloseIdle(aEndpoint);
  }
  co_return connection;
}

void HttpClient::Return(std::unique_ptr<HttpConnection> aConnection)
{
  bool const isReusable = !aConnection->m_isExclusive && aConnection->m_buffer.size() == 0 &&
                          aConnection->m_echoes.size() < kMaximumEchoes;
  if (isReusable) {
    m_idle->Put(std::move(aConnection), m_loop.Now());
  }
}

void HttpClient::ReturnUnused(std::unique_ptr<HttpConnection> aConnection)
{
  auto const idleSince = aConnection->m_idleSince;
  m_idle->Put(std::move(aConnection), idleSince);
}

void HttpClient::CloseIdle(Endpoint const& aEndpoint)
{
  m_idle->Close(aEndpoint);
}

void HttpClient::SweepIdle(Instant aNow)
{
  m_idle->CloseExpired(aNow);
  auto const unusable = FindUnusable(m_idle->Connections());
  m_idle->CloseIf(
    [&](HttpConnection const& aConnection) { return unusable.contains(&aConnection); });
}

std::size_t HttpClient::IdleConnections(Endpoint const& aEndpoint) const
{
  return m_idle->Size(aEndpoint);
}

std::size_t HttpClient::IdleConnections() const
{
  return m_idle->Size();
}

asio::awaitable<tl::expected<HttpReply, HttpFailure>> HttpClient::Send(Endpoint aEndpoint,
                                                                       HttpRequest aRequest,
                                                                       Duration aHeadTimeout,
                                                                       Cancellation* aCancellation)
{
  HttpSendOptions options{ aHeadTimeout, aCancellation, std::nullopt, std::nullopt, nullptr };
  co_return co_await Send(std::move(aEndpoint), std::move(aRequest), std::move(options));
}

asio::awaitable<HttpClient::OpenResult> HttpClient::Connect(Endpoint aEndpoint,
                                                            HttpSendOptions const& aOptions,
                                                            Instant aEnd)
{
  auto connection =
    std::make_unique<HttpConnection>(m_loop.Context(), aEndpoint, m_limits.m_headerBytes);
  connection->m_number = HttpConnectionNumber(++m_connections);
  connection->m_isExclusive = aOptions.m_isConnectionExclusive;
  AbortOnCancellation(aOptions.m_cancellation, *connection);
  auto const timeout = std::min<Duration>(m_limits.m_connectTimeout, aEnd - m_loop.Now());
  auto const error = co_await base::Connect(*connection, timeout, m_limits.m_acknowledgeTimeout);
  if (error) {
    ClearCancellation(aOptions.m_cancellation);
    HttpFailure failure{ HttpFailure::Kind::ConnectFailed, false,
                         aEndpoint.Text() + ": " + error.message(),
                         error == asio::error::connection_refused };
    co_return tl::make_unexpected(std::move(failure));
  }
  connection->m_idleSince = m_loop.Now();
  co_return connection;
}

std::optional<HttpFailure> HttpClient::CheckBeforeSending(
  std::unique_ptr<HttpConnection>& aConnection, HttpSendOptions const& aOptions, Instant aEnd)
{
  if (aOptions.m_cancellation && aOptions.m_cancellation->IsCancelled()) {
    return HttpFailure{ HttpFailure::Kind::ConnectFailed, false, "cancelled" };
  }
  if (aOptions.m_mayStillSend && !aOptions.m_mayStillSend()) {
    ClearCancellation(aOptions.m_cancellation);
    HttpFailure failure{ HttpFailure::Kind::Withdrawn, false, aConnection->m_endpoint.Text() };
    ReturnUnused(std::move(aConnection));
    return failure;
  }
  if (m_loop.Now() >= aEnd) {
    ClearCancellation(aOptions.m_cancellation);
    ReturnUnused(std::move(aConnection));
    return HttpFailure{ HttpFailure::Kind::TimedOut, false,
                        "timed out before the request was sent" };
  }
  return std::nullopt;
}

asio::awaitable<HttpClient::OpenResult> HttpClient::Open(Endpoint aEndpoint,
                                                         HttpSendOptions const& aOptions)
{
  auto const end = m_loop.Now() + aOptions.m_headTimeout;
  std::unique_ptr<HttpConnection> connection;
  if (!aOptions.m_isConnectionExclusive) {
    connection = co_await TakeProbed(aEndpoint, aOptions);
  }
  bool isNew = false;
  while (true) {
    if (!connection) {
      auto opened = co_await Connect(aEndpoint, aOptions, end);
      if (!opened) {
        co_return opened;
      }
      connection = std::move(*opened);
      isNew = true;
    }
    if (auto failure = CheckBeforeSending(connection, aOptions, end)) {
      co_return tl::make_unexpected(std::move(*failure));
    }
    auto const input = CheckIdleInput(*connection);
    if (input == HttpIdleInput::None) {
      co_return connection;
    }
    ClearCancellation(aOptions.m_cancellation);
    connection.reset();
    if (isNew && input == HttpIdleInput::Closed) {
      co_return tl::make_unexpected(HttpFailure{ HttpFailure::Kind::ConnectFailed, false,
                                                 "closed before the request was sent", true });
    }
    if (isNew) {
      co_return tl::make_unexpected(HttpFailure{ HttpFailure::Kind::MalformedResponse, false,
                                                 "response before the request was sent" });
    }
  }
}

asio::awaitable<tl::expected<HttpReply, HttpFailure>> HttpClient::Send(Endpoint aEndpoint,
                                                                       HttpRequest aRequest,
                                                                       HttpSendOptions aOptions)
{
  auto* const cancellation = aOptions.m_cancellation;
  auto const end = m_loop.Now() + aOptions.m_headTimeout;
  auto opened = co_await Open(std::move(aEndpoint), aOptions);
  if (!opened) {
    ClearCancellation(cancellation);
    co_return tl::make_unexpected(opened.error());
  }
  auto connection = std::move(*opened);
  AbortOnCancellation(cancellation, *connection);
  connection->m_stream->expires_after(end - m_loop.Now());
  auto body = aOptions.m_body ? std::move(aOptions.m_body)
                              : std::make_shared<std::string const>(std::move(aRequest.m_body));
  auto head = RenderRequestHead(aRequest, connection->m_endpoint, FramingOf(aRequest, *body));
  ++connection->m_requests;
  if (aOptions.m_echo) {
    connection->m_echoes.push_back(DigestOf(*aOptions.m_echo));
  }
  StartWriting(*connection, std::move(head), std::move(body));
  bool const isHead = aRequest.m_method == "HEAD";
  auto const readError =
    co_await ReadHead(m_loop, *connection, isHead, m_limits.m_headerBytes, end, aOptions.m_echo);
  if (readError) {
    ClearCancellation(cancellation);
    // The operating system reports the acknowledgement timeout to only one of the
    // two pending operations, which may be the write.
    bool const isUnresponsive = connection->m_write->m_error == asio::error::timed_out;
    Abort(*connection);
    auto const error = isUnresponsive ? make_error_code(asio::error::timed_out) : readError;
    co_return tl::make_unexpected(ToFailure(error, true));
  }
  co_return HttpReply(*this, std::move(connection), cancellation);
}

asio::awaitable<tl::expected<HttpResponse, HttpFailure>> HttpClient::Fetch(Endpoint aEndpoint,
                                                                           HttpRequest aRequest,
                                                                           Duration aTimeout,
                                                                           Bytes aBodyLimit)
{
  HttpSendOptions options{ aTimeout, nullptr, std::nullopt, std::nullopt, nullptr };
  co_return co_await Fetch(std::move(aEndpoint), std::move(aRequest), std::move(options),
                           aBodyLimit);
}

asio::awaitable<tl::expected<HttpResponse, HttpFailure>> HttpClient::Fetch(Endpoint aEndpoint,
                                                                           HttpRequest aRequest,
                                                                           HttpSendOptions aOptions,
                                                                           Bytes aBodyLimit)
{
  auto const end = m_loop.Now() + aOptions.m_headTimeout;
  auto reply = co_await Send(std::move(aEndpoint), std::move(aRequest), std::move(aOptions));
  if (!reply) {
    co_return tl::make_unexpected(reply.error());
  }
  HttpResponse response;
  response.m_status = reply->Status();
  response.m_headers = reply->Headers();
  while (!reply->IsComplete()) {
    auto const remaining = end - m_loop.Now();
    if (remaining <= Duration::zero()) {
      HttpFailure failure{ HttpFailure::Kind::TimedOut, true,
                           "the response body did not end within the timeout" };
      co_return tl::make_unexpected(std::move(failure));
    }
    auto chunk = co_await reply->Read(remaining);
    if (!chunk) {
      co_return tl::make_unexpected(chunk.error());
    }
    response.m_body += *chunk;
    if (static_cast<std::int64_t>(response.m_body.size()) > aBodyLimit.Value()) {
      HttpFailure failure{ HttpFailure::Kind::TooLarge, true,
                           "the response body exceeds the size limit" };
      co_return tl::make_unexpected(std::move(failure));
    }
  }
  co_return response;
}

} // namespace sardinefold::base
