#include "StandIns/WeightStore/WeightStoreStandIn.h"

#include "Base/Digest.h"
#include "Base/Http/PercentEncoding.h"
#include "StandIns/Common/StandInProgram.h"

#include <algorithm>

namespace sardinefold::standins {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kWeightsPath = "/v1/weights/";
constexpr std::chrono::milliseconds kModelStep{ 20 };
constexpr std::chrono::milliseconds kAdapterStep{ 2 };

} // namespace

base::SettingsTable WeightStoreStandIn::Table()
{
  using base::SettingKind;
  return base::SettingsTable(
    "standin-weight-store", "Takes the place of the rate-limited store of weights.",
    WithCommonSettings(
      { { "model-ms", SettingKind::Milliseconds, "time of a model's weights at full speed", "800" },
        { "models-at-full-speed", SettingKind::Count, "models at once at full speed", "4" },
        { "models-per-10s", SettingKind::Count, "models that may start in ten seconds", "45" },
        { "adapters-at-full-speed", SettingKind::Count, "adapters at once at full speed",
          "30" } }));
}

tl::expected<std::unique_ptr<WeightStoreStandIn>, std::string> WeightStoreStandIn::Create(
  base::EventLoop& aLoop, base::Settings const& aSettings)
{
  for (auto const* const flag :
       { "models-at-full-speed", "models-per-10s", "adapters-at-full-speed" }) {
    if (aSettings.Count(flag) == 0) {
      return tl::make_unexpected("--" + std::string(flag) + " must be at least 1");
    }
  }
  TransferLimits limits;
  limits.m_modelTime = aSettings.Milliseconds("model-ms");
  limits.m_modelsAtFullSpeed = static_cast<std::size_t>(aSettings.Count("models-at-full-speed"));
  limits.m_modelsPerSecond = static_cast<double>(aSettings.Count("models-per-10s")) / 10.0;
  limits.m_adaptersAtFullSpeed =
    static_cast<std::size_t>(aSettings.Count("adapters-at-full-speed"));
  return std::make_unique<WeightStoreStandIn>(aLoop, limits);
}

WeightStoreStandIn::WeightStoreStandIn(base::EventLoop& aLoop, TransferLimits aLimits)
  : m_loop(aLoop)
  , m_faultInjector(aLoop)
  , m_transfers(aLimits)
{
  m_faultInjector.Faults().AddCount("slowdown_percent", m_slowdownPercent);
}

asio::awaitable<void> WeightStoreStandIn::Serve(base::HttpExchange& aExchange)
{
  auto const path = std::string(aExchange.Request().Path());
  if (path.starts_with("/admin/")) {
    co_await ServeAdmin(aExchange);
    co_return;
  }
  if (!co_await m_faultInjector.Admit(aExchange)) {
    co_return;
  }
  auto const kind = aExchange.Request().Query("kind").value_or("model");
  auto const name = path.starts_with(kWeightsPath)
                      ? base::PercentDecode(path.substr(kWeightsPath.size()))
                      : std::nullopt;
  if (!name || name->empty() || (kind != "model" && kind != "adapter")) {
    auto response =
      ErrorResponse(404, "not_found", "use /v1/weights/NAME?kind=model or kind=adapter");
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  auto const transferKind = kind == "model" ? TransferKind::Model : TransferKind::Adapter;
  co_await ServeWeights(aExchange, *name, transferKind);
}

asio::awaitable<void> WeightStoreStandIn::ServeWeights(base::HttpExchange& aExchange,
                                                       std::string aName, TransferKind aKind)
{
  m_transfers.Limits().m_slowdown = static_cast<double>(m_slowdownPercent) / 100.0;
  co_await m_loop.Sleep(m_transfers.ReserveStart(aKind, m_loop.Now()));
  m_transfers.Begin(aKind);
  m_maximumConcurrentModels =
    std::max(m_maximumConcurrentModels, m_transfers.Running(TransferKind::Model));
  m_maximumConcurrentAdapters =
    std::max(m_maximumConcurrentAdapters, m_transfers.Running(TransferKind::Adapter));
  co_await Transfer(aExchange, aName, aKind);
  m_transfers.End(aKind);
  if (aExchange.IsPeerDisconnected()) {
    ++m_abandoned;
    co_return;
  }
  ++(aKind == TransferKind::Model ? m_completedModels : m_completedAdapters);
  Json::Value body;
  body["name"] = aName;
  auto response = JsonValueResponse(200, body);
  co_await m_faultInjector.Respond(aExchange, std::move(response));
}

asio::awaitable<void> WeightStoreStandIn::Transfer(base::HttpExchange& aExchange, std::string aName,
                                                   TransferKind aKind)
{
  // The speed depends on the other transfers, so it is recomputed in steps.
  base::Duration const step = aKind == TransferKind::Model ? kModelStep : kAdapterStep;
  auto remainingSeconds = base::ToSeconds(m_transfers.FullSpeedTime(aKind, base::FastHash(aName)));
  while (remainingSeconds > 0 && !aExchange.IsPeerDisconnected()) {
    auto const timeFactor = m_transfers.TimeFactor(aKind);
    auto const start = m_loop.Now();
    auto const remainingTime = base::FromSeconds(remainingSeconds * timeFactor);
    co_await m_loop.Sleep(std::min(step, remainingTime));
    remainingSeconds -= base::ToSeconds(m_loop.Now() - start) / timeFactor;
  }
}

asio::awaitable<void> WeightStoreStandIn::ServeAdmin(base::HttpExchange& aExchange)
{
  if (co_await m_faultInjector.ServeFaults(aExchange)) {
    co_return;
  }
  auto response = ErrorResponse(404, "not_found", "no such path");
  if (aExchange.Request().Path() == "/admin/transfers") {
    Json::Value body;
    body["models_completed"] = Json::Value::UInt64(m_completedModels);
    body["adapters_completed"] = Json::Value::UInt64(m_completedAdapters);
    body["abandoned"] = Json::Value::UInt64(m_abandoned);
    body["most_models_at_once"] = Json::Value::UInt64(m_maximumConcurrentModels);
    body["most_adapters_at_once"] = Json::Value::UInt64(m_maximumConcurrentAdapters);
    response = JsonValueResponse(200, body);
  }
  co_await aExchange.Respond(std::move(response));
}

} // namespace sardinefold::standins
