#include "Base/Signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinefold::base {

boost::asio::awaitable<void> Signal::Wait(Duration aTimeout)
{
  boost::asio::steady_timer timer(m_context);
  timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(aTimeout));
  auto const position = m_waiters.insert(m_waiters.end(), &timer);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  m_waiters.erase(position);
}

void Signal::Notify()
{
  for (auto* const timer : m_waiters) {
    timer->cancel();
  }
}

} // namespace sardinefold::base
