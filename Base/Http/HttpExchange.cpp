#include "Base/Http/HttpExchange.h"

#include "Base/Http/HttpHead.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include <charconv>

namespace sardinefold::base {

namespace {

namespace asio = boost::asio;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace

HttpExchange::HttpExchange(AnyStream aStream, HttpRequest aRequest, bool aKeepAlive, bool aMayChunk,
                           Duration aWriteTimeout)
  : m_stream(aStream)
  , m_request(std::make_shared<HttpRequest>(std::move(aRequest)))
  , m_writeTimeout(aWriteTimeout)
  , m_keepAlive(aKeepAlive)
  , m_mayChunk(aMayChunk)
  , m_isHead(m_request->m_method == "HEAD")
{
}

boost::beast::tcp_stream& HttpExchange::LowestLayer()
{
  return std::visit(
    [](auto* aStream) -> boost::beast::tcp_stream& {
      return boost::beast::get_lowest_layer(*aStream);
    },
    m_stream);
}

std::string HttpExchange::PeerAddress() const
{
  auto& lowest = const_cast<HttpExchange*>(this)->LowestLayer();
  boost::system::error_code error;
  auto const endpoint = lowest.socket().remote_endpoint(error);
  return error ? std::string() : endpoint.address().to_string();
}

HttpExchange::Result HttpExchange::Check(boost::system::error_code aError)
{
  if (!aError) {
    return {};
  }
  m_keepAlive = false;
  m_isPeerDisconnected = true;
  return tl::make_unexpected(HttpPeerDisconnected{ aError.message() });
}

asio::awaitable<HttpExchange::Result> HttpExchange::WriteBuffers(Buffers aBuffers)
{
  if (m_share) {
    m_share->HoldResponse(Bytes(static_cast<std::int64_t>(asio::buffer_size(aBuffers))));
  }
  LowestLayer().expires_after(m_writeTimeout);
  boost::system::error_code error;
  if (auto* const* plain = std::get_if<boost::beast::tcp_stream*>(&m_stream)) {
    auto const [writeError, size] = co_await asio::async_write(**plain, aBuffers, kAwait);
    error = writeError;
  } else {
    auto& tls = **std::get_if<TlsStream*>(&m_stream);
    auto const [writeError, size] = co_await asio::async_write(tls, aBuffers, kAwait);
    error = writeError;
  }
  if (m_share) {
    m_share->HoldResponse(Bytes());
  }
  co_return Check(error);
}

void HttpExchange::SetEndOfBodyPending(bool aIsPending)
{
  m_isEndOfBodyPending = aIsPending;
  ::linger const option{ aIsPending ? 1 : 0, 0 };
  // NOTE: The destructor of an Asio socket takes back an option that was set by Asio.
  ::setsockopt(LowestLayer().socket().native_handle(), SOL_SOCKET, SO_LINGER, &option,
               sizeof(option));
}

bool HttpExchange::HasBody(unsigned aStatus) const
{
  return !m_isHead && AllowsBody(aStatus);
}

asio::awaitable<HttpExchange::Result> HttpExchange::Respond(HttpResponse aResponse)
{
  HttpFraming framing;
  if (AllowsBody(aResponse.m_status)) {
    framing.m_contentLength = aResponse.m_body.size();
  }
  auto const text =
    RenderResponseHead(aResponse.m_status, aResponse.m_headers, framing, m_keepAlive);
  auto const body =
    HasBody(aResponse.m_status) ? asio::buffer(aResponse.m_body) : asio::const_buffer();
  m_started = true;
  Buffers const buffers{ asio::buffer(text), body, asio::const_buffer() };
  auto const result = co_await WriteBuffers(buffers);
  m_finished = result.has_value();
  co_return result;
}

asio::awaitable<HttpExchange::Result> HttpExchange::StartStream(unsigned aStatus,
                                                                HttpHeaders aHeaders)
{
  m_hasBody = HasBody(aStatus);
  if (m_hasBody && !m_mayChunk) {
    m_keepAlive = false;
    SetEndOfBodyPending(true);
  }
  HttpFraming const framing{ std::nullopt, m_mayChunk && AllowsBody(aStatus) };
  auto const text = RenderResponseHead(aStatus, aHeaders, framing, m_keepAlive);
  m_started = true;
  Buffers const buffers{ asio::buffer(text), asio::const_buffer(), asio::const_buffer() };
  co_return co_await WriteBuffers(buffers);
}

asio::awaitable<HttpExchange::Result> HttpExchange::Write(std::string_view aData)
{
  if (aData.empty() || !m_hasBody) {
    co_return Result{};
  }
  auto const data = asio::buffer(aData.data(), aData.size());
  if (!m_mayChunk) {
    Buffers const buffers{ data, asio::const_buffer(), asio::const_buffer() };
    co_return co_await WriteBuffers(buffers);
  }
  std::array<char, 2 * sizeof(std::size_t) + kLineEnd.size()> size;
  auto const digits = std::to_chars(size.data(), size.data() + size.size(), aData.size(), 16);
  auto* const end = std::copy(kLineEnd.begin(), kLineEnd.end(), digits.ptr);
  auto const sizeBytes = static_cast<std::size_t>(end - size.data());
  Buffers const buffers{ asio::buffer(size.data(), sizeBytes), data, asio::buffer(kLineEnd) };
  co_return co_await WriteBuffers(buffers);
}

asio::awaitable<HttpExchange::Result> HttpExchange::Finish()
{
  if (!m_mayChunk || !m_hasBody) {
    if (m_isEndOfBodyPending) {
      SetEndOfBodyPending(false);
    }
    m_finished = true;
    co_return Result{};
  }
  Buffers const buffers{ asio::buffer(kLastChunk), asio::const_buffer(), asio::const_buffer() };
  auto const result = co_await WriteBuffers(buffers);
  m_finished = result.has_value();
  co_return result;
}

void HttpExchange::HandlePeerDisconnected()
{
  m_isPeerDisconnected = true;
  m_keepAlive = false;
  if (m_onPeerDisconnected && !m_finished) {
    auto const callback = std::exchange(m_onPeerDisconnected, nullptr);
    callback();
  }
}

} // namespace sardinefold::base
