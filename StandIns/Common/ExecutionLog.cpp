#include "StandIns/Common/ExecutionLog.h"

#include "Base/Digest.h"

#include <boost/algorithm/string/case_conv.hpp>

namespace sardinefold::standins {

namespace {

constexpr std::size_t kMaximumEntries = 50'000;

Json::Value RenderEntry(ExecutionRecord const& aEntry)
{
  Json::Value value;
  value["sequence"] = Json::Value::UInt64(aEntry.m_sequence);
  value["received_ms"] = Json::Value::Int64(aEntry.m_received.m_milliseconds);
  value["ended_ms"] = Json::Value::Int64(aEntry.m_ended.m_milliseconds);
  value["outcome"] = aEntry.m_outcome;
  value["target"] = aEntry.m_target;
  value["content"] = aEntry.m_content;
  value["request"] = std::string(aEntry.m_headers.Find("Sardinefold-Request").value_or(""));
  value["workspace"] = std::string(aEntry.m_headers.Find("Sardinefold-Workspace").value_or(""));
  value["model"] = aEntry.m_model;
  value["prompt_tokens"] = Json::Value::UInt64(aEntry.m_promptTokens);
  value["generated_tokens"] = Json::Value::UInt64(aEntry.m_generatedTokens);
  value["headers"] = Json::Value(Json::objectValue);
  for (auto const& field : aEntry.m_headers.Fields()) {
    value["headers"][boost::algorithm::to_lower_copy(field.m_name)] = field.m_value;
  }
  return value;
}

} // namespace

ExecutionRecord& ExecutionLog::Add(base::HttpRequest const& aRequest, base::WallTime aNow)
{
  ExecutionRecord entry;
  entry.m_sequence = ++m_latest;
  entry.m_received = aNow;
  entry.m_target = aRequest.m_target;
  entry.m_headers = aRequest.m_headers;
  entry.m_content = base::ToHex(base::Sha256(aRequest.m_body));
  m_entries.push_back(std::move(entry));
  if (m_entries.size() > kMaximumEntries) {
    m_entries.pop_front();
  }
  return m_entries.back();
}

ExecutionRecord* ExecutionLog::Find(std::uint64_t aSequence)
{
  auto const oldest = m_entries.empty() ? m_latest + 1 : m_entries.front().m_sequence;
  if (aSequence < oldest || aSequence > m_latest) {
    return nullptr;
  }
  return &m_entries[static_cast<std::size_t>(aSequence - oldest)];
}

void ExecutionLog::End(std::uint64_t aSequence, std::string const& aOutcome, base::WallTime aNow)
{
  if (auto* const entry = Find(aSequence)) {
    entry->m_outcome = aOutcome;
    entry->m_ended = aNow;
  }
}

Json::Value ExecutionLog::Render(std::uint64_t aAfter) const
{
  Json::Value body;
  body["entries"] = Json::Value(Json::arrayValue);
  for (auto const& entry : m_entries) {
    if (entry.m_sequence > aAfter) {
      body["entries"].append(RenderEntry(entry));
    }
  }
  body["dropped"] = Json::Value::UInt64(m_latest - m_entries.size());
  return body;
}

} // namespace sardinefold::standins
