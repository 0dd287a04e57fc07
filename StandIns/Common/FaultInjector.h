#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpExchange.h"
#include "Base/Http/HttpServer.h"
#include "StandIns/Common/FaultSwitches.h"

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace sardinefold::standins {

/// Returns an error response with the body {"error":{"code","message"}}.
base::HttpResponse ErrorResponse(unsigned aStatus, std::string const& aCode,
                                 std::string const& aMessage);
base::HttpResponse JsonValueResponse(unsigned aStatus, Json::Value const& aValue);

/// HTTP handling that all stand-ins share: the administration of faults, and
/// the faults that do not depend on what is served.
class FaultInjector
{
public:
  explicit FaultInjector(base::EventLoop& aLoop);

  FaultSwitches& Faults() { return m_faults; }
  /// Sets the server whose connections can be silenced.
  void Attach(base::HttpServer const& aServer) { m_server = &aServer; }
  /// Sets what completes each response, errors included, just before it is sent.
  void SetFinisher(std::function<void(base::HttpResponse&)> aFinisher)
  {
    m_finisher = std::move(aFinisher);
  }

  /// Serves GET and PUT of /admin/faults. Returns false for any other request.
  boost::asio::awaitable<bool> ServeFaults(base::HttpExchange& aExchange);

  /// Applies late copies, silence, delay, outage and throttling. Returns false if the
  /// request must not be served: an error has been sent, or the connection is
  /// silenced and gets no response.
  boost::asio::awaitable<bool> Admit(base::HttpExchange& aExchange);

  /// Sends the response, unless the connection is silenced.
  boost::asio::awaitable<void> Respond(base::HttpExchange& aExchange, base::HttpResponse aResponse);

  /// Like Respond(), for a request that has taken effect. While responses are
  /// to be lost, closes the connection instead of responding.
  boost::asio::awaitable<void> RespondAfterSideEffect(base::HttpExchange& aExchange,
                                                      base::HttpResponse aResponse);

  bool IsSilenced(base::HttpExchange const& aExchange) const;
  /// Keeps a silenced connection open until its peer closes it.
  boost::asio::awaitable<void> HoldOpen(base::HttpExchange& aExchange);

private:
  boost::asio::awaitable<void> SendLateCopy(base::HttpExchange& aExchange);
  void KeepCopy(base::HttpExchange const& aExchange, base::HttpResponse const& aResponse);

  base::EventLoop& m_loop;
  base::HttpServer const* m_server = nullptr;
  FaultSwitches m_faults;
  std::function<void(base::HttpResponse&)> m_finisher = [](base::HttpResponse&) {};
  bool m_outage = false;
  bool m_throttle = false;
  base::Duration m_delay{};
  std::uint64_t m_responsesToLose = 0;
  /// This many of the next responses with a status of 400 or more are sent once more when
  /// the next request arrives on their connection, before its response.
  std::uint64_t m_refusalsToCopy = 0;
  /// The copies to send, by the number of the connection.
  std::map<std::uint64_t, base::HttpResponse> m_copies;
  std::uint64_t m_lastSilencedConnection = 0;
};

} // namespace sardinefold::standins
