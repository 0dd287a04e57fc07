#pragma once

#include "Caller/ForwardRequest.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinefold::programs {

/// Splits a stream of server-sent events after complete events, so that a stream
/// that is interrupted inside an event can be resumed after the last complete
/// one.
class EventBuffer
{
public:
  /// Well above the size of an event, which holds a few tokens.
  static constexpr std::size_t kMaximumEventBytes = 256UL * 1024;

  /// Adds bytes, and removes and returns the complete events in the buffer.
  std::string Add(std::string_view aBytes)
  {
    m_pending.append(aBytes);
    auto const end = LastEventEnd();
    auto complete = m_pending.substr(0, end);
    m_pending.erase(0, end);
    return complete;
  }

  bool IsTooLong() const { return m_pending.size() > kMaximumEventBytes; }
  /// The bytes after the last complete event.
  std::string const& PartialEvent() const { return m_pending; }
  void Clear() { m_pending.clear(); }

private:
  std::size_t LastEventEnd() const
  {
    auto const lf = m_pending.rfind("\n\n");
    auto const crlf = m_pending.rfind("\r\n\r\n");
    auto const lfEnd = lf == std::string::npos ? 0 : lf + 2;
    auto const crlfEnd = crlf == std::string::npos ? 0 : crlf + 4;
    return std::max(lfEnd, crlfEnd);
  }

  std::string m_pending;
};

/// Splits a sequence of complete events into the events.
inline std::vector<std::string_view> SplitEvents(std::string_view aEvents)
{
  std::vector<std::string_view> events;
  while (!aEvents.empty()) {
    auto const lf = aEvents.find("\n\n");
    auto const crlf = aEvents.find("\r\n\r\n");
    auto const lfEnd = lf == std::string_view::npos ? aEvents.size() : lf + 2;
    auto const crlfEnd = crlf == std::string_view::npos ? aEvents.size() : crlf + 4;
    auto const end = std::min(lfEnd, crlfEnd);
    events.push_back(aEvents.substr(0, end));
    aEvents.remove_prefix(end);
  }
  return events;
}

/// Returns the last event of a sequence of complete events.
inline std::string_view LastEvent(std::string_view aEvents)
{
  while (!aEvents.empty() && (aEvents.back() == '\n' || aEvents.back() == '\r')) {
    aEvents.remove_suffix(1);
  }
  auto const lf = aEvents.rfind("\n\n");
  auto const crlf = aEvents.rfind("\r\n\r\n");
  auto start = lf == std::string_view::npos ? 0 : lf + 2;
  if (crlf != std::string_view::npos) {
    start = std::max(start, crlf + 4);
  }
  return aEvents.substr(start);
}

} // namespace sardinefold::programs
