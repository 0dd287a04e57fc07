#pragma once

#include <tl/expected.hpp>

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace sardinefold::base {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

/// A named value of a log line. It must never contain a caller's API key.
struct LogField
{
  std::string_view m_name;
  std::string m_value;
};

/// Writes log lines as JSON objects to standard output. The fields are members of
/// "context_map", beside "timestamp", "level", "logger" and "message".
namespace log {

/// Sets the program's name and the lowest level written. The error lists the valid
/// levels.
tl::expected<void, std::string> Configure(std::string_view aProgram, std::string_view aLevel);

/// Maximum number of lines with the same message between two calls of
/// StartInterval(). Further lines are dropped and counted.
inline constexpr unsigned kMaximumLinesPerInterval = 400;

/// Makes standard output non-blocking. If its reader is slow, lines are lost and
/// the event loop is not blocked.
void MakeOutputNonBlocking();

/// Starts a new rate-limiting interval and logs how many lines the last interval
/// dropped. A program that limits its log calls this periodically; rate limiting
/// begins with the first call.
void StartInterval();

void Write(LogLevel aLevel, std::string_view aMessage,
           std::initializer_list<LogField> aFields = {});

inline void Debug(std::string_view aMessage, std::initializer_list<LogField> aFields = {})
{
  Write(LogLevel::Debug, aMessage, aFields);
}
inline void Info(std::string_view aMessage, std::initializer_list<LogField> aFields = {})
{
  Write(LogLevel::Info, aMessage, aFields);
}
inline void Warning(std::string_view aMessage, std::initializer_list<LogField> aFields = {})
{
  Write(LogLevel::Warning, aMessage, aFields);
}
inline void Error(std::string_view aMessage, std::initializer_list<LogField> aFields = {})
{
  Write(LogLevel::Error, aMessage, aFields);
}

} // namespace log

} // namespace sardinefold::base
