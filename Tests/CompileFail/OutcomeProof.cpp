#include "Base/Outcome.h"

using namespace sardinefold::base;

namespace {

[[maybe_unused]] void SendAgain(RetryPermit) {}
[[maybe_unused]] void TellCallerNotRun(NotRun const&) {}

[[maybe_unused]] void Check(NotRun const& aNotRun, Unknown const& aUnknown, Repeatable aRepeatable)
{
#if MISTAKE == 0
  SendAgain(RetryPermit(aNotRun));
  SendAgain(RetryPermit(aUnknown, aRepeatable));
  TellCallerNotRun(aNotRun);
#elif MISTAKE == 1
  // Retries what may have run.
  SendAgain(RetryPermit(aUnknown));
#elif MISTAKE == 2
  // Tells "not run" of what may have run.
  TellCallerNotRun(aUnknown);
#elif MISTAKE == 3
  // Makes up a proof.
  TellCallerNotRun(NotRun("surely"));
#elif MISTAKE == 4
  // Claims that a request may be repeated without asking its route.
  SendAgain(RetryPermit(aUnknown, Repeatable()));
#elif MISTAKE == 5
  // Spends one permit twice.
  RetryPermit permit(aNotRun);
  SendAgain(permit);
  SendAgain(permit);
#elif MISTAKE == 6
  // Sends again without a permit.
  SendAgain({});
#endif
  static_cast<void>(aNotRun);
  static_cast<void>(aUnknown);
  static_cast<void>(aRepeatable);
}

} // namespace
