#include "Base/Http/PercentEncoding.h"
#include "Base/Json.h"
#include "StandIns/Engine/EngineStandIn.h"

#include <charconv>
#include <cstdlib>

namespace sardinefold::standins {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::minutes kTransferTimeout{ 5 };
constexpr std::chrono::milliseconds kCrashDelay{ 100 };

} // namespace

asio::awaitable<void> EngineStandIn::ServeOrder(base::HttpExchange& aExchange)
{
  auto const& request = aExchange.Request();
  auto order = ParseOrder(request);
  if (!order) {
    auto response = ErrorResponse(400, "invalid_order", order.error());
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  bool const isStale = order->m_fencing < m_fencing;
  m_staleOrders += isStale ? 1U : 0U;
  if (isStale && m_configuration.m_checksFencing) {
    Json::Value body;
    body["error"]["code"] = "stale_fencing";
    body["error"]["message"] = "the order has an old fencing number";
    body["fencing"] = Json::Value::UInt64(m_fencing.Value());
    auto response = JsonValueResponse(409, body);
    co_await m_faultInjector.Respond(aExchange, std::move(response));
    co_return;
  }
  m_fencing = std::max(m_fencing, order->m_fencing);
  auto response = ErrorResponse(404, "not_found", "no such order");
  auto& replica = order->m_replica;
  if (request.Path() == "/orders/load") {
    if (!order->m_hasBytes) {
      replica.m_bytes =
        replica.m_isAdapter ? m_configuration.m_adapterBytes : m_configuration.m_modelBytes;
    }
    response = co_await Load(std::move(replica));
  } else if (request.Path() == "/orders/unload") {
    response = co_await Unload(replica.m_name);
  } else if (request.Path() == "/orders/role") {
    m_role = order->m_role;
    response = JsonValueResponse(200, Json::Value(Json::objectValue));
  }
  co_await m_faultInjector.RespondAfterSideEffect(aExchange, std::move(response));
}

asio::awaitable<base::HttpResponse> EngineStandIn::Load(ReplicaRecord aReplica)
{
  auto const name = aReplica.m_name;
  if (m_engineMemory.IsLoaded(name)) {
    co_return JsonValueResponse(200, Json::Value(Json::objectValue));
  }
  if (m_engineMemory.Find(name)) {
    co_return ErrorResponse(409, "busy", "\"" + name + "\" is being loaded or unloaded");
  }
  if (aReplica.m_isAdapter && !aReplica.m_model.empty() &&
      !m_engineMemory.IsLoaded(aReplica.m_model)) {
    co_return ErrorResponse(409, "model_not_loaded", "the adapter's model is not loaded");
  }
  if (!m_engineMemory.Fits(aReplica.m_bytes)) {
    ++m_outOfMemory;
    co_return ErrorResponse(507, "out_of_memory", "\"" + name + "\" does not fit");
  }
  bool const isAdapter = aReplica.m_isAdapter;
  m_engineMemory.Add(std::move(aReplica));
  if (m_crashInLoad) {
    co_await m_loop.Sleep(kCrashDelay);
    std::_Exit(EXIT_FAILURE);
  }
  bool const isFetched = co_await FetchWeights(name, isAdapter);
  if (!isFetched) {
    m_engineMemory.Remove(name);
    co_return ErrorResponse(502, "weights_unavailable", "the weight store gave no weights");
  }
  if (auto* const replica = m_engineMemory.Find(name)) {
    replica->m_state = ReplicaState::Loaded;
  }
  co_return JsonValueResponse(200, Json::Value(Json::objectValue));
}

asio::awaitable<bool> EngineStandIn::FetchWeights(std::string aName, bool aIsAdapter)
{
  base::HttpRequest request;
  request.m_target =
    "/v1/weights/" + base::PercentEncode(aName) + (aIsAdapter ? "?kind=adapter" : "?kind=model");
  auto const endpoint = m_configuration.m_weightStore;
  auto const response = co_await m_client.Fetch(endpoint, std::move(request), kTransferTimeout);
  co_return response.has_value() && response->m_status == 200;
}

asio::awaitable<base::HttpResponse> EngineStandIn::Unload(std::string aName)
{
  auto* const replica = m_engineMemory.Find(aName);
  if (!replica) {
    co_return JsonValueResponse(200, Json::Value(Json::objectValue));
  }
  if (replica->m_state != ReplicaState::Loaded) {
    co_return ErrorResponse(409, "busy", "\"" + aName + "\" is being loaded or unloaded");
  }
  replica->m_state = ReplicaState::Unloading;
  co_await m_loop.Sleep(m_configuration.m_unloadTime);
  m_cache.RemoveModel(aName);
  m_engineMemory.Remove(aName);
  co_return JsonValueResponse(200, Json::Value(Json::objectValue));
}

base::HttpResponse EngineStandIn::ImportCache(base::HttpRequest const& aRequest)
{
  auto const body = base::ParseJson(aRequest.m_body);
  if (!body || !body->isObject() || !(*body)["model"].isString() || !(*body)["blocks"].isArray()) {
    return ErrorResponse(400, "invalid_cache", "fields \"model\" and \"blocks\" are needed");
  }
  std::vector<std::uint64_t> blocks;
  for (auto const& text : (*body)["blocks"]) {
    auto const digits = text.isString() ? text.asString() : std::string();
    std::uint64_t block = 0;
    auto const parsed = std::from_chars(digits.data(), digits.data() + digits.size(), block, 16);
    if (parsed.ec != std::errc()) {
      return ErrorResponse(400, "invalid_cache", "each of \"blocks\" must be hexadecimal");
    }
    blocks.push_back(block);
  }
  m_cache.Store((*body)["model"].asString(), blocks);
  return JsonValueResponse(200, Json::Value(Json::objectValue));
}

} // namespace sardinefold::standins
