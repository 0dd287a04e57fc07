#define BOOST_TEST_MODULE CatalogProgress
#include "Entry/Relay/CatalogProgress.h"

#include <boost/test/unit_test.hpp>

using namespace sardinefold;
using base::CatalogVersion;
using entry::CatalogProgress;

BOOST_AUTO_TEST_CASE(WhatHasBeenInForceDoesNotComeBackOlder)
{
  CatalogProgress progress;
  BOOST_TEST(progress.IsBehind());
  BOOST_TEST(progress.MayApply(CatalogVersion(4)));
  progress.OnApplied(CatalogVersion(4));
  BOOST_TEST(!progress.MayApply(CatalogVersion(4)));
  BOOST_TEST(!progress.MayApply(CatalogVersion(3)));
  BOOST_TEST(!progress.IsBehind());
  progress.OnAnnounced(CatalogVersion(7));
  BOOST_TEST(progress.IsBehind());
  BOOST_TEST(!progress.MayApply(CatalogVersion(3)));
  BOOST_TEST(progress.MayApply(CatalogVersion(6)));
  progress.OnApplied(CatalogVersion(6));
  BOOST_TEST(progress.IsBehind());
  BOOST_TEST(progress.Newest() == CatalogVersion(7));
  progress.OnApplied(CatalogVersion(7));
  BOOST_TEST(!progress.IsBehind());
  // An announcement that arrives late takes nothing back.
  progress.OnAnnounced(CatalogVersion(5));
  BOOST_TEST(progress.Newest() == CatalogVersion(7));
}
