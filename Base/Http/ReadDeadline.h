#pragma once

#include "Base/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinefold::base {

/// Ends the reads of a socket after some time and leaves the socket open, so
/// that the peer can still be told why.
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

  /// Stop() has to complete before the next start and before the destruction.
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

  /// Returns whether the time was over before.
  boost::asio::awaitable<bool> Stop()
  {
    m_timer.cancel();
    // The handler refers to this object and may be on its way already.
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
