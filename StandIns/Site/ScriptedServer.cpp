#include "StandIns/Site/ScriptedServer.h"

#include <boost/algorithm/string/replace.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
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

std::string FieldOf(std::string const& aHead, std::string const& aName)
{
  auto const start = aHead.find("\r\n" + aName + ": ");
  if (start == std::string::npos) {
    return "";
  }
  auto const value = start + aName.size() + 4;
  return aHead.substr(value, aHead.find("\r\n", value) - value);
}

} // namespace

ScriptedServer::ScriptedServer(base::EventLoop& aLoop, std::vector<ScriptedResponse> aScript)
  : m_loop(aLoop)
  , m_script(std::move(aScript))
  , m_acceptor(aLoop.Context())
{
}

tl::expected<void, std::string> ScriptedServer::Listen(base::Endpoint const& aAddress)
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

asio::awaitable<void> ScriptedServer::Accept()
{
  while (true) {
    auto [error, socket] = co_await m_acceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    ++m_connections;
    m_loop.Start(Serve(std::move(socket)));
  }
}

asio::awaitable<void> ScriptedServer::Serve(asio::ip::tcp::socket aSocket)
{
  std::string input;
  for (bool isReused = false;; isReused = true) {
    auto const [readError, headBytes] = co_await asio::async_read_until(
      aSocket, asio::dynamic_buffer(input, kMaximumRequestBytes), "\r\n\r\n", kAwait);
    if (readError) {
      co_return;
    }
    auto const head = input.substr(0, headBytes);
    input.erase(0, headBytes);
    auto const& response = m_script[std::min(m_requests, m_script.size() - 1)];
    ++m_requests;
    std::size_t bodyBytes = 0;
    auto const length = FieldOf(head, "Content-Length");
    std::from_chars(length.data(), length.data() + length.size(), bodyBytes);
    if (!response.m_isEarly && bodyBytes > input.size()) {
      auto const [bodyError, size] =
        co_await asio::async_read(aSocket, asio::dynamic_buffer(input),
                                  asio::transfer_exactly(bodyBytes - input.size()), kAwait);
      if (bodyError) {
        co_return;
      }
    }
    input.erase(0, std::min(bodyBytes, input.size()));
    auto const id = FieldOf(head, "Request-Id");
    auto text = (isReused ? response.m_textIfReused : "") + response.m_text;
    boost::replace_all(text, "{id}", id);
    boost::replace_all(text, "{previous}", m_previousId);
    m_previousId = id;
    co_await asio::async_write(aSocket, asio::buffer(text), kAwait);
    if (response.m_pause > base::Duration::zero()) {
      co_await m_loop.Sleep(response.m_pause);
    }
    if (response.m_end != ScriptedResponse::End::KeepOpen) {
      co_await End(aSocket, response.m_end);
      co_return;
    }
  }
}

asio::awaitable<void> ScriptedServer::End(asio::ip::tcp::socket& aSocket,
                                          ScriptedResponse::End aEnd)
{
  boost::system::error_code error;
  if (aEnd == ScriptedResponse::End::Reset) {
    aSocket.set_option(asio::socket_base::linger(true, 0), error);
  }
  if (aEnd == ScriptedResponse::End::HalfClose) {
    aSocket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::array<char, kMaximumRequestBytes> discarded;
    while (!error) {
      auto const [readError, size] =
        co_await aSocket.async_read_some(asio::buffer(discarded), kAwait);
      error = readError;
    }
  }
  // The socket's destructor would discard the linger option.
  aSocket.close(error);
}

} // namespace sardinefold::standins
