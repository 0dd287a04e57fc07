#include "WeightStore/GateCodec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace sardinefold::weightstore {

namespace {

using operators::RequestClass;

constexpr std::array<std::pair<RequestClass, std::string_view>, 3> kClasses{ {
  { RequestClass::Interactive, "interactive" },
  { RequestClass::Standard, "standard" },
  { RequestClass::Batch, "batch" },
} };
/// Longer times are rejected as mistakes.
constexpr std::int64_t kMaximumMilliseconds = 24LL * 60 * 60 * 1000;

tl::unexpected<std::string> InvalidField(std::string const& aField, std::string const& aExpected)
{
  return tl::make_unexpected(aField + " " + aExpected);
}

template<typename Id>
tl::expected<Id, std::string> DecodeId(Json::Value const& aValue, std::string const& aField)
{
  if (!aValue[aField].isString()) {
    return InvalidField(aField, "must be a string");
  }
  auto id = Id::Create(aValue[aField].asString());
  if (!id) {
    return InvalidField(aField, std::string(base::ToText(id.error())));
  }
  return std::move(*id);
}

tl::expected<base::Duration, std::string> DecodeDuration(Json::Value const& aValue,
                                                         std::string const& aField)
{
  bool const isTime = aValue[aField].isInt64() && aValue[aField].asInt64() >= 0 &&
                      aValue[aField].asInt64() <= kMaximumMilliseconds;
  if (!isTime) {
    return InvalidField(aField, "must be a number of milliseconds, at most a day");
  }
  return std::chrono::milliseconds(aValue[aField].asInt64());
}

tl::expected<RequestClass, std::string> DecodeClass(Json::Value const& aValue)
{
  for (auto const& [requestClass, text] : kClasses) {
    if (aValue["class"].isString() && aValue["class"].asString() == text) {
      return requestClass;
    }
  }
  return InvalidField("class", "must be \"interactive\", \"standard\" or \"batch\"");
}

tl::expected<engine::ReplicaKey, std::string> DecodeReplica(Json::Value const& aValue)
{
  auto model = DecodeId<base::ModelId>(aValue, "model");
  if (!model) {
    return tl::make_unexpected(model.error());
  }
  engine::ReplicaKey replica{ std::move(*model), std::nullopt };
  if (!aValue.isMember("adapter")) {
    return replica;
  }
  auto adapter = DecodeId<base::AdapterId>(aValue, "adapter");
  if (!adapter) {
    return tl::make_unexpected(adapter.error());
  }
  replica.m_adapter = std::move(*adapter);
  return replica;
}

} // namespace

Json::Value EncodeSlotKey(SlotKey const& aKey)
{
  Json::Value value(Json::objectValue);
  value["upstream"] = aKey.m_upstream.Text();
  value["incarnation"] = aKey.m_incarnation.Text();
  value["order"] = Json::Value::UInt64(aKey.m_order.Value());
  return value;
}

tl::expected<SlotKey, std::string> DecodeSlotKey(Json::Value const& aValue)
{
  if (!aValue.isObject()) {
    return InvalidField("parameters", "must be an object");
  }
  auto upstream = DecodeId<base::UpstreamId>(aValue, "upstream");
  if (!upstream) {
    return tl::make_unexpected(upstream.error());
  }
  auto incarnation = DecodeId<base::IncarnationId>(aValue, "incarnation");
  if (!incarnation) {
    return tl::make_unexpected(incarnation.error());
  }
  if (!aValue["order"].isUInt64()) {
    return InvalidField("order", "must be a whole number, not negative");
  }
  return SlotKey{ std::move(*upstream), std::move(*incarnation),
                  engine::OrderId(aValue["order"].asUInt64()) };
}

Json::Value EncodeSlotRequest(SlotRequest const& aRequest, base::Instant aNow)
{
  Json::Value value = EncodeSlotKey(aRequest.m_key);
  value["model"] = aRequest.m_replica.m_model.Text();
  if (aRequest.m_replica.m_adapter) {
    value["adapter"] = aRequest.m_replica.m_adapter->Text();
  }
  for (auto const& [requestClass, text] : kClasses) {
    if (requestClass == aRequest.m_class) {
      value["class"] = std::string(text);
    }
  }
  auto const timeLeft = std::max(base::ToMilliseconds(aRequest.m_deadline - aNow), std::int64_t(0));
  value["deadline_ms"] = Json::Value::Int64(std::min(timeLeft, kMaximumMilliseconds));
  return value;
}

tl::expected<SlotRequest, std::string> DecodeSlotRequest(Json::Value const& aValue,
                                                         base::Instant aNow)
{
  auto key = DecodeSlotKey(aValue);
  if (!key) {
    return tl::make_unexpected(key.error());
  }
  auto replica = DecodeReplica(aValue);
  if (!replica) {
    return tl::make_unexpected(replica.error());
  }
  auto const requestClass = DecodeClass(aValue);
  if (!requestClass) {
    return tl::make_unexpected(requestClass.error());
  }
  auto const timeLeft = DecodeDuration(aValue, "deadline_ms");
  if (!timeLeft) {
    return tl::make_unexpected(timeLeft.error());
  }
  return SlotRequest{ std::move(*key), std::move(*replica), *requestClass, aNow + *timeLeft };
}

Json::Value EncodeSlotResponse(SlotResponse const& aResponse)
{
  Json::Value value(Json::objectValue);
  auto const name = aResponse.m_lease ? "lease_ms" : "ask_again_ms";
  base::Duration const time = aResponse.m_lease.value_or(aResponse.m_retryAfter);
  value[name] = Json::Value::Int64(base::ToMilliseconds(time));
  return value;
}

tl::expected<SlotResponse, std::string> DecodeSlotResponse(Json::Value const& aValue)
{
  if (!aValue.isObject()) {
    return InvalidField("result", "must be an object");
  }
  bool const isGranted = aValue.isMember("lease_ms");
  auto const time = DecodeDuration(aValue, isGranted ? "lease_ms" : "ask_again_ms");
  if (!time) {
    return tl::make_unexpected(time.error());
  }
  return isGranted ? SlotResponse{ *time, {} } : SlotResponse{ std::nullopt, *time };
}

} // namespace sardinefold::weightstore
