#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Site/SiteConfiguration.h"
#include "StandIns/Site/SiteEngine.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <vector>

namespace {

using namespace sardinefold;

base::SettingsTable Table()
{
  using base::SettingKind;
  return {
    "standin-site", "The users' platform on loopback: store, engines and a plain service.",
    standins::WithCommonSettings(
      { { "engines", SettingKind::Count, "Engines, at 127.0.2.1 and on", "2" },
        { "services", SettingKind::Count, "Upstreams without models, at 127.0.3.1 and on", "1" },
        { "port", SettingKind::Count, "Port of engines and service", "8080" },
        { "listed-port", SettingKind::Count,
          "Port that they list, where another one than theirs is called; 0 for the same", "0" },
        { "domains", SettingKind::Count, "Failure domains that they stand in, by turns", "1" } })
  };
}

} // namespace

int main(int aCount, char** aArguments)
{
  int exitCode = 0;
  auto const settings = standins::ReadSettings(Table(), aCount, aArguments, exitCode);
  if (!settings) {
    return exitCode;
  }
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  standins::SiteStore store(loop);
  store.Put("config", "main", standins::SiteConfiguration(1));
  auto const port = static_cast<std::uint16_t>(settings->Count("port"));
  std::vector<std::unique_ptr<standins::SiteEngine>> upstreams;
  auto const engines = settings->Count("engines");
  for (std::int64_t number = 1 - settings->Count("services"); number <= engines; ++number) {
    standins::SiteEngineSettings upstream;
    bool const isService = number <= 0;
    if (settings->Count("listed-port") > 0) {
      upstream.m_listedPort = static_cast<std::uint16_t>(settings->Count("listed-port"));
    }
    auto const domains = std::max<std::int64_t>(settings->Count("domains"), 1);
    upstream.m_failureDomain = std::string(1, static_cast<char>('a' + std::abs(number) % domains));
    upstream.m_hasModels = !isService;
    upstream.m_instance = "i-" + std::to_string(number);
    if (isService) {
      upstream.m_instance = number == 0 ? "i-desk" : "i-desk" + std::to_string(1 - number);
    }
    upstream.m_deployment = isService ? "desk" : "llm";
    upstream.m_address = { isService ? "127.0.3." + std::to_string(1 - number)
                                     : "127.0.2." + std::to_string(number),
                           port };
    if (!isService) {
      upstream.m_models = { "common", "own" + std::to_string(number) };
    }
    upstreams.push_back(std::make_unique<standins::SiteEngine>(loop, store, upstream));
    if (auto const started = upstreams.back()->Start(); !started) {
      std::fputs(("standin-site: " + started.error() + "\n").c_str(), stderr);
      return 2;
    }
  }
  auto const handler = [&](base::HttpExchange& aExchange) { return store.Serve(aExchange); };
  base::HttpServer server(loop, {}, handler, standins::RenderRequestError);
  store.Attach(server);
  return standins::ServeUntilTerminated("standin-site", loop, server, *settings);
}
