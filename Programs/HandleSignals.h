#pragma once

#include "Base/EventLoop.h"
#include "Base/Log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <concepts>
#include <csignal>

namespace sardinefold::programs {

/// Shuts the program down on SIGTERM and SIGINT, and calls aReload on SIGHUP.
template<typename Program, std::invocable Reload>
boost::asio::awaitable<void> HandleSignals(base::EventLoop& aLoop, Program& aProgram,
                                           Reload aReload)
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
    base::log::Info("settings reload requested");
    aReload();
  }
  co_await aProgram.Shutdown();
}

} // namespace sardinefold::programs
