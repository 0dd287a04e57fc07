#include "Programs/Entry/EntryProgram.h"
#include "Programs/HandleSignals.h"
#include "Programs/ProcessLimits.h"
#include "Programs/ProgramLifecycle.h"
#include "Programs/SystemClock.h"

using namespace sardinefold;

namespace {

base::SettingsTable Table()
{
  using base::SettingKind;
  std::vector<base::SettingSpec> specs = {
    { "listen", SettingKind::Address, "Address for callers, operators and other processes",
      "127.0.0.1:8080" },
    { "host", SettingKind::Text, "Name of this host in the platform's list", std::nullopt },
    { "failure-domain", SettingKind::Text, "Failure domain of this host", std::nullopt },
    { "region", SettingKind::Text, "Region of this host", "default" },
    { "environment", SettingKind::Text, "Environment whose document is served", "production" },
    { "platform", SettingKind::Address, "Address of the platform's object API", std::nullopt },
    { "fleet-secret", SettingKind::Secret,
      "Secret that all processes of the fleet share; signs what they send one another",
      std::nullopt },
    { "operator-token", SettingKind::Secret,
      "Token that operators present; empty refuses all operators", "" },
    { "document", SettingKind::Text,
      "File with a document to serve until the platform has given one", "" },
    { "tls-certificate", SettingKind::Text,
      "File with the certificate chain for callers (PEM); empty for plain HTTP", "" },
    { "tls-key", SettingKind::Text, "File with the certificate's private key (PEM)", "" },
    { "maximum-body-bytes", SettingKind::Count, "Largest body of a request", "4194304" },
    { "maximum-connections", SettingKind::Count, "Most connections open at once", "20000" },
    { "default-output-tokens", SettingKind::Count,
      "Most tokens generated for a request that names no maximum", "256" },
    { "bytes-per-token", SettingKind::Count,
      "Bytes of prompt text that are reserved as one token; above 1, text that the tokenizer "
      "splits more finely can exceed an allowance",
      "1" },
    { "drain-ms", SettingKind::Milliseconds, "Longest wait for open requests at shutdown",
      "600000" },
    { "log-level", SettingKind::Text, "Lowest level logged: debug, info, warning, error", "info" },
  };
  auto const limits = programs::ProcessLimitSettings();
  specs.insert(specs.end() - 1, limits.begin(), limits.end());
  return { "sardinefold-entry",
           "Takes callers' requests, checks keys and allowances, and gives them to agents.",
           std::move(specs) };
}

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  auto const start =
    programs::StartProgram(Table(), "sardinefold-entry", aArgumentCount, aArguments);
  if (!start.m_settings) {
    return start.m_exitStatus;
  }
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::EntryProgram program(loop, *start.m_settings);
  if (auto const started = program.Start(); !started) {
    std::cerr << "sardinefold-entry: " << started.error() << "\n";
    return programs::kExitUsage;
  }
  loop.Start(programs::HandleSignals(loop, program, [&program] { program.ReloadCertificate(); }));
  loop.Run();
  programs::EndProgram(EXIT_SUCCESS);
}
