#pragma once

#include "Base/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace sardinefold::base {

/// Reads a clock; only the programs supply one.
using MonotonicClock = Instant (*)();
using WallClock = WallTime (*)();

/// The single loop of a program, run by its single thread.
class EventLoop
{
public:
  EventLoop(MonotonicClock aMonotonicClock, WallClock aWallClock);

  boost::asio::io_context& Context() { return m_context; }
  Instant Now() const { return m_monotonicClock(); }
  WallTime WallNow() const { return m_wallClock(); }

  /// Suspends the calling coroutine for the given time.
  boost::asio::awaitable<void> Sleep(Duration aDuration);

  /// Starts a coroutine on the loop. An exception that leaves it ends the
  /// program, since it is a fault of the program.
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
