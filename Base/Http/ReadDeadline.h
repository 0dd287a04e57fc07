#pragma once

#include "Base/Time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <utility>

namespace sardinefold::base {

/// Cancels the pending reads of a socket when a timeout expires. The socket stays
/// open, so that an error response can still be sent to the peer.
class ReadDeadline
{
public:
  /// Returns the time that is left, which may grow while the deadline is pending.
  using TimeLeft = std::function<Duration()>;

  explicit ReadDeadline(boost::asio::ip::tcp::socket& aSocket)
    : m_socket(aSocket)
    , m_timer(aSocket.get_executor())
  {
  }
  ReadDeadline(ReadDeadline const&) = delete;
  ReadDeadline& operator=(ReadDeadline const&) = delete;

  /// Starts the timer. Stop() has to complete before the next Start() and before
  /// the destruction.
  void Start(TimeLeft aTimeLeft)
  {
    m_timeLeft = std::move(aTimeLeft);
    m_hasExpired = false;
    m_isStopped = false;
    Arm(m_timeLeft());
  }
  void Start(Duration aTimeout)
  {
    Start([isFirst = true, aTimeout]() mutable {
      return std::exchange(isFirst, false) ? aTimeout : Duration::zero();
    });
  }

  /// Ends the time that is left.
  void Expire()
  {
    m_timeLeft = [] { return Duration::zero(); };
    m_timer.cancel();
  }

  /// Stops the timer and returns whether it had expired.
  boost::asio::awaitable<bool> Stop()
  {
    m_isStopped = true;
    m_timer.cancel();
    // The handler refers to this object and may be queued already.
    while (m_isArmed) {
      co_await boost::asio::post(m_timer.get_executor(), boost::asio::use_awaitable);
    }
    co_return m_hasExpired;
  }

private:
  /// An operation of several reads starts another one if its last read had completed
  /// before the cancellation, so that the cancellation is repeated.
  static constexpr Duration kRepeatInterval = std::chrono::milliseconds(50);

  void Arm(Duration aTimeout)
  {
    m_isArmed = true;
    m_timer.expires_after(aTimeout);
    m_timer.async_wait([this](boost::system::error_code) { OnTimer(); });
  }

  void OnTimer()
  {
    m_isArmed = false;
    if (m_isStopped) {
      return;
    }
    if (auto const left = m_timeLeft(); left > Duration::zero()) {
      Arm(left);
      return;
    }
    m_hasExpired = true;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
    Arm(kRepeatInterval);
  }

  boost::asio::ip::tcp::socket& m_socket;
  boost::asio::steady_timer m_timer;
  TimeLeft m_timeLeft;
  bool m_isArmed = false;
  bool m_isStopped = false;
  bool m_hasExpired = false;
};

} // namespace sardinefold::base
