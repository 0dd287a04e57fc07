#pragma once

#include "Caller/ForwardRequest.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
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
    // The end of an event may have begun in earlier bytes, but is not complete in them.
    auto const searched = m_pending.size() - std::min(m_pending.size(), kLongestEnd.size() - 1);
    m_pending.append(aBytes);
    auto const end = LastEventEnd(searched);
    if (end == 0) {
      return {};
    }
    // The rest takes memory for its own size only.
    auto rest = m_pending.substr(end);
    auto complete = std::exchange(m_pending, std::move(rest));
    complete.resize(end);
    return complete;
  }

  bool IsTooLong() const { return m_pending.size() > kMaximumEventBytes; }
  /// The bytes after the last complete event.
  std::string const& PartialEvent() const { return m_pending; }
  void Clear() { m_pending.clear(); }

private:
  static constexpr std::string_view kShortestEnd = "\n\n";
  static constexpr std::string_view kLongestEnd = "\r\n\r\n";

  /// Returns the end of the last event that ends after aStart, or zero.
  std::size_t LastEventEnd(std::size_t aStart) const
  {
    auto const text = std::string_view(m_pending).substr(aStart);
    auto const lf = text.rfind(kShortestEnd);
    auto const crlf = text.rfind(kLongestEnd);
    auto const lfEnd = lf == std::string_view::npos ? 0 : aStart + lf + kShortestEnd.size();
    auto const crlfEnd = crlf == std::string_view::npos ? 0 : aStart + crlf + kLongestEnd.size();
    return std::max(lfEnd, crlfEnd);
  }

  std::string m_pending;
};

/// Returns the length of the first event, or of the text if no event ends in it. Reads
/// nothing beyond that event, as a text may hold thousands of them.
inline std::size_t FirstEventLength(std::string_view aText)
{
  for (auto feed = aText.find('\n'); feed != std::string_view::npos;
       feed = aText.find('\n', feed + 1)) {
    auto const rest = aText.substr(feed + 1);
    if (rest.starts_with('\n')) {
      return feed + 2;
    }
    if (aText.substr(0, feed).ends_with('\r') && rest.starts_with("\r\n")) {
      return feed + 3;
    }
  }
  return aText.size();
}

/// Splits a sequence of complete events into the events.
inline std::vector<std::string_view> SplitEvents(std::string_view aEvents)
{
  std::vector<std::string_view> events;
  while (!aEvents.empty()) {
    auto const end = FirstEventLength(aEvents);
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
