#define BOOST_TEST_MODULE OutageTracker
#include "Entry/Relay/OutageTracker.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using entry::OutageTracker;

namespace {

base::Instant const kStart{ 1'000s };
entry::ListLosses const kAllMissing{ 0, 21 };

/// Returns a tracker with a response each second until 9 s after the start and
/// the next one at aReturn.
OutageTracker AfterOutage(base::Instant aReturn)
{
  OutageTracker tracker({});
  for (auto second = 0s; second < 10s; second += 1s) {
    tracker.OnResponse(kStart + second);
  }
  tracker.OnResponse(aReturn);
  return tracker;
}

} // namespace

BOOST_AUTO_TEST_CASE(EntriesLapseInAnOutageForAll)
{
  auto const back = kStart + 14s;
  auto const tracker = AfterOutage(back);
  BOOST_TEST((tracker.LastOutageLength() == 5s));
  BOOST_TEST((tracker.LapseEnd(kAllMissing, back) == back + 2s));
  BOOST_TEST((tracker.LapseEnd(kAllMissing, back + 900ms) == back + 2s));
}

BOOST_AUTO_TEST_CASE(EntriesRemovedLongAfterAnOutageDoNotLapse)
{
  auto const back = kStart + 14s;
  BOOST_TEST(!AfterOutage(back).LapseEnd(kAllMissing, back + 1'100ms).has_value());
}

BOOST_AUTO_TEST_CASE(NothingLapsesWhileTheStoreRespondsToAnotherProcess)
{
  auto tracker = AfterOutage(kStart + 9s);
  // Responses to other processes are reported late and out of order.
  tracker.OnResponse(kStart + 11s);
  tracker.OnResponse(kStart + 13s);
  tracker.OnResponse(kStart + 12s);
  tracker.OnResponse(kStart + 14s);
  BOOST_TEST(!tracker.LapseEnd(kAllMissing, kStart + 14s).has_value());
}

BOOST_AUTO_TEST_CASE(EntriesDoNotLapseWhenTheStoreKeptMostOfThem)
{
  auto const back = kStart + 14s;
  auto const tracker = AfterOutage(back);
  BOOST_TEST(!tracker.LapseEnd({ 20, 1 }, back).has_value());
  BOOST_TEST(tracker.LapseEnd({ 1, 20 }, back).has_value());
}

BOOST_AUTO_TEST_CASE(TheFirstResponseEndsNoOutage)
{
  OutageTracker tracker({});
  tracker.OnResponse(kStart);
  BOOST_TEST(!tracker.LapseEnd(kAllMissing, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(EntriesThatARestoredListLacksHaveNotLeft)
{
  auto tracker = AfterOutage(kStart + 10s);
  entry::ListLosses const one{ 20, 1 };
  BOOST_TEST(!tracker.LapseEnd(one, kStart + 10s).has_value());
  auto const restored = kStart + 12s;
  tracker.OnRestored(restored);
  BOOST_TEST((tracker.LapseEnd(one, restored) == restored + 2s));
  BOOST_TEST((tracker.LapseEnd(one, restored + 900ms) == restored + 2s));
  BOOST_TEST(!tracker.LapseEnd(one, restored + 1'100ms).has_value());
}
