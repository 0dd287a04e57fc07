#define BOOST_TEST_MODULE CatalogProgress
#include "Entry/Relay/CatalogProgress.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using base::CatalogVersion;
using entry::CatalogProgress;
using namespace std::chrono_literals;

namespace {

constexpr base::Instant kStart{ 1000s };

} // namespace

BOOST_AUTO_TEST_CASE(WhatHasBeenInForceDoesNotComeBackOlder)
{
  CatalogProgress progress;
  BOOST_TEST(progress.IsBehind());
  BOOST_TEST(progress.MayApply(CatalogVersion(4)));
  progress.OnApplied(CatalogVersion(4), kStart);
  BOOST_TEST(!progress.MayApply(CatalogVersion(4)));
  BOOST_TEST(!progress.MayApply(CatalogVersion(3)));
  BOOST_TEST(!progress.IsBehind());
  progress.OnAnnounced(CatalogVersion(7), kStart);
  BOOST_TEST(progress.IsBehind());
  BOOST_TEST(!progress.MayApply(CatalogVersion(3)));
  BOOST_TEST(progress.MayApply(CatalogVersion(6)));
  progress.OnApplied(CatalogVersion(6), kStart);
  BOOST_TEST(progress.IsBehind());
  BOOST_TEST(progress.Newest() == CatalogVersion(7));
  progress.OnApplied(CatalogVersion(7), kStart);
  BOOST_TEST(!progress.IsBehind());
  // An announcement that arrives late takes nothing back.
  progress.OnAnnounced(CatalogVersion(5), kStart);
  BOOST_TEST(progress.Newest() == CatalogVersion(7));
}

BOOST_AUTO_TEST_CASE(AProcessThatStartsWithAnOutdatedCatalogWaitsForTheNewerOne)
{
  for (bool const isAnnouncedFirst : { true, false }) {
    CatalogProgress progress;
    if (isAnnouncedFirst) {
      progress.OnAnnounced(CatalogVersion(7), kStart);
    }
    progress.OnApplied(CatalogVersion(4), kStart);
    progress.OnAnnounced(CatalogVersion(7), kStart + 2s);
    BOOST_TEST(progress.IsHeld(kStart + 2s));
    // A version announced later is not waited for.
    progress.OnAnnounced(CatalogVersion(9), kStart + 4s);
    progress.OnApplied(CatalogVersion(6), kStart + 4s);
    BOOST_TEST(progress.IsHeld(kStart + 7'999ms));
    BOOST_TEST(!progress.IsHeld(kStart + 8s));
    progress.OnApplied(CatalogVersion(7), kStart + 5s);
    BOOST_TEST(!progress.IsHeld(kStart + 5s));
  }
}

BOOST_AUTO_TEST_CASE(AProcessThatHasServedForLongWaitsForNoCatalog)
{
  CatalogProgress progress;
  progress.OnApplied(CatalogVersion(4), kStart);
  progress.OnAnnounced(CatalogVersion(7), kStart + 3s);
  BOOST_TEST(!progress.IsHeld(kStart + 3s));
  BOOST_TEST(progress.IsBehind());
}
