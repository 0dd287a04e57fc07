#define BOOST_TEST_MODULE OutageTracker
#include "Entry/Relay/OutageTracker.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using entry::OutageTracker;

namespace {

base::Instant const kStart{ 1'000s };
entry::ListLosses const kAllMissing{ 0, 21 };

/// A record that is told of an answer each second, and then of none for long.
OutageTracker AfterOutage(base::Instant aReturn)
{
  OutageTracker record({});
  for (auto second = 0s; second < 10s; second += 1s) {
    record.OnResponse(kStart + second);
  }
  record.OnResponse(aReturn);
  return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(EntriesLapseInAnOutageForAll)
{
  auto const back = kStart + 14s;
  auto const record = AfterOutage(back);
  BOOST_TEST((record.LastOutageLength() == 5s));
  BOOST_TEST((record.LapseEnd(kAllMissing, back) == back + 2s));
  BOOST_TEST((record.LapseEnd(kAllMissing, back + 900ms) == back + 2s));
}

BOOST_AUTO_TEST_CASE(WhatGoesLongAfterTheReturnHasLeft)
{
  auto const back = kStart + 14s;
  BOOST_TEST(!AfterOutage(back).LapseEnd(kAllMissing, back + 1'100ms).has_value());
}

BOOST_AUTO_TEST_CASE(NothingLapsesWhileTheStoreAnswersAnother)
{
  auto record = AfterOutage(kStart + 9s);
  // Told late, and out of order with this process's own first answer.
  record.OnResponse(kStart + 11s);
  record.OnResponse(kStart + 13s);
  record.OnResponse(kStart + 12s);
  record.OnResponse(kStart + 14s);
  BOOST_TEST(!record.LapseEnd(kAllMissing, kStart + 14s).has_value());
}

BOOST_AUTO_TEST_CASE(UpstreamsHaveLeftWhereTheStoreKeptMostEntries)
{
  auto const back = kStart + 14s;
  auto const record = AfterOutage(back);
  BOOST_TEST(!record.LapseEnd({ 20, 1 }, back).has_value());
  BOOST_TEST(record.LapseEnd({ 1, 20 }, back).has_value());
}

BOOST_AUTO_TEST_CASE(TheFirstAnswerOfAllEndsNoOutage)
{
  OutageTracker record({});
  record.OnResponse(kStart);
  BOOST_TEST(!record.LapseEnd(kAllMissing, kStart).has_value());
}
