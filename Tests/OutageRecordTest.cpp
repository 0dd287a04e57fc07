#define BOOST_TEST_MODULE OutageRecord
#include "Entry/Relay/OutageRecord.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using namespace std::chrono_literals;
using entry::OutageRecord;

namespace {

base::Instant const kStart{ 1'000s };
entry::ListLosses const kAllMissing{ 0, 21 };

/// A record that is told of an answer each second, and then of none for long.
OutageRecord AfterOutage(base::Instant aReturn)
{
  OutageRecord record({});
  for (auto second = 0s; second < 10s; second += 1s) {
    record.OnAnswered(kStart + second);
  }
  record.OnAnswered(aReturn);
  return record;
}

} // namespace

BOOST_AUTO_TEST_CASE(EntriesLapseInAnOutageForAll)
{
  auto const back = kStart + 14s;
  auto const record = AfterOutage(back);
  BOOST_TEST((record.Length() == 5s));
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
  record.OnAnswered(kStart + 11s);
  record.OnAnswered(kStart + 13s);
  record.OnAnswered(kStart + 12s);
  record.OnAnswered(kStart + 14s);
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
  OutageRecord record({});
  record.OnAnswered(kStart);
  BOOST_TEST(!record.LapseEnd(kAllMissing, kStart).has_value());
}
