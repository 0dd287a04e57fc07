#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Engine/EngineStandIn.h"

int main(int aCount, char** aArguments)
{
  using namespace sardinefold;
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  return standins::RunStandIn<standins::EngineStandIn>(
    "standin-engine", standins::EngineStandIn::Table(), aCount, aArguments, loop);
}
