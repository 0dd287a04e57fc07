#include "Programs/Load/LoadRun.h"
#include "Programs/ProgramLifecycle.h"
#include "Programs/SystemClock.h"

#include <fstream>
#include <iostream>
#include <iterator>

using namespace sardinefold;

namespace {

base::SettingsTable Table()
{
  using base::SettingKind;
  return {
    "sardinefold-load",
    "Sends a plan of seeded load to entries and prints percentiles for each workspace and class "
    "as JSON lines. Ends with status 1 if a request was lost.",
    {
      { "targets", SettingKind::Addresses, "Entries to send to, each in turn", std::nullopt },
      { "plan", SettingKind::Text, "File with the plan (docs/LOAD.md)", std::nullopt },
      { "seed", SettingKind::Count, "Seed of arrivals and prompts", "1" },
      { "maximum-open", SettingKind::Count, "Most requests open at once", "2000" },
      { "log-level", SettingKind::Text, "Lowest level logged: debug, info, warning, error",
        "warning" },
    }
  };
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  auto const start =
    programs::StartProgram(Table(), "sardinefold-load", aArgumentCount, aArguments);
  if (!start.m_settings) {
    return start.m_exitStatus;
  }
  auto const& settings = *start.m_settings;
  std::ifstream file(settings.Text("plan"));
  std::string const text(std::istreambuf_iterator<char>(file), {});
  auto plan = programs::ParseLoadPlan(text);
  if (!file || !plan) {
    auto const reason = file ? plan.error() : std::string("cannot be read");
    std::cerr << "sardinefold-load: --plan (SARDINEFOLD_PLAN): " << reason << "\n";
    return programs::kExitUsage;
  }
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::LoadRun run(loop, std::move(*plan), settings.Addresses("targets"),
                        static_cast<std::uint64_t>(settings.Count("seed")),
                        static_cast<std::size_t>(settings.Count("maximum-open")));
  auto const runAndStop = [&]() -> boost::asio::awaitable<void> {
    co_await run.Run();
    loop.Stop();
  };
  loop.Start(runAndStop());
  loop.Run();
  std::cout << run.Report().Render();
  return run.Report().LostRequests() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
