#include "Agent/AgentStatusCodec.h"

#include <array>

namespace sardinefold::agent {

namespace {

struct StateName
{
  ReplicaStatus::State m_state;
  std::string_view m_text;
};

constexpr std::array kStateNames{ StateName{ ReplicaStatus::State::Loading, "loading" },
                                  StateName{ ReplicaStatus::State::Loaded, "loaded" },
                                  StateName{ ReplicaStatus::State::Unloading, "unloading" } };

Json::Value EncodeReplica(ReplicaStatus const& aReplica)
{
  Json::Value value(Json::objectValue);
  value["model"] = aReplica.m_model.Text();
  if (!aReplica.m_adapter.IsEmpty()) {
    value["adapter"] = aReplica.m_adapter.Text();
  }
  for (auto const& name : kStateNames) {
    if (name.m_state == aReplica.m_state) {
      value["state"] = std::string(name.m_text);
    }
  }
  return value;
}

/// False if the field is not an identifier.
template<typename Id>
bool ReadId(Json::Value const& aValue, Id& aTarget)
{
  if (!aValue.isString()) {
    return false;
  }
  auto id = Id::Create(aValue.asString());
  if (!id) {
    return false;
  }
  aTarget = std::move(*id);
  return true;
}

tl::expected<ReplicaStatus, std::string> DecodeReplica(Json::Value const& aValue)
{
  ReplicaStatus replica;
  if (!aValue.isObject() || !ReadId(aValue["model"], replica.m_model)) {
    return tl::make_unexpected("replicas[].model is not an identifier");
  }
  if (aValue.isMember("adapter") && !ReadId(aValue["adapter"], replica.m_adapter)) {
    return tl::make_unexpected("replicas[].adapter is not an identifier");
  }
  for (auto const& name : kStateNames) {
    if (aValue["state"].isString() && aValue["state"].asString() == name.m_text) {
      replica.m_state = name.m_state;
      return replica;
    }
  }
  return tl::make_unexpected("replicas[].state has a value that is not known");
}

} // namespace

Json::Value EncodeAgentStatus(AgentStatus const& aStatus)
{
  Json::Value value(Json::objectValue);
  value["upstream"] = aStatus.m_upstream.Text();
  value["incarnation"] = aStatus.m_incarnation.Text();
  value["clock"] = Json::Int64(aStatus.m_clock.Value());
  value["draining"] = aStatus.m_isDraining;
  value["running"] = Json::UInt64(aStatus.m_running);
  value["waiting"] = Json::UInt64(aStatus.m_waiting);
  value["document_version"] = Json::UInt64(aStatus.m_documentVersion.Value());
  value["free_memory"] = Json::Int64(aStatus.m_freeMemory.Value());
  value["replicas"] = Json::Value(Json::arrayValue);
  for (auto const& replica : aStatus.m_replicas) {
    value["replicas"].append(EncodeReplica(replica));
  }
  return value;
}

tl::expected<AgentStatus, std::string> DecodeAgentStatus(Json::Value const& aValue)
{
  AgentStatus status;
  if (!aValue.isObject() || !ReadId(aValue["upstream"], status.m_upstream)) {
    return tl::make_unexpected("upstream is not an identifier");
  }
  if (!ReadId(aValue["incarnation"], status.m_incarnation)) {
    return tl::make_unexpected("incarnation is not an identifier");
  }
  if (!aValue["clock"].isInt64() || !aValue["free_memory"].isInt64()) {
    return tl::make_unexpected("clock or free_memory is not a whole number");
  }
  if (!aValue["running"].isUInt64() || !aValue["waiting"].isUInt64() ||
      !aValue["document_version"].isUInt64()) {
    return tl::make_unexpected("running, waiting or document_version is not a whole number");
  }
  if (!aValue["draining"].isBool() || !aValue["replicas"].isArray()) {
    return tl::make_unexpected("draining is not a boolean or replicas is not an array");
  }
  status.m_clock = AgentClock(aValue["clock"].asInt64());
  status.m_freeMemory = base::Bytes(aValue["free_memory"].asInt64());
  status.m_running = aValue["running"].asUInt64();
  status.m_waiting = aValue["waiting"].asUInt64();
  status.m_documentVersion = base::DocumentVersion(aValue["document_version"].asUInt64());
  status.m_isDraining = aValue["draining"].asBool();
  for (auto const& entry : aValue["replicas"]) {
    auto replica = DecodeReplica(entry);
    if (!replica) {
      return tl::make_unexpected(replica.error());
    }
    status.m_replicas.push_back(std::move(*replica));
  }
  return status;
}

} // namespace sardinefold::agent
