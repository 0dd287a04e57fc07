#pragma once

#include "Base/Http/HttpMessage.h"
#include "Base/Time.h"

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <string>

namespace sardinefold::standins {

/// One execution of a request by a stand-in.
struct ExecutionRecord
{
  std::uint64_t m_sequence = 0;
  /// Wall clock time, so that logs of several stand-ins on one machine can be
  /// compared.
  base::WallTime m_received;
  base::WallTime m_ended;
  /// "running", "finished" or "cancelled".
  std::string m_outcome = "running";
  std::string m_target;
  base::HttpHeaders m_headers;
  /// SHA-256 of the body, in hexadecimal.
  std::string m_content;
  std::string m_model;
  std::uint64_t m_promptTokens = 0;
  std::uint64_t m_generatedTokens = 0;
};

/// Log of the latest executions, which tests check invariants against.
class ExecutionLog
{
public:
  ExecutionRecord& Add(base::HttpRequest const& aRequest, base::WallTime aNow);
  /// Returns null once the entry has been evicted for newer ones.
  ExecutionRecord* Find(std::uint64_t aSequence);
  void End(std::uint64_t aSequence, std::string const& aOutcome, base::WallTime aNow);

  std::deque<ExecutionRecord> const& Entries() const { return m_entries; }
  /// Returns {"entries":[...],"dropped":N} with the entries after a sequence
  /// number.
  Json::Value Render(std::uint64_t aAfter) const;

private:
  std::deque<ExecutionRecord> m_entries;
  std::uint64_t m_latest = 0;
};

} // namespace sardinefold::standins
