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

/// Sends and receives UDP datagrams between the system's processes. Datagrams
/// may be lost, so each message carries the full state and not a change to it.
class DatagramEndpoint
{
public:
  using Handler = std::function<void(std::string_view aMessage, Endpoint const& aSender)>;

  explicit DatagramEndpoint(EventLoop& aLoop)
    : m_loop(aLoop)
    , m_socket(aLoop.Context())
  {
  }

  /// Binds the socket and calls the handler with each message received. The
  /// error carries the operating system's message.
  tl::expected<void, std::string> Listen(Endpoint const& aEndpoint, Handler aHandler);
  /// Sends without blocking: a message that the operating system does not accept
  /// at once is dropped.
  void Send(Endpoint const& aReceiver, std::string_view aMessage);
  /// Returns the number of messages that Send() dropped.
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
