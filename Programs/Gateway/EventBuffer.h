#pragma once

#include "Caller/ForwardRequest.h"

#include <optional>
#include <string>
#include <string_view>

namespace sardinefold::programs {

/// Cuts a stream of server-sent events behind complete events, so that a
/// stream that breaks inside an event can be resumed behind the last whole one.
class EventBuffer
{
public:
  /// An event holds a few tokens.
  static constexpr std::size_t kLongestEvent = 256UL * 1024;

  /// Adds bytes and returns the complete events among what is held.
  std::string Add(std::string_view aBytes)
  {
    m_held.append(aBytes);
    auto const end = LastEventEnd();
    auto complete = m_held.substr(0, end);
    m_held.erase(0, end);
    return complete;
  }

  bool IsTooLong() const { return m_held.size() > kLongestEvent; }
  /// Bytes behind the last complete event.
  std::string const& Rest() const { return m_held; }
  void Clear() { m_held.clear(); }

private:
  std::size_t LastEventEnd() const
  {
    auto const plain = m_held.rfind("\n\n");
    auto const carriage = m_held.rfind("\r\n\r\n");
    auto const plainEnd = plain == std::string::npos ? 0 : plain + 2;
    auto const carriageEnd = carriage == std::string::npos ? 0 : carriage + 4;
    return std::max(plainEnd, carriageEnd);
  }

  std::string m_held;
};

/// The last complete event of a text of complete events.
inline std::string_view LastEvent(std::string_view aEvents)
{
  while (!aEvents.empty() && (aEvents.back() == '\n' || aEvents.back() == '\r')) {
    aEvents.remove_suffix(1);
  }
  auto const plain = aEvents.rfind("\n\n");
  auto const carriage = aEvents.rfind("\r\n\r\n");
  auto start = plain == std::string_view::npos ? 0 : plain + 2;
  if (carriage != std::string_view::npos) {
    start = std::max(start, carriage + 4);
  }
  return aEvents.substr(start);
}

} // namespace sardinefold::programs
