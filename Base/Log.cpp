#include "Base/Log.h"

#include <fcntl.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/mdc.h>
#include <unistd.h>

#include <map>

namespace sardinefold::base::log {

namespace {

log4cxx::LoggerPtr& ProgramLogger()
{
  static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("sardinefold");
  return logger;
}

log4cxx::LevelPtr ToLevel(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cxx::Level::getDebug();
    case LogLevel::Info:
      return log4cxx::Level::getInfo();
    case LogLevel::Warning:
      return log4cxx::Level::getWarn();
    case LogLevel::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

/// Number of lines with one message in the current interval.
struct LineCount
{
  unsigned m_written = 0;
  unsigned m_dropped = 0;
};

using LineCounts = std::map<std::string, LineCount, std::less<>>;

LineCounts& Counts()
{
  static LineCounts counts;
  return counts;
}

/// False until the first call of StartInterval(). Programs that never call it, such as
/// command-line tools, write all lines.
bool& IsRateLimited()
{
  static bool isRateLimited = false;
  return isRateLimited;
}

bool AllowLine(std::string_view aMessage)
{
  if (!IsRateLimited()) {
    return true;
  }
  auto& counts = Counts();
  auto found = counts.find(aMessage);
  if (found == counts.end()) {
    found = counts.emplace(aMessage, LineCount{}).first;
  }
  if (found->second.m_written < kMaximumLinesPerInterval) {
    ++found->second.m_written;
    return true;
  }
  ++found->second.m_dropped;
  return false;
}

} // namespace

void MakeOutputNonBlocking()
{
  int const flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void StartInterval()
{
  auto const counts = std::exchange(Counts(), {});
  IsRateLimited() = true;
  for (auto const& [message, count] : counts) {
    if (count.m_dropped > 0) {
      Warning("log lines dropped",
              { { "of", message }, { "lines", std::to_string(count.m_dropped) } });
    }
  }
}

tl::expected<void, std::string> Configure(std::string_view aProgram, std::string_view aLevel)
{
  log4cxx::LevelPtr level;
  if (aLevel == "debug") {
    level = log4cxx::Level::getDebug();
  } else if (aLevel == "info") {
    level = log4cxx::Level::getInfo();
  } else if (aLevel == "warning") {
    level = log4cxx::Level::getWarn();
  } else if (aLevel == "error") {
    level = log4cxx::Level::getError();
  } else {
    return tl::make_unexpected("\"" + std::string(aLevel) +
                               "\" is not one of debug, info, warning, error");
  }
  auto layout = std::make_shared<log4cxx::JSONLayout>();
  layout->setLocationInfo(false);
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
  appender->setTarget(LOG4CXX_STR("System.out"));
  log4cxx::helpers::Pool pool;
  appender->activateOptions(pool);
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  ProgramLogger() = log4cxx::Logger::getLogger(std::string(aProgram));
  ProgramLogger()->setLevel(level);
  return {};
}

void Write(LogLevel aLevel, std::string_view aMessage, std::initializer_list<LogField> aFields)
{
  auto const& logger = ProgramLogger();
  auto const level = ToLevel(aLevel);
  if (!logger->isEnabledFor(level) || !AllowLine(aMessage)) {
    return;
  }
  for (auto const& field : aFields) {
    log4cxx::MDC::put(std::string(field.m_name), field.m_value);
  }
  logger->forcedLog(level, std::string(aMessage),
                    log4cxx::spi::LocationInfo::getLocationUnavailable());
  log4cxx::MDC::clear();
}

} // namespace sardinefold::base::log
