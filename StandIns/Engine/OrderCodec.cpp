#include "StandIns/Engine/OrderCodec.h"

#include "Base/Json.h"

namespace sardinefold::standins {

namespace {

tl::expected<void, std::string> ReadReplica(Json::Value const& aBody, ReplicaRecord& aReplica)
{
  auto const& model = aBody["model"];
  auto const& adapter = aBody["adapter"];
  if (!model.isString() && !adapter.isString()) {
    return tl::make_unexpected("field \"model\" or \"adapter\" must be a string");
  }
  aReplica.m_isAdapter = adapter.isString();
  aReplica.m_model = model.isString() ? model.asString() : std::string();
  aReplica.m_name = adapter.isString() ? adapter.asString() : aReplica.m_model;
  aReplica.m_version = aBody["version"].isString() ? aBody["version"].asString() : std::string();
  return {};
}

} // namespace

std::string_view ToText(ReplicaState aState)
{
  switch (aState) {
    case ReplicaState::Loading:
      return "loading";
    case ReplicaState::Loaded:
      return "loaded";
    case ReplicaState::Unloading:
      return "unloading";
  }
  return "";
}

tl::expected<EngineOrder, std::string> ParseOrder(base::HttpRequest const& aRequest)
{
  auto const body = base::ParseJson(aRequest.m_body);
  if (!body) {
    return tl::make_unexpected(body.error());
  }
  if (!body->isObject() || !(*body)["fencing"].isUInt64()) {
    return tl::make_unexpected("field \"fencing\" must be a whole number from 0 on");
  }
  EngineOrder order;
  order.m_fencing = base::FencingNumber((*body)["fencing"].asUInt64());
  if (aRequest.Path() == "/orders/role") {
    order.m_role = (*body)["role"].isString() ? (*body)["role"].asString() : std::string();
    if (order.m_role != "prefill" && order.m_role != "decode" && order.m_role != "both") {
      return tl::make_unexpected("field \"role\" must be prefill, decode or both");
    }
    return order;
  }
  if (auto const read = ReadReplica(*body, order.m_replica); !read) {
    return tl::make_unexpected(read.error());
  }
  auto const& bytes = (*body)["bytes"];
  if (!bytes.isNull() && !bytes.isInt64()) {
    return tl::make_unexpected("field \"bytes\" must be a whole number");
  }
  order.m_hasBytes = !bytes.isNull();
  if (order.m_hasBytes) {
    order.m_replica.m_bytes = base::Bytes(bytes.asInt64());
  }
  return order;
}

} // namespace sardinefold::standins
