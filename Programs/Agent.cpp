#include "Programs/Agent/AgentProgram.h"
#include "Programs/ProgramLifecycle.h"
#include "Programs/SystemClock.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>

using namespace sardinefold;

int main(int aArgumentCount, char** aArguments)
{
  auto const start = programs::StartProgram(programs::AgentConfiguration::Table(),
                                            "sardinefold-agent", aArgumentCount, aArguments);
  if (!start.m_settings) {
    return start.m_exitStatus;
  }
  auto configuration = programs::AgentConfiguration::Create(*start.m_settings);
  if (!configuration) {
    std::cerr << "sardinefold-agent: " << configuration.error().m_message << "\n";
    return programs::kExitUsage;
  }
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  programs::AgentProgram program(loop, std::move(*configuration));
  if (auto const started = program.Start(); !started) {
    std::cerr << "sardinefold-agent: " << started.error() << "\n";
    return EXIT_FAILURE;
  }
  boost::asio::signal_set signals(loop.Context(), SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code aError, int) {
    if (!aError) {
      loop.Start(program.Shutdown());
    }
  });
  loop.Run();
  return EXIT_SUCCESS;
}
