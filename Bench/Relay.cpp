#include "Programs/ProgramLifecycle.h"
#include "Programs/SystemClock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <iostream>

using namespace sardinefold;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kChunkBytes = 16 * 1024;

/// Relays the requests of a connection over one connection to the next hop.
/// Requests are buffered completely; responses are relayed chunk by chunk.
asio::awaitable<void> Relay(tcp::socket aSocket, tcp::endpoint aNext)
{
  boost::beast::tcp_stream client(std::move(aSocket));
  boost::beast::tcp_stream server(client.get_executor());
  auto const [connectError] = co_await server.async_connect(aNext, kAwait);
  if (connectError) {
    co_return;
  }
  server.socket().set_option(tcp::no_delay(true));
  client.socket().set_option(tcp::no_delay(true));
  boost::beast::flat_buffer fromClient;
  boost::beast::flat_buffer fromServer;
  std::vector<char> chunk(kChunkBytes);
  while (true) {
    http::request_parser<http::string_body> request;
    auto const [readError, read] = co_await http::async_read(client, fromClient, request, kAwait);
    if (readError) {
      co_return;
    }
    auto message = request.release();
    auto const [sendError, sent] = co_await http::async_write(server, message, kAwait);
    http::response_parser<http::buffer_body> response;
    response.body_limit(boost::none);
    auto const [headError, head] =
      co_await http::async_read_header(server, fromServer, response, kAwait);
    if (sendError || headError) {
      co_return;
    }
    http::response_serializer<http::buffer_body, http::fields> serializer(response.get());
    response.get().body().data = nullptr;
    response.get().body().more = true;
    auto const [headWriteError, headWritten] =
      co_await http::async_write_header(client, serializer, kAwait);
    if (headWriteError) {
      co_return;
    }
    while (!response.is_done() || !serializer.is_done()) {
      auto& body = response.get().body();
      if (!response.is_done()) {
        body.data = chunk.data();
        body.size = chunk.size();
        auto const [error, size] =
          co_await http::async_read_some(server, fromServer, response, kAwait);
        if (error && error != http::error::need_buffer) {
          co_return;
        }
        body.size = chunk.size() - body.size;
        body.data = chunk.data();
        body.more = !response.is_done();
        if (body.size == 0 && body.more) {
          // An empty chunk would end the body.
          continue;
        }
      } else {
        body.data = nullptr;
        body.size = 0;
        body.more = false;
      }
      auto const [error, size] = co_await http::async_write(client, serializer, kAwait);
      if (error && error != http::error::need_buffer) {
        co_return;
      }
    }
  }
}

asio::awaitable<void> Accept(tcp::acceptor& aAcceptor, tcp::endpoint aNext)
{
  while (true) {
    auto [error, socket] = co_await aAcceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    asio::co_spawn(aAcceptor.get_executor(), Relay(std::move(socket), aNext), asio::detached);
  }
}

tcp::endpoint ToEndpoint(base::Endpoint const& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.m_address), aEndpoint.m_port };
}

base::SettingsTable Table()
{
  using base::SettingKind;
  return { "baseline-relay",
           "Relays HTTP to the next hop; the baseline of the speed benchmark.",
           {
             { "listen", SettingKind::Address, "Address to listen on", std::nullopt },
             { "next", SettingKind::Address, "Next hop", std::nullopt },
             { "log-level", SettingKind::Text, "Lowest level logged", "info" },
           } };
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  auto const start = programs::StartProgram(Table(), "baseline-relay", aArgumentCount, aArguments);
  if (!start.m_settings) {
    return start.m_exitStatus;
  }
  asio::io_context context(1);
  tcp::acceptor acceptor(context, ToEndpoint(start.m_settings->Address("listen")));
  asio::co_spawn(context, Accept(acceptor, ToEndpoint(start.m_settings->Address("next"))),
                 asio::detached);
  base::log::Info("ready");
  context.run();
}
