#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/IdleLimit.h"
#include "Base/Http/ReadDeadline.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sardinefold::base {

/// One connection's wait for its next request. The limit, or Cancel(), cancels the
/// pending read and leaves the socket open, as input may have arrived meanwhile.
class IdleWait
{
public:
  /// The arguments must outlive the wait.
  IdleWait(EventLoop& aLoop, boost::asio::ip::tcp::socket& aSocket, IdleLimit const& aLimit)
    : m_loop(aLoop)
    , m_limit(aLimit)
    , m_began(aLoop.Now())
    , m_deadline(aSocket)
  {
    m_deadline.Start([this] { return m_limit.ExpiryOf(m_began) - m_loop.Now(); });
  }

  void Cancel() { m_deadline.Expire(); }
  /// Has to complete before the destruction.
  boost::asio::awaitable<bool> Stop() { return m_deadline.Stop(); }

private:
  EventLoop& m_loop;
  IdleLimit const& m_limit;
  Instant m_began;
  ReadDeadline m_deadline;
};

} // namespace sardinefold::base
