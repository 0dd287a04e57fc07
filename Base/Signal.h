#pragma once

#include "Base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace sardinefold::base {

/// A condition variable for coroutines of one event loop.
class Signal
{
public:
  explicit Signal(boost::asio::io_context& aContext)
    : m_context(aContext)
  {
  }
  Signal(Signal const&) = delete;
  Signal& operator=(Signal const&) = delete;

  /// Suspends the coroutine until the next Notify() or until the timeout.
  boost::asio::awaitable<void> Wait(Duration aTimeout);
  /// Wakes all coroutines that are waiting now.
  void Notify();

private:
  boost::asio::io_context& m_context;
  std::list<boost::asio::steady_timer*> m_waiters;
};

} // namespace sardinefold::base
