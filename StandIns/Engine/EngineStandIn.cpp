#include "StandIns/Engine/EngineStandIn.h"

#include "StandIns/Common/StandInProgram.h"

#include <charconv>

namespace sardinefold::standins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kReportInterval{ 20 };

std::uint64_t ReadAfter(base::HttpRequest const& aRequest)
{
  auto const text = aRequest.Query("after").value_or("0");
  std::uint64_t after = 0;
  std::from_chars(text.data(), text.data() + text.size(), after);
  return after;
}

} // namespace

base::SettingsTable EngineStandIn::Table()
{
  using base::SettingKind;
  return base::SettingsTable(
    "standin-engine", "Takes the place of a model engine.",
    WithCommonSettings(
      { { "weight-store", SettingKind::Address, "where weights are fetched", std::nullopt },
        { "memory-bytes", SettingKind::Count, "accelerator memory", "80000000000" },
        { "model-bytes", SettingKind::Count, "a model's size if an order gives none",
          "16000000000" },
        { "adapter-bytes", SettingKind::Count, "an adapter's size if an order gives none",
          "100000000" },
        { "checks-fencing", SettingKind::Flag, "refuse orders with an old fencing number",
          "false" },
        { "max-running", SettingKind::Count, "sequences in one batch", "16" },
        { "step-us", SettingKind::Count, "microseconds of a step", "4000" },
        { "step-sequence-us", SettingKind::Count, "added for each running sequence", "200" },
        { "prompt-token-us", SettingKind::Count, "added for each uncached prompt token", "20" },
        { "cache-blocks", SettingKind::Count, "prefix blocks of 64 tokens kept", "4096" },
        { "load-lag-ms", SettingKind::Milliseconds, "age of load reports", "500" },
        { "event-lag-ms", SettingKind::Milliseconds, "lag of cache events", "200" },
        { "event-gap", SettingKind::Count, "every such cache event is lost; 0 for none", "10" },
        { "resume-ms", SettingKind::Milliseconds, "how long a stream can be resumed", "2000" },
        { "unload-ms", SettingKind::Milliseconds, "time of an unload", "50" },
        { "poison", SettingKind::Text, "a prompt with this text ends the process; empty for none",
          "" } }));
}

tl::expected<std::unique_ptr<EngineStandIn>, std::string> EngineStandIn::Create(
  base::EventLoop& aLoop, base::Settings const& aSettings)
{
  auto const microseconds = [&](char const* aFlag) -> base::Duration {
    return std::chrono::microseconds(aSettings.Count(aFlag));
  };
  auto const count = [&](char const* aFlag) {
    return static_cast<std::uint64_t>(aSettings.Count(aFlag));
  };
  EngineConfiguration configuration;
  configuration.m_memory = base::Bytes(aSettings.Count("memory-bytes"));
  configuration.m_modelBytes = base::Bytes(aSettings.Count("model-bytes"));
  configuration.m_adapterBytes = base::Bytes(aSettings.Count("adapter-bytes"));
  configuration.m_checksFencing = aSettings.Flag("checks-fencing");
  configuration.m_loadLag = aSettings.Milliseconds("load-lag-ms");
  configuration.m_eventLag = aSettings.Milliseconds("event-lag-ms");
  configuration.m_eventGap = count("event-gap");
  configuration.m_resumeTime = aSettings.Milliseconds("resume-ms");
  configuration.m_unloadTime = aSettings.Milliseconds("unload-ms");
  configuration.m_weightStore = aSettings.Address("weight-store");
  configuration.m_cacheBlocks = count("cache-blocks");
  configuration.m_batch.m_maximumRunning = count("max-running");
  configuration.m_batch.m_stepTime = microseconds("step-us");
  configuration.m_batch.m_stepTimePerSequence = microseconds("step-sequence-us");
  configuration.m_batch.m_timePerPromptToken = microseconds("prompt-token-us");
  if (configuration.m_batch.m_maximumRunning == 0) {
    return tl::make_unexpected("--max-running must be at least 1");
  }
  auto standIn = std::make_unique<EngineStandIn>(aLoop, configuration);
  standIn->m_poison = aSettings.Text("poison");
  return standIn;
}

EngineStandIn::EngineStandIn(base::EventLoop& aLoop, EngineConfiguration aConfiguration)
  : m_loop(aLoop)
  , m_configuration(std::move(aConfiguration))
  , m_faultInjector(aLoop)
  , m_client(aLoop, {})
  , m_cache(m_configuration.m_cacheBlocks)
  , m_engineMemory(m_configuration.m_memory)
  , m_batch(aLoop, m_configuration.m_batch, m_cache)
{
  m_faultInjector.Faults().AddText("poison", m_poison);
  m_faultInjector.Faults().AddFlag("die_in_load", m_crashInLoad);
  m_faultInjector.Faults().AddCount("cut_streams_after", m_interruptStreamsAfter);
  m_faultInjector.Faults().AddFlag("checks_fencing", m_configuration.m_checksFencing);
  m_faultInjector.Faults().AddMilliseconds("load_lag_ms", m_configuration.m_loadLag);
  m_faultInjector.Faults().AddMilliseconds("event_lag_ms", m_configuration.m_eventLag);
  m_faultInjector.Faults().AddCount("event_gap", m_configuration.m_eventGap);
  m_faultInjector.Faults().AddMilliseconds("step_ms", m_batch.Limits().m_stepTime);
  m_loop.Start(m_batch.Run());
  m_loop.Start(RefreshReports());
}

asio::awaitable<void> EngineStandIn::Serve(base::HttpExchange& aExchange)
{
  auto const& request = aExchange.Request();
  auto const path = std::string(request.Path());
  if (path.starts_with("/admin/")) {
    co_await ServeAdmin(aExchange);
    co_return;
  }
  if (!co_await m_faultInjector.Admit(aExchange)) {
    co_return;
  }
  if (request.m_method == "POST" && (path == "/v1/chat/completions" || path == "/v1/completions")) {
    co_await ServeCompletion(aExchange);
  } else if (request.m_method == "GET" && path.starts_with("/streams/")) {
    co_await ServeResume(aExchange);
  } else if (request.m_method == "POST" && path.starts_with("/orders/")) {
    co_await ServeOrder(aExchange);
  } else {
    co_await ServeReport(aExchange, path);
  }
}

asio::awaitable<void> EngineStandIn::ServeReport(base::HttpExchange& aExchange, std::string aPath)
{
  auto const& request = aExchange.Request();
  auto response = ErrorResponse(404, "not_found", "no such path");
  if (aPath == "/v1/models") {
    response = RenderModels();
  } else if (aPath == "/state") {
    response = RenderState();
  } else if (aPath == "/load") {
    response = RenderLoad();
  } else if (aPath == "/events") {
    response = RenderEvents(ReadAfter(request));
  } else if (aPath == "/cache" && request.m_method == "GET") {
    response = RenderCache(std::string(request.Query("model").value_or("")));
  } else if (aPath == "/cache" && request.m_method == "POST") {
    response = ImportCache(request);
  } else if (aPath.starts_with("/streams/") && request.m_method == "DELETE") {
    Cancel(aPath.substr(std::string_view("/streams/").size()));
    response = JsonValueResponse(200, Json::Value(Json::objectValue));
  }
  co_await m_faultInjector.Respond(aExchange, std::move(response));
}

asio::awaitable<void> EngineStandIn::ServeAdmin(base::HttpExchange& aExchange)
{
  if (co_await m_faultInjector.ServeFaults(aExchange)) {
    co_return;
  }
  auto const& request = aExchange.Request();
  auto response = ErrorResponse(404, "not_found", "no such path");
  if (request.Path() == "/admin/ran") {
    response = JsonValueResponse(200, m_executionLog.Render(ReadAfter(request)));
  } else if (request.Path() == "/admin/state") {
    response = RenderState();
  }
  co_await aExchange.Respond(std::move(response));
}

asio::awaitable<void> EngineStandIn::RefreshReports()
{
  while (true) {
    if (m_loop.Now() - m_loadSnapshot.m_at >= m_configuration.m_loadLag) {
      m_loadSnapshot = TakeLoadSnapshot();
    }
    PublishEvents();
    CancelExpired();
    co_await m_loop.Sleep(kReportInterval);
  }
}

void EngineStandIn::PublishEvents()
{
  auto const now = m_loop.Now();
  auto const latest = m_cache.Events().empty() ? 0 : m_cache.Events().back().m_sequence;
  if (m_pendingEvents.empty() || m_pendingEvents.back().second != latest) {
    m_pendingEvents.emplace_back(now, latest);
  }
  while (!m_pendingEvents.empty() &&
         m_pendingEvents.front().first + m_configuration.m_eventLag <= now) {
    m_visibleEvents = m_pendingEvents.front().second;
    m_pendingEvents.pop_front();
  }
}

void EngineStandIn::CancelExpired()
{
  std::vector<std::string> expired;
  for (auto const& [id, sequence] : m_batch.All()) {
    bool const hasReader =
      sequence.m_state == SequenceState::Waiting || sequence.m_state == SequenceState::Running;
    if (!hasReader && m_loop.Now() - sequence.m_pausedSince > m_configuration.m_resumeTime) {
      expired.push_back(id);
    }
  }
  for (auto const& id : expired) {
    Cancel(id);
  }
}

} // namespace sardinefold::standins
