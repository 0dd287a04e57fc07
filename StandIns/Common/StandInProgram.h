#pragma once

#include "Base/EventLoop.h"
#include "Base/Http/HttpServer.h"
#include "Base/Settings.h"

#include <optional>
#include <string>
#include <vector>

namespace sardinefold::standins {

/// Adds --listen and --log-level to a stand-in's settings.
std::vector<base::SettingSpec> WithCommonSettings(std::vector<base::SettingSpec> aSpecs);

/// Reads the command line. Returns nothing if the program must exit, and sets
/// aExitCode to its exit status.
std::optional<base::Settings> ReadSettings(base::SettingsTable const& aTable, int aCount,
                                           char const* const* aArguments, int& aExitCode);

/// Listens, logs "ready" and runs until SIGTERM or SIGINT. Returns the exit
/// status of the program.
int ServeUntilTerminated(std::string const& aProgram, base::EventLoop& aLoop,
                         base::HttpServer& aServer, base::Settings const& aSettings);

base::HttpResponse RenderRequestError(base::HttpRequestError const& aError);

/// Runs a stand-in and returns its exit status. The class provides Create(),
/// which checks the settings, Attach() and Serve(), which serves one exchange.
template<typename StandIn>
int RunStandIn(std::string const& aProgram, base::SettingsTable const& aTable, int aCount,
               char const* const* aArguments, base::EventLoop& aLoop)
{
  int exitCode = 0;
  auto const settings = ReadSettings(aTable, aCount, aArguments, exitCode);
  if (!settings) {
    return exitCode;
  }
  auto standIn = StandIn::Create(aLoop, *settings);
  if (!standIn) {
    std::fputs((aProgram + ": " + standIn.error() + "\n").c_str(), stderr);
    return 2;
  }
  auto const handler = [&](base::HttpExchange& aExchange) { return (*standIn)->Serve(aExchange); };
  base::HttpServer server(aLoop, {}, handler, RenderRequestError);
  (*standIn)->Attach(server);
  return ServeUntilTerminated(aProgram, aLoop, server, *settings);
}

} // namespace sardinefold::standins
