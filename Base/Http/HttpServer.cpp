#include "Base/Http/HttpServer.h"

#include "Base/Http/HttpSession.h"
#include "Base/Http/IdleWait.h"
#include "Base/Http/ReadDeadline.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

#include <iterator>
#include <optional>

namespace sardinefold::base {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(20);

} // namespace

namespace detail {

HttpRequestError ToRequestError(boost::system::error_code aError)
{
  if (aError == kNoRoom) {
    // Large requests end, or are given up, within some seconds.
    constexpr Duration kRetryAfter = std::chrono::seconds(1);
    return { 503, "no room for the request", kRetryAfter };
  }
  if (aError == http::error::header_limit) {
    return { 431, "the headers are larger than the limit" };
  }
  if (aError == http::error::body_limit) {
    return { 413, "the body is larger than the limit" };
  }
  if (aError == boost::beast::error::timeout) {
    return { 408, "the request did not arrive in time" };
  }
  return { 400, "the request is malformed: " + aError.message() };
}

bool IsPeerClosed(tcp::socket& aSocket)
{
  char byte = 0;
  auto const received =
    ::recv(aSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return received == 0 ||
         (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool HasInput(tcp::socket& aSocket)
{
  char byte = 0;
  return ::recv(aSocket.native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

HttpRequest ToRequest(http::request<HttpRequestBody>& aMessage)
{
  HttpRequest request;
  request.m_method = std::string(aMessage.method_string());
  request.m_target = std::string(aMessage.target());
  request.m_headers.Reserve(
    static_cast<std::size_t>(std::distance(aMessage.begin(), aMessage.end())));
  for (auto const& field : aMessage) {
    request.m_headers.Add(std::string(field.name_string()), std::string(field.value()));
  }
  request.m_body = std::move(aMessage.body());
  return request;
}

} // namespace detail

HttpServer::HttpServer(EventLoop& aLoop, HttpServerLimits aLimits, Handler aHandler,
                       ErrorRenderer aErrorRenderer)
  : m_loop(aLoop)
  , m_limits(aLimits)
  , m_idleLimit(aLimits.m_idleTimeout)
  , m_handler(std::move(aHandler))
  , m_errorRenderer(std::move(aErrorRenderer))
  , m_acceptor(aLoop.Context())
{
}

HttpServer::~HttpServer() = default;

void HttpServer::SetLimits(HttpServerLimits aLimits, Instant aNow)
{
  m_limits = aLimits;
  m_idleLimit.Set(aLimits.m_idleTimeout, aNow);
}

void HttpServer::UseTls(std::shared_ptr<asio::ssl::context> aContext)
{
  m_tls = std::move(aContext);
}

tl::expected<void, std::string> HttpServer::Listen(Endpoint const& aEndpoint)
{
  boost::system::error_code error;
  tcp::endpoint const endpoint(asio::ip::make_address(aEndpoint.m_address, error),
                               aEndpoint.m_port);
  if (!error) {
    m_acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    m_acceptor.bind(endpoint, error);
  }
  if (!error) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::make_unexpected("cannot listen on " + aEndpoint.Text() + ": " + error.message());
  }
  m_loop.Start(Accept());
  return {};
}

std::uint16_t HttpServer::Port() const
{
  boost::system::error_code error;
  return m_acceptor.local_endpoint(error).port();
}

asio::awaitable<void> HttpServer::Accept()
{
  while (!m_draining) {
    auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
    if (error == asio::error::operation_aborted || (error && m_draining)) {
      co_return;
    }
    if (error || m_counts->m_connections >= m_limits.m_connections) {
      if (error) {
        m_budget->OnDescriptorsExhausted(m_loop.Now());
      } else {
        ReportTurnedAway();
      }
      // The process is out of file descriptors or over its connection limit. Close
      // the connection and pause, so that the loop does not spin.
      boost::system::error_code ignored;
      socket.close(ignored);
      co_await m_loop.Sleep(std::chrono::milliseconds(5));
      continue;
    }
    StartSession(std::move(socket));
  }
}

void HttpServer::ReportTurnedAway() const
{
  HttpConnectionClose close;
  close.m_reason = HttpCloseReason::ConnectionLimit;
  ReportClose(close);
}

void HttpServer::StartSession(tcp::socket aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  if (m_tls) {
    m_loop.Start(ServeTls(std::move(aSocket), m_tls));
  } else {
    m_loop.Start(ServePlain(std::move(aSocket)));
  }
}

/// Accepts the connections that the operating system has set up already. Closing the
/// acceptor would reset them.
void HttpServer::AcceptPending()
{
  boost::system::error_code error;
  m_acceptor.non_blocking(true, error);
  for (auto accepted = m_counts->m_connections; !error && accepted < m_limits.m_connections;
       ++accepted) {
    tcp::socket socket(m_loop.Context());
    m_acceptor.accept(socket, error);
    if (!error) {
      StartSession(std::move(socket));
    }
  }
}

asio::awaitable<void> HttpServer::ServePlain(tcp::socket aSocket)
{
  detail::CountGuard const guard(m_counts, &HttpServerCounts::m_connections);
  HttpBudgetShare share(m_loop, m_budget);
  if (!share.IsAdmitted()) {
    ReportTurnedAway();
    co_return;
  }
  boost::beast::tcp_stream stream(std::move(aSocket));
  Session<boost::beast::tcp_stream> session(*this, stream, share);
  co_await session.Run();
}

void HttpServer::CloseAfterResponses()
{
  m_isClosing = true;
  for (auto* const exchange : m_open) {
    if (!exchange->HasStarted()) {
      exchange->CloseAfterResponse();
    }
  }
}

void HttpServer::EndReads()
{
  m_areReadsEnded = true;
  for (auto* const read : m_reads) {
    read->Expire();
  }
}

asio::awaitable<std::size_t> HttpServer::Drain(Duration aTimeout)
{
  m_draining = true;
  CloseAfterResponses();
  AcceptPending();
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  for (auto* const wait : m_idle) {
    wait->Cancel();
  }
  auto const end = m_loop.Now() + aTimeout;
  // New sessions and cancelled waits look for a request in the next turns of the loop.
  do {
    co_await m_loop.Sleep(kDrainPollInterval);
  } while ((m_counts->m_exchanges > 0 || !m_idle.empty()) && m_loop.Now() < end);
  co_return m_counts->m_exchanges - m_counts->m_lingering;
}

} // namespace sardinefold::base
