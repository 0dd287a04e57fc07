#include "StandIns/Common/FaultInjector.h"

#include "Base/Json.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdlib>

namespace sardinefold::standins {

namespace asio = boost::asio;

base::HttpResponse JsonValueResponse(unsigned aStatus, Json::Value const& aValue)
{
  return base::JsonResponse(aStatus, base::RenderJson(aValue));
}

base::HttpResponse ErrorResponse(unsigned aStatus, std::string const& aCode,
                                 std::string const& aMessage)
{
  Json::Value value;
  value["error"]["code"] = aCode;
  value["error"]["message"] = aMessage;
  return JsonValueResponse(aStatus, value);
}

FaultInjector::FaultInjector(base::EventLoop& aLoop)
  : m_loop(aLoop)
{
  m_faults.AddFlag("outage", m_outage);
  m_faults.AddFlag("throttle", m_throttle);
  m_faults.AddMilliseconds("delay_ms", m_delay);
  m_faults.AddCount("lose_answers", m_responsesToLose);
  m_faults.AddCount("copy_refusals", m_refusalsToCopy);
  m_faults.AddAction("silence_connections", [this] {
    m_lastSilencedConnection = m_server ? m_server->AcceptedConnections() : 0;
  });
  m_faults.AddAction("die", [] { std::_Exit(EXIT_FAILURE); });
}

asio::awaitable<bool> FaultInjector::ServeFaults(base::HttpExchange& aExchange)
{
  auto const& request = aExchange.Request();
  if (request.Path() != "/admin/faults") {
    co_return false;
  }
  auto response = JsonValueResponse(200, m_faults.Render());
  if (request.m_method == "PUT") {
    auto const body = base::ParseJson(request.m_body);
    auto const applied = body ? m_faults.Apply(*body) : tl::make_unexpected(body.error());
    response = applied ? JsonValueResponse(200, m_faults.Render())
                       : ErrorResponse(400, "invalid_faults", applied.error());
  }
  co_await aExchange.Respond(std::move(response));
  co_return true;
}

bool FaultInjector::IsSilenced(base::HttpExchange const& aExchange) const
{
  return aExchange.ConnectionNumber() <= m_lastSilencedConnection;
}

asio::awaitable<void> FaultInjector::HoldOpen(base::HttpExchange& aExchange)
{
  asio::steady_timer timer(m_loop.Context());
  timer.expires_at(asio::steady_timer::time_point::max());
  aExchange.OnPeerDisconnected([&timer] { timer.cancel(); });
  if (aExchange.IsPeerDisconnected()) {
    co_return;
  }
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> FaultInjector::SendLateCopy(base::HttpExchange& aExchange)
{
  auto copy = m_copies.extract(aExchange.ConnectionNumber());
  if (copy) {
    co_await aExchange.Respond(std::move(copy.mapped()));
  }
}

void FaultInjector::KeepCopy(base::HttpExchange const& aExchange,
                             base::HttpResponse const& aResponse)
{
  constexpr unsigned kFirstErrorStatus = 400;
  if (m_refusalsToCopy > 0 && aResponse.m_status >= kFirstErrorStatus) {
    --m_refusalsToCopy;
    m_copies.insert_or_assign(aExchange.ConnectionNumber(), aResponse);
  }
}

asio::awaitable<bool> FaultInjector::Admit(base::HttpExchange& aExchange)
{
  if (IsSilenced(aExchange)) {
    co_await HoldOpen(aExchange);
    co_return false;
  }
  co_await SendLateCopy(aExchange);
  if (m_delay > base::Duration::zero()) {
    co_await m_loop.Sleep(m_delay);
  }
  if (m_outage) {
    auto response = ErrorResponse(503, "unavailable", "an outage is switched on");
    co_await Respond(aExchange, std::move(response));
    co_return false;
  }
  if (m_throttle) {
    auto response = ErrorResponse(429, "throttled", "throttling is switched on");
    response.m_headers.Add("Retry-After", "1");
    co_await Respond(aExchange, std::move(response));
    co_return false;
  }
  co_return true;
}

asio::awaitable<void> FaultInjector::Respond(base::HttpExchange& aExchange,
                                             base::HttpResponse aResponse)
{
  if (IsSilenced(aExchange)) {
    co_await HoldOpen(aExchange);
    co_return;
  }
  m_finisher(aResponse);
  KeepCopy(aExchange, aResponse);
  co_await aExchange.Respond(std::move(aResponse));
}

asio::awaitable<void> FaultInjector::RespondAfterSideEffect(base::HttpExchange& aExchange,
                                                            base::HttpResponse aResponse)
{
  if (m_responsesToLose > 0) {
    --m_responsesToLose;
    // An exchange that ends without a response closes its connection.
    co_return;
  }
  co_await Respond(aExchange, std::move(aResponse));
}

} // namespace sardinefold::standins
