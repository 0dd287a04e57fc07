#include "Programs/SystemClock.h"
#include "StandIns/Common/StandInProgram.h"
#include "StandIns/WeightStore/WeightStoreStandIn.h"

int main(int aCount, char** aArguments)
{
  using namespace sardinefold;
  base::EventLoop loop(programs::SystemClock::Monotonic, programs::SystemClock::Wall);
  return standins::RunStandIn<standins::WeightStoreStandIn>(
    "standin-weight-store", standins::WeightStoreStandIn::Table(), aCount, aArguments, loop);
}
