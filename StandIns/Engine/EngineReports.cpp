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

Json::Value RenderReplica(HeldReplica const& aReplica)
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
  Json::Value answer;
  answer["object"] = "list";
  answer["data"] = Json::Value(Json::arrayValue);
  for (auto const& replica : m_replicas.All()) {
    if (replica.m_state != ReplicaState::Loaded) {
      continue;
    }
    Json::Value model;
    model["id"] = replica.m_name;
    model["object"] = "model";
    model["owned_by"] = "standin";
    answer["data"].append(model);
  }
  return JsonValueResponse(200, answer);
}

base::HttpResponse EngineStandIn::RenderState() const
{
  Json::Value answer;
  answer["replicas"] = Json::Value(Json::arrayValue);
  for (auto const& replica : m_replicas.All()) {
    answer["replicas"].append(RenderReplica(replica));
  }
  answer["memory"]["capacity"] = Json::Value::Int64(m_replicas.Capacity().Value());
  answer["memory"]["used"] = Json::Value::Int64(m_replicas.Used().Value());
  answer["memory"]["most_used"] = Json::Value::Int64(m_replicas.MostUsed().Value());
  answer["running"] = Json::Value::UInt64(m_batch.Count(SequenceState::Running));
  answer["waiting"] = Json::Value::UInt64(m_batch.Count(SequenceState::Waiting));
  answer["fencing"] = Json::Value::UInt64(m_fencing.Value());
  answer["role"] = m_role;
  answer["stale_orders"] = Json::Value::UInt64(m_staleOrders);
  answer["out_of_memory"] = Json::Value::UInt64(m_outOfMemory);
  return JsonValueResponse(200, answer);
}

EngineStandIn::LoadReport EngineStandIn::TakeReport() const
{
  LoadReport report;
  report.m_at = m_loop.Now();
  report.m_running = m_batch.Count(SequenceState::Running);
  report.m_waiting = m_batch.Count(SequenceState::Waiting);
  report.m_cacheBlocks = m_cache.Size();
  for (auto const& [id, sequence] : m_batch.All()) {
    if (sequence.m_state == SequenceState::Waiting) {
      report.m_waitingTokens += sequence.m_answer.m_promptTokens;
    }
  }
  return report;
}

base::HttpResponse EngineStandIn::RenderLoad() const
{
  Json::Value answer;
  answer["running"] = Json::Value::UInt64(m_report.m_running);
  answer["waiting"] = Json::Value::UInt64(m_report.m_waiting);
  answer["waiting_prompt_tokens"] = Json::Value::UInt64(m_report.m_waitingTokens);
  answer["cache_blocks"] = Json::Value::UInt64(m_report.m_cacheBlocks);
  answer["cache_block_capacity"] = Json::Value::UInt64(m_configuration.m_cacheBlocks);
  answer["maximum_running"] = Json::Value::UInt64(m_configuration.m_batch.m_maximumRunning);
  answer["age_ms"] = Json::Value::Int64(base::ToMilliseconds(m_loop.Now() - m_report.m_at));
  return JsonValueResponse(200, answer);
}

base::HttpResponse EngineStandIn::RenderEvents(std::uint64_t aAfter) const
{
  Json::Value answer;
  answer["latest"] = Json::Value::UInt64(m_visibleEvents);
  answer["events"] = Json::Value(Json::arrayValue);
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
    answer["events"].append(one);
  }
  return JsonValueResponse(200, answer);
}

base::HttpResponse EngineStandIn::RenderCache(std::string const& aModel) const
{
  Json::Value answer;
  answer["model"] = aModel;
  answer["blocks"] = Json::Value(Json::arrayValue);
  for (auto const block : m_cache.BlocksOf(aModel)) {
    answer["blocks"].append(BlockText(block));
  }
  return JsonValueResponse(200, answer);
}

} // namespace sardinefold::standins
