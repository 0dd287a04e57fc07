#include "StandIns/Engine/EngineStandIn.h"

#include <array>
#include <charconv>

namespace sardinefold::standins {

namespace {

std::string BlockText(std::uint64_t aBlock)
{
  std::array<char, 16> digits;
  auto const end = std::to_chars(digits.data(), digits.data() + digits.size(), aBlock, 16).ptr;
  return std::string(digits.data(), end);
}

Json::Value RenderReplica(ReplicaRecord const& aReplica)
{
  Json::Value value;
  value["model"] = aReplica.m_model;
  if (aReplica.m_isAdapter) {
    value["adapter"] = aReplica.m_name;
  }
  value["version"] = aReplica.m_version;
  value["bytes"] = Json::Value::Int64(aReplica.m_bytes.Value());
  value["state"] = std::string(ToText(aReplica.m_state));
  return value;
}

} // namespace

base::HttpResponse EngineStandIn::RenderModels() const
{
  Json::Value body;
  body["object"] = "list";
  body["data"] = Json::Value(Json::arrayValue);
  for (auto const& replica : m_engineMemory.All()) {
    if (replica.m_state != ReplicaState::Loaded) {
      continue;
    }
    Json::Value model;
    model["id"] = replica.m_name;
    model["object"] = "model";
    model["owned_by"] = "standin";
    body["data"].append(model);
  }
  return JsonValueResponse(200, body);
}

base::HttpResponse EngineStandIn::RenderState() const
{
  Json::Value body;
  body["replicas"] = Json::Value(Json::arrayValue);
  for (auto const& replica : m_engineMemory.All()) {
    body["replicas"].append(RenderReplica(replica));
  }
  body["memory"]["capacity"] = Json::Value::Int64(m_engineMemory.Capacity().Value());
  body["memory"]["used"] = Json::Value::Int64(m_engineMemory.Used().Value());
  body["memory"]["most_used"] = Json::Value::Int64(m_engineMemory.PeakUsed().Value());
  body["running"] = Json::Value::UInt64(m_batch.Count(SequenceState::Running));
  body["waiting"] = Json::Value::UInt64(m_batch.Count(SequenceState::Waiting));
  body["fencing"] = Json::Value::UInt64(m_fencing.Value());
  body["role"] = m_role;
  body["stale_orders"] = Json::Value::UInt64(m_staleOrders);
  body["out_of_memory"] = Json::Value::UInt64(m_outOfMemory);
  return JsonValueResponse(200, body);
}

EngineStandIn::LoadSnapshot EngineStandIn::TakeLoadSnapshot() const
{
  LoadSnapshot report;
  report.m_at = m_loop.Now();
  report.m_running = m_batch.Count(SequenceState::Running);
  report.m_waiting = m_batch.Count(SequenceState::Waiting);
  report.m_cacheBlocks = m_cache.Size();
  for (auto const& [id, sequence] : m_batch.All()) {
    if (sequence.m_state == SequenceState::Waiting) {
      report.m_waitingTokens += sequence.m_response.m_promptTokens;
    }
  }
  return report;
}

base::HttpResponse EngineStandIn::RenderLoad() const
{
  Json::Value body;
  body["running"] = Json::Value::UInt64(m_loadSnapshot.m_running);
  body["waiting"] = Json::Value::UInt64(m_loadSnapshot.m_waiting);
  body["waiting_prompt_tokens"] = Json::Value::UInt64(m_loadSnapshot.m_waitingTokens);
  body["cache_blocks"] = Json::Value::UInt64(m_loadSnapshot.m_cacheBlocks);
  body["cache_block_capacity"] = Json::Value::UInt64(m_configuration.m_cacheBlocks);
  body["maximum_running"] = Json::Value::UInt64(m_configuration.m_batch.m_maximumRunning);
  body["age_ms"] = Json::Value::Int64(base::ToMilliseconds(m_loop.Now() - m_loadSnapshot.m_at));
  return JsonValueResponse(200, body);
}

base::HttpResponse EngineStandIn::RenderEvents(std::uint64_t aAfter) const
{
  Json::Value body;
  body["latest"] = Json::Value::UInt64(m_visibleEvents);
  body["events"] = Json::Value(Json::arrayValue);
  for (auto const& event : m_cache.Events()) {
    bool const isVisible = event.m_sequence > aAfter && event.m_sequence <= m_visibleEvents;
    bool const isLost =
      m_configuration.m_eventGap > 0 && event.m_sequence % m_configuration.m_eventGap == 0;
    if (!isVisible || isLost) {
      continue;
    }
    Json::Value one;
    one["sequence"] = Json::Value::UInt64(event.m_sequence);
    one["type"] = event.m_isStored ? "stored" : "removed";
    one["model"] = event.m_model;
    one["block"] = BlockText(event.m_block);
    body["events"].append(one);
  }
  return JsonValueResponse(200, body);
}

base::HttpResponse EngineStandIn::RenderCache(std::string const& aModel) const
{
  Json::Value body;
  body["model"] = aModel;
  body["blocks"] = Json::Value(Json::arrayValue);
  for (auto const block : m_cache.BlocksOf(aModel)) {
    body["blocks"].append(BlockText(block));
  }
  return JsonValueResponse(200, body);
}

} // namespace sardinefold::standins
