#pragma once

#include "Base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace sardinefold::base {

/// Lets coroutines of one loop wait until something has changed.
class Signal
{
public:
  explicit Signal(boost::asio::io_context& aContext)
    : m_context(aContext)
  {
  }
  Signal(Signal const&) = delete;
  Signal& operator=(Signal const&) = delete;

  /// Completes at the next Notify(), or after the given time.
  boost::asio::awaitable<void> Wait(Duration aTimeout);
  /// Wakes all that wait now.
  void Notify();

private:
  boost::asio::io_context& m_context;
  std::list<boost::asio::steady_timer*> m_waiters;
};

} // namespace sardinefold::base
