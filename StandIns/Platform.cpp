#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Platform/PlatformStandIn.h"

int main(int aCount, char** aArguments)
{
  using namespace sardinefold;
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  return standins::RunStandIn<standins::PlatformStandIn>(
    "standin-platform", standins::PlatformStandIn::Table(), aCount, aArguments, loop);
}
