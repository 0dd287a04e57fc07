#pragma once

#include "Base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace sardinefold::base {

/// Functions that read a clock. Only the programs supply them.
using MonotonicClock = Instant (*)();
using WallClock = WallTime (*)();

/// The only event loop of a program, run by its only thread.
class EventLoop
{
public:
  EventLoop(MonotonicClock aMonotonicClock, WallClock aWallClock);

  boost::asio::io_context& Context() { return m_context; }
  Instant Now() const { return m_monotonicClock(); }
  WallTime WallNow() const { return m_wallClock(); }

  /// Suspends the calling coroutine for the given time.
  boost::asio::awaitable<void> Sleep(Duration aDuration);
  /// Suspends the calling coroutine until the loop has handled what is ready now.
  boost::asio::awaitable<void> Yield();

  /// Starts a coroutine on the loop. An exception that escapes the coroutine is a
  /// programming error and terminates the program.
  void Start(boost::asio::awaitable<void> aCoroutine);

  /// Runs until Stop().
  void Run();
  void Stop();

private:
  boost::asio::io_context m_context{ 1 };
  MonotonicClock m_monotonicClock;
  WallClock m_wallClock;
};

} // namespace sardinefold::base
