#include "Base/Json.h"
#include "Programs/Control/ControlCommands.h"
#include "Programs/ProgramLifecycle.h"
#include "Programs/SystemClock.h"

#include <iostream>

using namespace sardinefold;

namespace {

base::SettingsTable Table()
{
  using base::SettingKind;
  std::string summary = "Checks, applies and promotes documents. Commands:\n";
  for (auto const& command : programs::AllCommands()) {
    summary += "\n  " + std::string(command.m_name) + " " + std::string(command.m_arguments) +
               "\n      " + std::string(command.m_help);
  }
  summary += "\n\nExit status: 0 done, 1 failed, 2 wrong usage, 3 invalid document, 4 conflict "
             "with another operator,\n5 outcome unknown, 6 some processes are behind, 7 the "
             "documents differ.";
  return { "sardinefoldctl",
           summary,
           { { "entry", SettingKind::Address, "Entry to call", "127.0.0.1:8080" },
             { "operator-token", SettingKind::Secret, "Token that the entries expect", "" },
             { "author", SettingKind::Text, "Name that the history shows", "operator" },
             { "output", SettingKind::Text, "Output format: text or json", "text" },
             { "wait", SettingKind::Flag, "Wait until the version is in force everywhere",
               "false" },
             { "wait-limit-ms", SettingKind::Milliseconds, "Longest wait of --wait", "30000" },
             { "log-level", SettingKind::Text, "Lowest level logged: debug, info, warning, error",
               "warning" } } };
}

int Print(programs::ControlResult<programs::ControlOutput> const& aResult, bool aIsJson)
{
  if (aResult) {
    std::cout << (aIsJson ? base::RenderJson(aResult->m_value) + "\n" : aResult->m_text);
    return static_cast<int>(aResult->m_status);
  }
  auto const status = static_cast<int>(programs::StatusOf(aResult.error().m_kind));
  if (aIsJson) {
    Json::Value value;
    value["error"]["message"] = aResult.error().m_message;
    value["error"]["status"] = status;
    std::cout << base::RenderJson(value) << "\n";
  } else {
    std::cerr << "sardinefoldctl: " << aResult.error().m_message << "\n";
  }
  return status;
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  auto const start = programs::StartProgram(Table(), "sardinefoldctl", aArgumentCount, aArguments);
  if (!start.m_settings) {
    return start.m_exitStatus;
  }
  auto const& settings = *start.m_settings;
  auto const& output = settings.Text("output");
  if (output != "text" && output != "json") {
    std::cerr << "sardinefoldctl: --output (SARDINEFOLD_OUTPUT): \"" << output
              << "\" is neither text nor json\n";
    return programs::kExitUsage;
  }
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::ControlClient client(
    loop, { settings.Address("entry"), settings.Text("operator-token"), settings.Text("author") });
  int status = EXIT_FAILURE;
  auto const runAndStop = [&]() -> boost::asio::awaitable<void> {
    auto const result = co_await programs::RunCommand(client, settings);
    status = Print(result, output == "json");
    loop.Stop();
  };
  loop.Start(runAndStop());
  loop.Run();
  return status;
}
