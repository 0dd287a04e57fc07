#include "StandIns/Service/ServiceStandIn.h"

#include "Base/Digest.h"
#include "StandIns/Common/StandInProgram.h"

#include <charconv>
#include <cstdlib>

namespace sardinefold::standins {

namespace asio = boost::asio;

base::SettingsTable ServiceStandIn::Table()
{
  using base::SettingKind;
  return base::SettingsTable(
    "standin-service", "Takes the place of a plain service whose POST calls must not repeat.",
    WithCommonSettings({ { "work-ms", SettingKind::Milliseconds, "time that a call takes", "5" },
                         { "poison", SettingKind::Text,
                           "a body with this text ends the process; empty for none", "" } }));
}

tl::expected<std::unique_ptr<ServiceStandIn>, std::string> ServiceStandIn::Create(
  base::EventLoop& aLoop, base::Settings const& aSettings)
{
  auto standIn = std::make_unique<ServiceStandIn>(aLoop, aSettings.Milliseconds("work-ms"));
  standIn->m_poison = aSettings.Text("poison");
  return standIn;
}

ServiceStandIn::ServiceStandIn(base::EventLoop& aLoop, base::Duration aWorkTime)
  : m_loop(aLoop)
  , m_faultInjector(aLoop)
  , m_workTime(aWorkTime)
{
  m_faultInjector.Faults().AddMilliseconds("work_ms", m_workTime);
  m_faultInjector.Faults().AddText("poison", m_poison);
}

asio::awaitable<void> ServiceStandIn::Serve(base::HttpExchange& aExchange)
{
  auto const& request = aExchange.Request();
  if (request.Path().starts_with("/admin/")) {
    co_await ServeAdmin(aExchange);
    co_return;
  }
  if (!co_await m_faultInjector.Admit(aExchange)) {
    co_return;
  }
  if (request.Path() == "/load") {
    Json::Value load;
    load["running"] = Json::Value::UInt64(m_running);
    auto response = JsonValueResponse(200, load);
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  if (!m_poison.empty() && request.m_body.find(m_poison) != std::string::npos) {
    std::_Exit(EXIT_FAILURE);
  }
  auto const sequence = m_executionLog.Add(request, m_loop.WallNow()).m_sequence;
  auto response = Execute(request);
  ++m_running;
  co_await m_loop.Sleep(m_workTime);
  --m_running;
  m_executionLog.End(sequence, "finished", m_loop.WallNow());
  co_await m_faultInjector.RespondAfterSideEffect(aExchange, std::move(response));
}

base::HttpResponse ServiceStandIn::Execute(base::HttpRequest const& aRequest)
{
  Json::Value body;
  body["method"] = aRequest.m_method;
  body["target"] = aRequest.m_target;
  body["echo"] = aRequest.m_body;
  if (aRequest.m_method == "POST") {
    auto const content = base::ToHex(base::Sha256(aRequest.m_target + "\n" + aRequest.m_body));
    ++m_executions[content];
    body["booking"] = Json::Value::UInt64(m_nextBooking++);
  }
  return JsonValueResponse(200, body);
}

Json::Value ServiceStandIn::RenderCounts() const
{
  Json::Value counts(Json::objectValue);
  for (auto const& [content, count] : m_executions) {
    counts[content] = Json::Value::UInt64(count);
  }
  return counts;
}

asio::awaitable<void> ServiceStandIn::ServeAdmin(base::HttpExchange& aExchange)
{
  if (co_await m_faultInjector.ServeFaults(aExchange)) {
    co_return;
  }
  auto const& request = aExchange.Request();
  auto response = ErrorResponse(404, "not_found", "no such path");
  if (request.Path() == "/admin/ran") {
    auto const text = request.Query("after").value_or("0");
    std::uint64_t after = 0;
    std::from_chars(text.data(), text.data() + text.size(), after);
    auto body = m_executionLog.Render(after);
    body["executions"] = RenderCounts();
    response = JsonValueResponse(200, body);
  }
  co_await aExchange.Respond(std::move(response));
}

} // namespace sardinefold::standins
