#include "Base/Signal.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sardinefold::base {

boost::asio::awaitable<void> Signal::Wait(Duration aLimit)
{
  boost::asio::steady_timer timer(m_context);
  timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(aLimit));
  auto const position = m_waiting.insert(m_waiting.end(), &timer);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  m_waiting.erase(position);
}

void Signal::Notify()
{
  for (auto* const timer : m_waiting) {
    timer->cancel();
  }
}

} // namespace sardinefold::base
