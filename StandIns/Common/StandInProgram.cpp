#include "StandIns/Common/StandInProgram.h"

#include "Base/Log.h"
#include "StandIns/Common/FaultInjector.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string_view>

namespace sardinefold::standins {

namespace {

constexpr int kUsageExitCode = 2;

std::optional<std::string> ReadEnvironment(std::string const& aName)
{
  char const* const value = std::getenv(aName.c_str());
  return value ? std::optional<std::string>(value) : std::nullopt;
}

} // namespace

std::vector<base::SettingSpec> WithCommonSettings(std::vector<base::SettingSpec> aSpecs)
{
  using base::SettingKind;
  aSpecs.push_back({ "listen", SettingKind::Address, "where to serve", std::nullopt });
  aSpecs.push_back({ "log-level", SettingKind::Text, "debug, info, warning or error", "info" });
  return aSpecs;
}

std::optional<base::Settings> ReadSettings(base::SettingsTable const& aTable, int aCount,
                                           char const* const* aArguments, int& aExitCode)
{
  std::vector<std::string> const arguments(aArguments + 1, aArguments + aCount);
  for (std::string_view const argument : arguments) {
    if (argument == "--help") {
      std::fputs(aTable.Help().c_str(), stdout);
      aExitCode = 0;
      return std::nullopt;
    }
  }
  auto settings = aTable.Parse(arguments, ReadEnvironment);
  if (!settings) {
    std::fputs((settings.error().m_message + "\n").c_str(), stderr);
    aExitCode = kUsageExitCode;
    return std::nullopt;
  }
  return std::move(*settings);
}

base::HttpResponse RenderRequestError(base::HttpRequestError const& aError)
{
  return ErrorResponse(aError.m_status, "bad_request", aError.m_message);
}

int ServeUntilTerminated(std::string const& aProgram, base::EventLoop& aLoop,
                         base::HttpServer& aServer, base::Settings const& aSettings)
{
  auto const configured = base::log::Configure(aProgram, aSettings.Text("log-level"));
  if (!configured) {
    std::fputs(("--log-level: " + configured.error() + "\n").c_str(), stderr);
    return kUsageExitCode;
  }
  auto endpoint = aSettings.Address("listen");
  if (auto const listening = aServer.Listen(endpoint); !listening) {
    std::fputs((listening.error() + "\n").c_str(), stderr);
    return EXIT_FAILURE;
  }
  endpoint.m_port = aServer.Port();
  base::log::Info("ready", { { "address", endpoint.Text() } });
  boost::asio::signal_set signals(aLoop.Context(), SIGTERM, SIGINT);
  signals.async_wait([&aLoop](boost::system::error_code, int) { aLoop.Stop(); });
  aLoop.Run();
  return EXIT_SUCCESS;
}

} // namespace sardinefold::standins
