#include "StandIns/Site/SiteEngine.h"

#include "Base/Json.h"
#include "StandIns/Common/StandInProgram.h"

#include <array>
#include <charconv>

namespace sardinefold::standins {

namespace asio = boost::asio;

namespace {

constexpr base::Duration kHeartbeat = std::chrono::milliseconds(300);
/// Heartbeats without which an entry lapses.
constexpr unsigned kMissedHeartbeats = 3;

/// Decrements a fault's count. Returns false if it was zero.
bool ConsumeFault(std::uint64_t& aCount)
{
  if (aCount == 0) {
    return false;
  }
  --aCount;
  return true;
}

std::string HeaderText(base::HttpRequest const& aRequest, std::string_view aName)
{
  return std::string(aRequest.m_headers.Find(aName).value_or(""));
}

} // namespace

SiteEngine::SiteEngine(base::EventLoop& aLoop, SiteStore& aStore, SiteEngineSettings aSettings)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_settings(std::move(aSettings))
  , m_faultInjector(aLoop)
  , m_server(
      aLoop, {}, [this](base::HttpExchange& aExchange) { return Serve(aExchange); },
      RenderRequestError)
{
  m_faultInjector.Attach(m_server);
  m_faultInjector.Faults().AddCount("break_streams", m_streamsToInterrupt);
  m_faultInjector.Faults().AddCount("break_after_events", m_eventsBeforeInterruption);
  m_faultInjector.Faults().AddCount("reject_requests", m_requestsToReject);
  m_faultInjector.Faults().AddCount("refuse_after_run", m_runsToRefuse);
  m_faultInjector.Faults().AddCount("fail_resumed", m_resumesToFail);
  m_faultInjector.Faults().AddCount("lose_orders", m_orderResponsesToLose);
  m_faultInjector.Faults().AddCount("truncate_answers", m_responsesToTruncate);
  m_faultInjector.Faults().AddCount("cut_streams", m_streamsToCut);
  m_faultInjector.Faults().AddCount("empty_streams", m_streamsToEmpty);
  m_faultInjector.Faults().AddCount("crash_on_part", m_crashingPart);
  m_faultInjector.Faults().AddText("crash_on_target", m_crashingTarget);
  m_faultInjector.Faults().AddFlag("leaving", m_isDraining);
  m_faultInjector.Faults().AddFlag("unlisted", m_isUnlisted);
  m_faultInjector.Faults().AddFlag("torn_entry", m_hasInvalidEntry);
  m_faultInjector.Faults().AddText("retry_after_header", m_retryAfterHeader);
  m_faultInjector.Faults().AddText("request_limit_header", m_requestLimitHeader);
  m_faultInjector.Faults().AddCount("reject_reports", m_reportsToRefuse);
  m_faultInjector.Faults().AddText("leaving_header", m_leavingHeader);
  m_faultInjector.Faults().AddAction("restart", [this] { Restart(); });
  m_faultInjector.Faults().AddAction("replace", [this] { Replace(); });
  m_faultInjector.Faults().AddMilliseconds("event_ms", m_settings.m_eventTime);
  m_faultInjector.Faults().AddCount("events", m_settings.m_events);
  m_faultInjector.Faults().AddCount("event_bytes", m_paddingBytes);
  m_faultInjector.Faults().AddMilliseconds("load_ms", m_settings.m_loadTime);
  for (auto const& model : m_settings.m_models) {
    m_models[model];
    m_weightsOnDisk.insert(model);
  }
}

tl::expected<void, std::string> SiteEngine::Start()
{
  if (auto bound = m_server.Listen(m_settings.m_address); !bound) {
    return bound;
  }
  m_loop.Start(Heartbeat());
  return {};
}

bool SiteEngine::HasCrashingPart(base::HttpRequest const& aRequest) const
{
  std::array<char, 17> id{};
  auto const end = std::to_chars(id.data(), id.data() + id.size(), m_crashingPart, 16).ptr;
  auto const name = "," + std::string(id.data(), end) + ":";
  return m_crashingPart != 0 &&
         ("," + HeaderText(aRequest, "Prompt-Prefix")).find(name) != std::string::npos;
}

void SiteEngine::Restart()
{
  ++m_restarts;
  ++m_settings.m_startedAt;
  m_models.clear();
  m_isBusy = false;
  m_orderSequence = 0;
  m_leavingHeader.clear();
  m_retryAfterHeader.clear();
  m_requestLimitHeader.clear();
}

void SiteEngine::Replace()
{
  m_lingeringEntries[m_settings.m_instance] = kMissedHeartbeats;
  Restart();
  m_settings.m_instance = m_settings.m_instance.substr(0, m_settings.m_instance.find('.')) + "." +
                          std::to_string(m_settings.m_startedAt);
}

void SiteEngine::RemoveLapsedEntries()
{
  for (auto entry = m_lingeringEntries.begin(); entry != m_lingeringEntries.end();) {
    if (entry->second-- > 0) {
      ++entry;
      continue;
    }
    m_store.Remove("servers", entry->first);
    entry = m_lingeringEntries.erase(entry);
  }
}

void SiteEngine::AddNotices(unsigned aStatus, base::HttpHeaders& aHeaders) const
{
  if (aStatus == 503 && !m_retryAfterHeader.empty()) {
    aHeaders.Add("Retry-After", m_retryAfterHeader);
  }
  if (!m_leavingHeader.empty()) {
    aHeaders.Add("Server-Leaving", m_leavingHeader);
  }
  if (!m_requestLimitHeader.empty()) {
    aHeaders.Add("Server-Limit", m_requestLimitHeader);
  }
}

asio::awaitable<void> SiteEngine::Respond(base::HttpExchange& aExchange,
                                          base::HttpResponse aResponse)
{
  AddNotices(aResponse.m_status, aResponse.m_headers);
  co_await m_faultInjector.Respond(aExchange, std::move(aResponse));
}

Json::Value SiteEngine::Models() const
{
  Json::Value list(Json::arrayValue);
  for (auto const& [model, adapters] : m_models) {
    Json::Value entry;
    entry["name"] = model;
    entry["version"] = 1;
    entry["adapters"] = Json::Value(Json::arrayValue);
    for (auto const& adapter : adapters) {
      entry["adapters"].append(adapter);
    }
    list.append(std::move(entry));
  }
  return list;
}

Json::Value SiteEngine::Describe() const
{
  Json::Value entry;
  entry["service"] = m_settings.m_deployment;
  auto listed = m_settings.m_address;
  listed.m_port = m_settings.m_listedPort.value_or(listed.m_port);
  entry["address"] = listed.Text();
  entry["zone"] = m_settings.m_failureDomain;
  entry["version"] = m_settings.m_version;
  entry["slots"] = m_settings.m_slots;
  entry["state"] = m_isDraining ? "draining" : "ready";
  if (m_hasInvalidEntry) {
    entry["state"] = 17;
  }
  entry["born"] = Json::Int64(m_settings.m_startedAt);
  if (m_settings.m_hasModels) {
    entry["models"] = Models();
  }
  return entry;
}

asio::awaitable<void> SiteEngine::Heartbeat()
{
  while (true) {
    RemoveLapsedEntries();
    if (m_isUnlisted) {
      m_store.Remove("servers", m_settings.m_instance);
    } else {
      m_store.Put("servers", m_settings.m_instance, Describe());
    }
    co_await m_loop.Sleep(kHeartbeat);
  }
}

asio::awaitable<void> SiteEngine::Serve(base::HttpExchange& aExchange)
{
  if (co_await m_faultInjector.ServeFaults(aExchange)) {
    co_return;
  }
  auto const& request = aExchange.Request();
  if (request.Path() == "/admin/ran") {
    co_await ServeRuns(aExchange);
    co_return;
  }
  if (!co_await m_faultInjector.Admit(aExchange)) {
    co_return;
  }
  if (request.Path() == "/v1/report") {
    m_reportReads.push_back(m_loop.Now());
    if (ConsumeFault(m_reportsToRefuse)) {
      auto response = Reject(request, 503);
      co_await Respond(aExchange, std::move(response));
      co_return;
    }
    Json::Value report;
    report["stage"] = "colocated";
    report["models"] = Models();
    report["busy"] = m_isBusy;
    report["seqNo"] = Json::UInt64(m_orderSequence);
    report["running"] = m_running;
    report["queued"] = 0;
    report["born"] = Json::Int64(m_settings.m_startedAt);
    for (auto const& model : m_weightsOnDisk) {
      report["atHand"]["onDisk"].append(model);
    }
    auto response = JsonValueResponse(200, report);
    co_await Respond(aExchange, std::move(response));
    co_return;
  }
  if (request.Path() == "/v1/order") {
    co_await ServeOrder(aExchange);
    co_return;
  }
  co_await RunRequest(aExchange);
}

asio::awaitable<void> SiteEngine::ServeRuns(base::HttpExchange& aExchange)
{
  Json::Value body;
  body["overfull"] = m_hasExceededCapacity;
  body["holders"] = Json::Value(Json::arrayValue);
  for (auto const& holder : m_holders) {
    body["holders"].append(holder);
  }
  body["runs"] = Json::Value(Json::arrayValue);
  for (auto const& run : m_runs) {
    Json::Value entry;
    entry["request"] = run.m_request;
    entry["workspace"] = run.m_workspace;
    entry["had_key"] = run.m_hadKey;
    entry["was_broken_off"] = run.m_wasBrokenOff;
    entry["at_ms"] = Json::Int64(base::ToMilliseconds(run.m_at.time_since_epoch()));
    body["runs"].append(std::move(entry));
  }
  auto response = JsonValueResponse(200, body);
  co_await aExchange.Respond(std::move(response));
}

asio::awaitable<void> SiteEngine::Load(std::string aModel)
{
  auto const restarts = m_restarts;
  co_await m_loop.Sleep(m_settings.m_loadTime);
  if (restarts != m_restarts) {
    co_return;
  }
  m_models[aModel];
  m_weightsOnDisk.insert(aModel);
  m_isBusy = false;
}

asio::awaitable<void> SiteEngine::ServeOrder(base::HttpExchange& aExchange)
{
  auto const& request = aExchange.Request();
  auto const body = base::ParseJson(request.m_body);
  if (HeaderText(request, "Expect-Instance") != m_settings.m_instance) {
    auto response = Reject(request, 421);
    co_await Respond(aExchange, std::move(response));
    co_return;
  }
  if (!body || !(*body)["holder"].isString() || !(*body)["fenceToken"].isUInt64()) {
    auto response = Reject(request, 400);
    co_await Respond(aExchange, std::move(response));
    co_return;
  }
  m_holders.insert((*body)["holder"].asString());
  bool const isAdapter = body->isMember("adapter");
  bool const isStale =
    body->isMember("expected") && (*body)["expected"].asUInt64() != m_orderSequence;
  if (isStale || (m_isBusy && !isAdapter)) {
    auto response = Reject(request, 409);
    co_await Respond(aExchange, std::move(response));
    co_return;
  }
  ++m_orderSequence;
  auto const model = (*body)["model"].asString();
  bool const isLoad = (*body)["op"].asString() == "load";
  if (isAdapter) {
    auto& adapters = m_models[model];
    isLoad ? (void)adapters.insert((*body)["adapter"].asString())
           : (void)adapters.erase((*body)["adapter"].asString());
  } else if (isLoad) {
    m_hasExceededCapacity = m_hasExceededCapacity || m_models.size() >= m_settings.m_capacity;
    m_isBusy = true;
    m_loop.Start(Load(model));
  } else {
    m_models.erase(model);
  }
  if (ConsumeFault(m_orderResponsesToLose)) {
    co_return;
  }
  auto response = JsonValueResponse(202, Json::Value(Json::objectValue));
  co_await Respond(aExchange, std::move(response));
}

std::optional<unsigned> SiteEngine::RejectionStatus(base::HttpRequest const& aRequest) const
{
  auto const expected = HeaderText(aRequest, "Expect-Instance");
  if (!expected.empty() && expected != m_settings.m_instance) {
    return 421;
  }
  if (m_settings.m_hasModels) {
    auto const text = HeaderText(aRequest, "Model");
    auto const slash = text.find('/');
    auto const model = m_models.find(text.substr(0, slash));
    bool const hasAdapter =
      slash == std::string::npos ||
      (model != m_models.end() && model->second.contains(text.substr(slash + 1)));
    if (model == m_models.end() || !hasAdapter) {
      return 421;
    }
  }
  return m_running >= m_settings.m_slots ? std::optional<unsigned>(503) : std::nullopt;
}

base::HttpResponse SiteEngine::Reject(base::HttpRequest const& aRequest, unsigned aStatus) const
{
  auto response = JsonValueResponse(aStatus, Json::Value(Json::objectValue));
  response.m_headers.Add("Request-Id", HeaderText(aRequest, "Request-Id"));
  response.m_headers.Add("Instance-Id", m_settings.m_instance);
  response.m_headers.Add("Not-Executed", "1");
  return response;
}

asio::awaitable<void> SiteEngine::RunRequest(base::HttpExchange& aExchange)
{
  auto const& request = aExchange.Request();
  m_arrivals.push_back(m_loop.Now());
  auto rejection = RejectionStatus(request);
  if (!rejection && ConsumeFault(m_requestsToReject)) {
    rejection = 503;
  }
  if (rejection) {
    auto response = Reject(request, *rejection);
    co_await Respond(aExchange, std::move(response));
    co_return;
  }
  m_runs.push_back({ HeaderText(request, "Request-Id"), HeaderText(request, "Tenant"),
                     request.m_headers.Find("Authorization").has_value(), m_loop.Now() });
  base::HttpHeaders headers;
  headers.Add("Request-Id", HeaderText(request, "Request-Id"));
  headers.Add("Server-Seal", "seal-" + m_settings.m_instance);
  bool const isCrash = !m_crashingTarget.empty() && request.m_target == m_crashingTarget;
  if (isCrash) {
    Replace();
    co_return;
  }
  ++m_running;
  if (m_settings.m_hasModels) {
    co_await Stream(aExchange, std::move(headers), m_runs.size() - 1);
  } else {
    base::HttpResponse response{ 200, std::move(headers), "done " + std::string(request.Path()) };
    if (ConsumeFault(m_runsToRefuse)) {
      response.m_status = 503;
      co_await Respond(aExchange, std::move(response));
    } else if (ConsumeFault(m_responsesToTruncate)) {
      AddNotices(200, response.m_headers);
      co_await aExchange.StartStream(200, response.m_headers);
      co_await aExchange.Write("do");
    } else {
      co_await Respond(aExchange, std::move(response));
    }
  }
  --m_running;
}

asio::awaitable<void> SiteEngine::Stream(base::HttpExchange& aExchange, base::HttpHeaders aHeaders,
                                         std::size_t aRun)
{
  auto const& request = aExchange.Request();
  auto const resume = HeaderText(request, "Last-Event-Id");
  unsigned const first = resume.empty() ? 1 : static_cast<unsigned>(std::stoul(resume)) + 1;
  if (!resume.empty() && ConsumeFault(m_resumesToFail)) {
    base::HttpResponse response{ 500, std::move(aHeaders), "failed" };
    co_await Respond(aExchange, std::move(response));
    co_return;
  }
  bool const isInterrupted = ConsumeFault(m_streamsToInterrupt);
  aHeaders.Add("Content-Type", "text/event-stream");
  AddNotices(200, aHeaders);
  auto const started = co_await aExchange.StartStream(200, std::move(aHeaders));
  if (!started) {
    co_return;
  }
  if (ConsumeFault(m_streamsToCut)) {
    co_return;
  }
  if (ConsumeFault(m_streamsToEmpty)) {
    co_await aExchange.Finish();
    co_return;
  }
  auto const restarts = m_restarts;
  if (HasCrashingPart(request)) {
    co_await m_loop.Sleep(m_settings.m_eventTime);
    Restart();
  }
  std::string const padding(m_paddingBytes, 'x');
  for (unsigned event = first; event <= m_settings.m_events; ++event) {
    co_await m_loop.Sleep(m_settings.m_eventTime);
    if (restarts != m_restarts) {
      m_runs[aRun].m_wasBrokenOff = true;
      co_return;
    }
    if (isInterrupted && event > first + m_eventsBeforeInterruption) {
      m_runs[aRun].m_wasBrokenOff = true;
      co_await aExchange.Write("id: " + std::to_string(event) + "\nda");
      co_return;
    }
    auto const text = "id: " + std::to_string(event) +
                      "\ndata: " + HeaderText(request, "Request-Id") + "." + std::to_string(event) +
                      padding + "\n\n";
    auto const written = co_await aExchange.Write(text);
    if (!written) {
      co_return;
    }
  }
  co_await aExchange.Finish();
}

} // namespace sardinefold::standins
