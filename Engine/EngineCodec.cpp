#include "Engine/EngineCodec.h"

#include "Base/Json.h"

namespace sardinefold::engine {

namespace {

constexpr unsigned kConflict = 409;

base::HttpRequest EncodeOrder(std::string aTarget, EngineOrder const& aOrder)
{
  Json::Value body(Json::objectValue);
  body["model"] = aOrder.m_model.Text();
  if (!aOrder.m_adapter.IsEmpty()) {
    body["adapter"] = aOrder.m_adapter.Text();
  }
  body["fencing"] = Json::UInt64(aOrder.m_fencing.Value());
  base::HttpRequest request;
  request.m_method = "POST";
  request.m_target = std::move(aTarget);
  request.m_headers.Add("Content-Type", "application/json");
  request.m_body = base::RenderJson(body);
  return request;
}

tl::expected<EngineReplica::State, std::string> ParseState(Json::Value const& aValue)
{
  auto const text = aValue.isString() ? aValue.asString() : std::string();
  if (text == "loading") {
    return EngineReplica::State::Loading;
  }
  if (text == "loaded") {
    return EngineReplica::State::Loaded;
  }
  if (text == "unloading") {
    return EngineReplica::State::Unloading;
  }
  return tl::make_unexpected("replicas[].state is not loading, loaded or unloading");
}

tl::expected<EngineReplica, std::string> ParseReplica(Json::Value const& aValue)
{
  if (!aValue.isObject() || !aValue["model"].isString()) {
    return tl::make_unexpected("replicas[].model is not a string");
  }
  EngineReplica replica;
  auto const modelText = aValue["model"].asString();
  if (!modelText.empty()) {
    auto model = base::ModelId::Create(modelText);
    if (!model) {
      return tl::make_unexpected("replicas[].model is not an identifier");
    }
    replica.m_model = std::move(*model);
  }
  if (aValue.isMember("adapter")) {
    auto const& text = aValue["adapter"];
    auto adapter = base::AdapterId::Create(text.isString() ? text.asString() : std::string());
    if (!adapter) {
      return tl::make_unexpected("replicas[].adapter is not an identifier");
    }
    replica.m_adapter = std::move(*adapter);
  }
  if (!aValue["bytes"].isInt64()) {
    return tl::make_unexpected("replicas[].bytes is not a whole number");
  }
  replica.m_memory = base::Bytes(aValue["bytes"].asInt64());
  auto const state = ParseState(aValue["state"]);
  if (!state) {
    return tl::make_unexpected(state.error());
  }
  replica.m_state = *state;
  return replica;
}

} // namespace

base::HttpRequest EncodeLoadOrder(EngineOrder const& aOrder)
{
  return EncodeOrder("/orders/load", aOrder);
}

base::HttpRequest EncodeUnloadOrder(EngineOrder const& aOrder)
{
  return EncodeOrder("/orders/unload", aOrder);
}

tl::expected<void, EngineOrderFailure> DecodeOrderResponse(base::HttpResponse const& aResponse)
{
  using Kind = EngineOrderFailure::Kind;
  if (aResponse.m_status / 100 == 2) {
    return {};
  }
  auto const body = base::ParseJson(aResponse.m_body);
  std::string code;
  if (body && body->isObject() && (*body)["error"].isObject()) {
    code = (*body)["error"]["code"].isString() ? (*body)["error"]["code"].asString() : "";
  }
  bool const isFenced = aResponse.m_status == kConflict && code == "stale_fencing";
  auto const kind = isFenced ? Kind::FencedOff : Kind::Refused;
  return tl::make_unexpected(
    EngineOrderFailure{ kind, "HTTP status " + std::to_string(aResponse.m_status) + " " + code });
}

tl::expected<EngineStatusReport, std::string> DecodeEngineStatusReport(std::string_view aBody)
{
  auto const body = base::ParseJson(aBody);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  if (!body->isObject() || !(*body)["replicas"].isArray() || !(*body)["memory"].isObject()) {
    return tl::make_unexpected("replicas is not an array or memory is not an object");
  }
  auto const& memory = (*body)["memory"];
  if (!memory["capacity"].isInt64() || !memory["used"].isInt64()) {
    return tl::make_unexpected("memory.capacity or memory.used is not a whole number");
  }
  if (!(*body)["fencing"].isUInt64()) {
    return tl::make_unexpected("fencing is not a whole number");
  }
  EngineStatusReport account;
  account.m_memory = base::Bytes(memory["capacity"].asInt64());
  account.m_used = base::Bytes(memory["used"].asInt64());
  account.m_fencing = base::FencingNumber((*body)["fencing"].asUInt64());
  for (auto const& entry : (*body)["replicas"]) {
    auto replica = ParseReplica(entry);
    if (!replica) {
      return tl::make_unexpected(replica.error());
    }
    account.m_replicas.push_back(std::move(*replica));
  }
  return account;
}

} // namespace sardinefold::engine
