#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Http/HttpServer.h"
#include "StandIns/Common/FaultSwitches.h"

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <cstdint>
#include <string>

namespace sardinefold::standins {

/// Answers an error as {"error":{"code","message"}}.
base::HttpResponse ErrorResponse(unsigned aStatus, std::string const& aCode,
                                 std::string const& aMessage);
base::HttpResponse JsonValueResponse(unsigned aStatus, Json::Value const& aValue);

/// What every stand-in's HTTP side has in common: the administration of its
/// faults, and the faults that need no knowledge of what is served.
class FaultInjector
{
public:
  explicit FaultInjector(base::EventLoop& aLoop);

  FaultSwitches& Faults() { return m_faults; }
  /// Names the server whose connections can be silenced.
  void Attach(base::HttpServer const& aServer) { m_server = &aServer; }

  /// Serves GET and PUT of /admin/faults; false if the request is another.
  boost::asio::awaitable<bool> ServeFaults(base::HttpExchange& aExchange);

  /// Applies silence, outage and delay. False if the request must not be
  /// served; it has had its error then, or never gets an body.
  boost::asio::awaitable<bool> Admit(base::HttpExchange& aExchange);

  /// Sends the response, unless its connection has gone silent.
  boost::asio::awaitable<void> Respond(base::HttpExchange& aExchange, base::HttpResponse aResponse);

  /// Like Respond(), for a request that has taken effect: while answers are to
  /// be lost, the connection is closed in place of the body.
  boost::asio::awaitable<void> RespondAfterSideEffect(base::HttpExchange& aExchange,
                                                      base::HttpResponse aResponse);

  bool IsSilenced(base::HttpExchange const& aExchange) const;
  /// Holds a silent connection until its peer closes it.
  boost::asio::awaitable<void> HoldOpen(base::HttpExchange& aExchange);

private:
  base::EventLoop& m_loop;
  base::HttpServer const* m_server = nullptr;
  FaultSwitches m_faults;
  bool m_outage = false;
  bool m_throttle = false;
  base::Duration m_delay{};
  std::uint64_t m_responsesToLose = 0;
  std::uint64_t m_lastSilencedConnection = 0;
};

} // namespace sardinefold::standins
