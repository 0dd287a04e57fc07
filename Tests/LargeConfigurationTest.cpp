#define BOOST_TEST_MODULE LargeConfiguration
#include "Base/LoopLateness.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_CASE(ABlockedLoopIsReportedOnceWithItsLength)
{
  base::LoopLateness lateness(100ms);
  base::Instant now{};
  BOOST_TEST((lateness.OnTick(now) == 0ms));
  BOOST_TEST((lateness.OnTick(now += 130ms) == 30ms));
  BOOST_TEST(!lateness.TakeReport(now).has_value());
  BOOST_TEST((lateness.OnTick(now += 900ms) == 800ms));
  BOOST_TEST((lateness.TakeReport(now) == std::optional<base::Duration>(800ms)));
  BOOST_TEST((lateness.OnTick(now += 400ms) == 300ms));
  BOOST_TEST(!lateness.TakeReport(now).has_value());
  BOOST_TEST((lateness.OnTick(now += 600ms) == 500ms));
  BOOST_TEST((lateness.TakeReport(now) == std::optional<base::Duration>(500ms)));
}
