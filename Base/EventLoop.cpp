#include "Base/EventLoop.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

namespace sardinefold::base {

EventLoop::EventLoop(MonotonicClock aMonotonicClock, WallClock aWallClock)
  : m_monotonicClock(aMonotonicClock)
  , m_wallClock(aWallClock)
{
}

boost::asio::awaitable<void> EventLoop::Sleep(Duration aDuration)
{
  boost::asio::steady_timer timer(m_context);
  timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(aDuration));
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

boost::asio::awaitable<void> EventLoop::Yield()
{
  co_await boost::asio::post(m_context, boost::asio::use_awaitable);
}

void EventLoop::Start(boost::asio::awaitable<void> aCoroutine)
{
  auto const rethrow = [](std::exception_ptr const& aException) {
    if (aException) {
      std::rethrow_exception(aException);
    }
  };
  boost::asio::co_spawn(m_context, std::move(aCoroutine), rethrow);
}

void EventLoop::Run()
{
  auto const work = boost::asio::make_work_guard(m_context);
  m_context.run();
}

void EventLoop::Stop()
{
  m_context.stop();
}

} // namespace sardinefold::base
