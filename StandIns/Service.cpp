#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/Service/ServiceStandIn.h"

int main(int aCount, char** aArguments)
{
  using namespace sardinefold;
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  return standins::RunStandIn<standins::ServiceStandIn>(
    "standin-service", standins::ServiceStandIn::Table(), aCount, aArguments, loop);
}
