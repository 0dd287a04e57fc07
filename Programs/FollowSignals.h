#pragma once

#include "Base/EventLoop.h"
#include "Base/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace sardinefold::programs {

/// Shuts the program down on SIGTERM and SIGINT. SIGHUP is noted and changes
/// nothing: what the programs read from their settings holds for their life.
template<typename Program>
boost::asio::awaitable<void> FollowSignals(base::EventLoop& aLoop, Program& aProgram)
{
  boost::asio::signal_set signals(aLoop.Context(), SIGTERM, SIGINT, SIGHUP);
  while (true) {
    auto const [error, signal] =
      co_await signals.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    if (error) {
      co_return;
    }
    if (signal != SIGHUP) {
      break;
    }
    base::log::Info("reload asked for");
  }
  co_await aProgram.Shutdown();
}

} // namespace sardinefold::programs
