#include "Base/DatagramEndpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinefold::base {

namespace asio = boost::asio;
using asio::ip::udp;

tl::expected<void, std::string> DatagramEndpoint::Listen(Endpoint const& aEndpoint,
                                                         Handler aHandler)
{
  boost::system::error_code error;
  udp::endpoint const endpoint(asio::ip::make_address(aEndpoint.m_address, error),
                               aEndpoint.m_port);
  if (!error) {
    m_socket.open(endpoint.protocol(), error);
  }
  if (!error) {
    m_socket.bind(endpoint, error);
  }
  if (!error) {
    m_socket.non_blocking(true, error);
  }
  if (error) {
    return tl::make_unexpected("cannot bind " + aEndpoint.Text() + ": " + error.message());
  }
  m_loop.Start(Receive(std::move(aHandler)));
  return {};
}

asio::awaitable<void> DatagramEndpoint::Receive(Handler aHandler)
{
  // NOTE: Receiving reports errors of earlier sends, such as ICMP errors. They
  // fail one receive operation and leave the socket usable.
  while (m_socket.is_open()) {
    udp::endpoint sender;
    auto const buffer = asio::buffer(m_buffer);
    auto const [error, size] =
      co_await m_socket.async_receive_from(buffer, sender, asio::as_tuple(asio::use_awaitable));
    if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
      co_return;
    }
    if (!error) {
      Endpoint const from{ sender.address().to_string(), sender.port() };
      aHandler(std::string_view(m_buffer.data(), size), from);
    }
  }
}

void DatagramEndpoint::Send(Endpoint const& aReceiver, std::string_view aMessage)
{
  boost::system::error_code error;
  udp::endpoint const receiver(asio::ip::make_address(aReceiver.m_address, error),
                               aReceiver.m_port);
  if (!error) {
    m_socket.send_to(asio::buffer(aMessage.data(), aMessage.size()), receiver, 0, error);
  }
  if (error) {
    ++m_dropped;
  }
}

} // namespace sardinefold::base
