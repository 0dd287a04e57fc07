#pragma once

#include "Base/Log.h"
#include "Base/Settings.h"

#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace sardinefold::programs {

/// Exit status for invalid settings.
inline constexpr int kExitUsage = 2;

inline constexpr char kVersion[] = "0.1.0";

inline std::optional<std::string> ReadEnvironment(std::string const& aName)
{
  auto const* const value = std::getenv(aName.c_str());
  return value ? std::optional<std::string>(value) : std::nullopt;
}

/// Result of StartProgram(). Without settings the program ends with the given
/// status.
struct ProgramStart
{
  std::optional<base::Settings> m_settings;
  int m_exitStatus = EXIT_SUCCESS;
};

/// Reads a program's settings and configures its log. Handles --help and --version
/// itself.
inline ProgramStart StartProgram(base::SettingsTable const& aTable, char const* aProgram,
                                 int aArgumentCount, char** aArguments)
{
  std::vector<std::string> const arguments(aArguments + 1, aArguments + aArgumentCount);
  for (auto const& argument : arguments) {
    if (argument == "--help") {
      std::cout << aTable.Help();
      return {};
    }
    if (argument == "--help-markdown") {
      std::cout << aTable.Markdown();
      return {};
    }
    if (argument == "--version") {
      std::cout << aProgram << " " << kVersion << "\n";
      return {};
    }
  }
  auto settings = aTable.Parse(arguments, ReadEnvironment);
  if (!settings) {
    std::cerr << aProgram << ": " << settings.error().m_message << "\n";
    return { std::nullopt, kExitUsage };
  }
  if (auto const configured = base::log::Configure(aProgram, settings->Text("log-level"));
      !configured) {
    std::cerr << aProgram << ": --log-level (SARDINEFOLD_LOG_LEVEL): " << configured.error()
              << "\n";
    return { std::nullopt, kExitUsage };
  }
  return { std::move(*settings), EXIT_SUCCESS };
}

/// Ends a program whose loop has stopped, without running destructors: coroutines
/// that are still suspended refer to parts of the program that would be destroyed
/// before them.
[[noreturn]] inline void EndProgram(int aExitStatus)
{
  std::cout.flush();
  std::cerr.flush();
  std::quick_exit(aExitStatus);
}

} // namespace sardinefold::programs
