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

/// A named value of a log line. Keys of callers never go into one.
struct LogField
{
  std::string_view m_name;
  std::string m_value;
};

/// Writes log lines as JSON objects to standard output. The fields stand in
/// "context_map", beside "timestamp", "level", "logger" and "message".
namespace log {

/// Sets the program's name and the lowest level written. The error says which
/// levels exist.
tl::expected<void, std::string> Configure(std::string_view aProgram, std::string_view aLevel);

/// Lines of one message that are written between two calls of StartInterval();
/// further ones are counted and dropped.
inline constexpr unsigned kMaximumLinesPerInterval = 400;

/// Makes standard output lose lines rather than hold up the program when its
/// reader is slow.
void MakeOutputNonBlocking();

/// Begins a new interval, and tells which lines the last one dropped. A program
/// that bounds its log calls this from its loop.
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
