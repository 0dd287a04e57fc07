#pragma once

#include "Base/Http/HttpMessage.h"
#include "Base/Time.h"

#include <json/value.h>

#include <cstdint>
#include <deque>
#include <string>

namespace sardinefold::standins {

/// One execution of a request by a stand-in, as it really happened.
struct ExecutionRecord
{
  std::uint64_t m_sequence = 0;
  /// Wall clock, so that the logs of several stand-ins on one machine compare.
  base::WallTime m_received;
  base::WallTime m_ended;
  /// "running", "finished" or "cancelled".
  std::string m_outcome = "running";
  std::string m_target;
  base::HttpHeaders m_headers;
  /// Hash of the body, in hexadecimal.
  std::string m_content;
  std::string m_model;
  std::uint64_t m_promptTokens = 0;
  std::uint64_t m_generatedTokens = 0;
};

/// The latest executions, for invariant checkers.
class ExecutionLog
{
public:
  ExecutionRecord& Add(base::HttpRequest const& aRequest, base::WallTime aNow);
  /// Null once the entry has been dropped for newer ones.
  ExecutionRecord* Find(std::uint64_t aSequence);
  void End(std::uint64_t aSequence, std::string const& aOutcome, base::WallTime aNow);

  std::deque<ExecutionRecord> const& Entries() const { return m_entries; }
  /// {"entries":[...],"dropped":N} of the entries after a sequence number.
  Json::Value Render(std::uint64_t aAfter) const;

private:
  std::deque<ExecutionRecord> m_entries;
  std::uint64_t m_latest = 0;
};

} // namespace sardinefold::standins
