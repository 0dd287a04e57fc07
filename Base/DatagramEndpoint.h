#pragma once

#include "Base/Endpoint.h"
#include "Base/EventLoop.h"

#include <boost/asio/ip/udp.hpp>
#include <tl/expected.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>

namespace sardinefold::base {

/// Sends and receives datagrams among the system's processes. A datagram may
/// be lost, so each message states what is, rather than what has changed.
class DatagramEndpoint
{
public:
  using Handler = std::function<void(std::string_view aMessage, Endpoint const& aSender)>;

  explicit DatagramEndpoint(EventLoop& aLoop)
    : m_loop(aLoop)
    , m_socket(aLoop.Context())
  {
  }

  /// Binds and calls the handler with each message. The error says what the
  /// system answered.
  tl::expected<void, std::string> Listen(Endpoint const& aEndpoint, Handler aHandler);
  /// Never waits: what the system does not take at once is lost.
  void Send(Endpoint const& aReceiver, std::string_view aMessage);
  /// Messages that the system did not take.
  std::uint64_t Dropped() const { return m_dropped; }

private:
  static constexpr std::size_t kMaxDatagramBytes = 60'000;

  boost::asio::awaitable<void> Receive(Handler aHandler);

  EventLoop& m_loop;
  boost::asio::ip::udp::socket m_socket;
  std::array<char, kMaxDatagramBytes> m_buffer{};
  std::uint64_t m_dropped = 0;
};

} // namespace sardinefold::base
