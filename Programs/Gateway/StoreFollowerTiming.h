#pragma once

#include "Base/ProcessProfile.h"
#include "Entry/Relay/OutageTracker.h"
#include "Entry/Relay/WatchRole.h"
#include "ObjectStore/WatchSession.h"

#include <algorithm>

namespace sardinefold::programs {

/// The intervals and time-outs with which a gateway follows the object store,
/// derived from the site's bounds.
struct StoreFollowerTiming
{
  /// Maximum duration of one watch. A configuration has to be in force within two
  /// seconds even if a connection becomes unresponsive.
  static constexpr base::Duration kWatchTime = std::chrono::milliseconds(1500);
  /// The part of the drain notice that is reserved for the store call itself and
  /// for requests in flight.
  static constexpr base::Duration kDrainReserve = std::chrono::milliseconds(1400);
  /// Pause between the parts of an update: 16 neighbours at some 25 KB a part take 160
  /// of the 200 Mbit/s of the hosts that are preferred as watchers.
  static constexpr base::Duration kPartInterval = std::chrono::milliseconds(20);
  /// Number of parts that the list of a failure domain's largest fleet takes.
  static constexpr int kMaximumParts = 6;

  /// Interval between the updates that a watcher sends even without changes. A
  /// process notices within this time that it lacks some.
  static constexpr base::Duration kUpdateInterval = std::chrono::milliseconds(200);

  /// How long changes to the list of upstreams are batched. The list changes with
  /// each model that an engine loads, and each response uses up a call of the
  /// budget.
  static base::Duration BatchTime(base::SiteBounds const& aBounds)
  {
    return std::max<base::Duration>(aBounds.m_maximumDrainDelay - kDrainReserve,
                                    base::Duration::zero());
  }

  /// The store counts as unavailable after this time without a response. A watch
  /// that ends in time and the pause after it take less.
  static base::Duration UnavailabilityTimeout(base::SiteBounds const& aBounds)
  {
    return kWatchTime + BatchTime(aBounds) + std::chrono::milliseconds(600);
  }

  static entry::OutageLimits OutageTrackerLimits(base::SiteBounds const& aBounds)
  {
    entry::OutageLimits limits;
    limits.m_minimumLength = UnavailabilityTimeout(aBounds);
    return limits;
  }

  static entry::WatchRoleLimits RoleLimits(base::SiteBounds const& aBounds)
  {
    // Leaves a follower time to notice, to query the store itself, and for a request
    // whose connection to the draining upstream is being set up.
    constexpr base::Duration kReserve = std::chrono::milliseconds(900);
    entry::WatchRoleLimits limits;
    limits.m_listAge = std::max<base::Duration>(aBounds.m_maximumDrainDelay - kReserve, kReserve);
    return limits;
  }

  static objectstore::WatchLimits Catalog()
  {
    objectstore::WatchLimits limits;
    limits.m_watchTime = kWatchTime;
    limits.m_listTime = kWatchTime;
    limits.m_backoff = { std::chrono::milliseconds(50), std::chrono::milliseconds(400) };
    return limits;
  }

  /// A gateway whose knowledge of evacuations is older asks the store itself. What is
  /// left of the bound covers that call, and requests in flight.
  static base::Duration EvacuationAge(base::SiteBounds const& aBounds)
  {
    constexpr base::Duration kReserve = std::chrono::milliseconds(1500);
    auto const bound = aBounds.m_maximumEvacuationDelay.value_or(base::Duration::zero());
    return std::max<base::Duration>(bound - kReserve, base::Duration::zero());
  }

  /// A watch ends early enough for the followers to learn of it before their knowledge
  /// is too old.
  static objectstore::WatchLimits Evacuations(base::SiteBounds const& aBounds)
  {
    auto limits = Catalog();
    limits.m_watchTime = EvacuationAge(aBounds) - std::chrono::seconds(1);
    limits.m_watchTime = std::max(limits.m_watchTime, limits.m_listTime);
    return limits;
  }

  static objectstore::WatchLimits Upstreams(base::SiteBounds const& aBounds)
  {
    auto limits = Catalog();
    limits.m_pause = BatchTime(aBounds);
    return limits;
  }
};

} // namespace sardinefold::programs
