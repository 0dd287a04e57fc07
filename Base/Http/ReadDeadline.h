#pragma once

#include "Base/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinefold::base {

/// Cancels the pending reads of a socket when a timeout expires. The socket stays
/// open, so that an error response can still be sent to the peer.
class ReadDeadline
{
public:
  explicit ReadDeadline(boost::asio::ip::tcp::socket& aSocket)
    : m_socket(aSocket)
    , m_timer(aSocket.get_executor())
  {
  }
  ReadDeadline(ReadDeadline const&) = delete;
  ReadDeadline& operator=(ReadDeadline const&) = delete;

  /// Starts the timer. Stop() has to complete before the next Start() and before
  /// the destruction.
  void Start(Duration aTimeout)
  {
    m_hasExpired = false;
    m_isArmed = true;
    m_timer.expires_after(aTimeout);
    m_timer.async_wait([this](boost::system::error_code aError) {
      m_isArmed = false;
      if (!aError) {
        m_hasExpired = true;
        boost::system::error_code ignored;
        m_socket.cancel(ignored);
      }
    });
  }

  /// Stops the timer and returns whether it had expired.
  boost::asio::awaitable<bool> Stop()
  {
    m_timer.cancel();
    // The handler refers to this object and may be queued already.
    while (m_isArmed) {
      co_await boost::asio::post(m_timer.get_executor(), boost::asio::use_awaitable);
    }
    co_return m_hasExpired;
  }

private:
  boost::asio::ip::tcp::socket& m_socket;
  boost::asio::steady_timer m_timer;
  bool m_isArmed = false;
  bool m_hasExpired = false;
};

} // namespace sardinefold::base
