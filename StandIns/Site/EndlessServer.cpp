#include "StandIns/Site/EndlessServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace sardinefold::standins {

namespace asio = boost::asio;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaximumRequestBytes = 64UL * 1024;
constexpr base::Duration kClosePollInterval = std::chrono::milliseconds(10);

std::string AsChunk(std::string const& aData)
{
  std::array<char, 2 * sizeof(std::size_t)> digits{};
  auto const end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aData.size(), 16).ptr;
  return std::string(digits.data(), end) + "\r\n" + aData + "\r\n";
}

/// Returns events without fields, with further line ends between them.
std::string EmptyEvents(std::size_t aBytes)
{
  std::string events;
  while (events.size() < aBytes) {
    events += "\n\n\r";
  }
  return events;
}

/// Returns the header line with the request's id.
std::string IdLine(std::string const& aRequest)
{
  constexpr std::string_view kName = "Request-Id:";
  auto const start = aRequest.find(kName);
  if (start == std::string::npos) {
    return "";
  }
  return aRequest.substr(start, aRequest.find("\r\n", start) + 2 - start);
}

} // namespace

EndlessServer::EndlessServer(base::EventLoop& aLoop, EndlessResponse aResponse)
  : m_loop(aLoop)
  , m_response(std::move(aResponse))
  , m_fragment(Fragment())
  , m_acceptor(aLoop.Context())
{
}

tl::expected<void, std::string> EndlessServer::Listen(base::Endpoint const& aAddress)
{
  boost::system::error_code error;
  asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(aAddress.m_address, error),
                                         aAddress.m_port);
  m_acceptor.open(asio::ip::tcp::v4(), error);
  m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
  m_acceptor.bind(endpoint, error);
  if (!error) {
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::make_unexpected(aAddress.Text() + ": " + error.message());
  }
  m_loop.Start(Accept());
  return {};
}

asio::awaitable<void> EndlessServer::Accept()
{
  while (true) {
    auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    m_loop.Start(Respond(std::move(socket)));
  }
}

std::string EndlessServer::Head(std::string const& aRequest) const
{
  auto status = "HTTP/1.1 " + std::to_string(m_response.m_status) + " X\r\n" + IdLine(aRequest);
  switch (m_response.m_part) {
    case EndlessPart::InterimResponses:
      return "";
    case EndlessPart::Head:
      return status;
    case EndlessPart::UnframedBody:
      return status + m_response.m_fields + "Connection: close\r\n\r\n";
    case EndlessPart::OtherResponse:
      return "HTTP/1.1 200 X\r\nRequest-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n";
    case EndlessPart::ChunkExtension:
      return status + m_response.m_fields + "Transfer-Encoding: chunked\r\n\r\n1;extension=";
    case EndlessPart::Trailer:
      return status + m_response.m_fields + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    default:
      return status + m_response.m_fields + "Transfer-Encoding: chunked\r\n\r\n";
  }
}

std::string EndlessServer::Fragment() const
{
  std::string padding(m_response.m_fragmentBytes, 'x');
  switch (m_response.m_part) {
    case EndlessPart::InterimResponses:
      return "HTTP/1.1 102 Processing\r\n\r\n";
    case EndlessPart::Head:
    case EndlessPart::Trailer:
      return "Field: " + padding + "\r\n";
    case EndlessPart::ChunkedBody:
    case EndlessPart::OtherResponse:
    case EndlessPart::Event:
      return AsChunk(padding);
    case EndlessPart::EmptyEvents:
      return AsChunk(EmptyEvents(m_response.m_fragmentBytes));
    default:
      return padding;
  }
}

asio::awaitable<bool> EndlessServer::WaitForClose(asio::ip::tcp::socket& aSocket)
{
  auto const end = m_loop.Now() + m_response.m_interval;
  while (m_loop.Now() < end) {
    std::array<char, 1024> ignored{};
    boost::system::error_code error;
    aSocket.read_some(asio::buffer(ignored), error);
    if (error && error != asio::error::would_block) {
      co_return true;
    }
    co_await m_loop.Sleep(std::min(end - m_loop.Now(), kClosePollInterval));
  }
  co_return false;
}

asio::awaitable<void> EndlessServer::Respond(asio::ip::tcp::socket aSocket)
{
  std::string request;
  auto const [readError, size] = co_await asio::async_read_until(
    aSocket, asio::dynamic_buffer(request, kMaximumRequestBytes), "\r\n\r\n", kAwait);
  if (readError) {
    co_return;
  }
  ++m_requests;
  ++m_open;
  auto const head = Head(request);
  aSocket.non_blocking(true);
  auto text = asio::buffer(head);
  bool isHead = true;
  bool isClosed = false;
  while (!isClosed && (isHead || !m_response.m_endsAfterHead)) {
    auto const [error, written] = co_await asio::async_write(aSocket, text, kAwait);
    m_bytesWritten += written;
    text = asio::buffer(m_fragment);
    isHead = false;
    isClosed = error || co_await WaitForClose(aSocket);
  }
  --m_open;
}

} // namespace sardinefold::standins
