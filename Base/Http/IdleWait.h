#pragma once

#include "Base/Http/ReadDeadline.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace sardinefold::base {

/// One connection's wait for its next request. The limit, or Cancel(), cancels the
/// pending read and leaves the socket open, as input may have arrived meanwhile.
class IdleWait
{
public:
  IdleWait(boost::asio::ip::tcp::socket& aSocket, Duration aLimit)
    : m_deadline(aSocket)
  {
    m_deadline.Start(aLimit);
  }

  void Cancel() { m_deadline.Expire(); }
  /// Has to complete before the destruction.
  boost::asio::awaitable<bool> Stop() { return m_deadline.Stop(); }

private:
  ReadDeadline m_deadline;
};

} // namespace sardinefold::base
