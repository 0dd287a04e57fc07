#include "Base/Outcome.h"

using namespace sardinefold::base;

namespace {

[[maybe_unused]] void RetryRequest(RetryPermit) {}
[[maybe_unused]] void ReportNotRun(NotRun const&) {}

[[maybe_unused]] void Check(NotRun const& aNotRun, Unknown const& aUnknown, Repeatable aRepeatable)
{
#if MISTAKE == 0
  RetryRequest(RetryPermit(aNotRun));
  RetryRequest(RetryPermit(aUnknown, aRepeatable));
  ReportNotRun(aNotRun);
#elif MISTAKE == 1
  // Retries a request that may have run.
  RetryRequest(RetryPermit(aUnknown));
#elif MISTAKE == 2
  // Reports a request as not run although it may have run.
  ReportNotRun(aUnknown);
#elif MISTAKE == 3
  // Constructs a proof without evidence.
  ReportNotRun(NotRun("surely"));
#elif MISTAKE == 4
  // Declares a request repeatable without consulting its route.
  RetryRequest(RetryPermit(aUnknown, Repeatable()));
#elif MISTAKE == 5
  // Uses one permit twice.
  RetryPermit permit(aNotRun);
  RetryRequest(permit);
  RetryRequest(permit);
#elif MISTAKE == 6
  // Retries without a permit.
  RetryRequest({});
#endif
  static_cast<void>(aNotRun);
  static_cast<void>(aUnknown);
  static_cast<void>(aRepeatable);
}

} // namespace
