#pragma once

#include "Base/ProcessProfile.h"
#include "Entry/Relay/OutageRecord.h"
#include "Entry/Relay/WatchDuty.h"
#include "ObjectStore/WatchSession.h"

#include <algorithm>

namespace sardinefold::programs {

/// The times by which a gateway follows the object store, from the site's
/// bounds.
struct FeedTiming
{
  /// Longest wait of one watch. A connection may go silent; a configuration has
  /// to be in force within two seconds all the same.
  static constexpr base::Duration kWatchTime = std::chrono::milliseconds(1500);
  /// Of the time in which a leaving upstream has to be known, what is left for
  /// the call itself and for requests on their way.
  static constexpr base::Duration kDrainReserve = std::chrono::milliseconds(1300);

  /// The list changes with each model that an engine loads, so changes are
  /// gathered: each answer is a call that is paid for.
  static base::Duration Gathering(base::SiteBounds const& aBounds)
  {
    return std::max<base::Duration>(aBounds.m_maximumDrainDelay - kDrainReserve,
                                    base::Duration::zero());
  }

  /// A watch that ends in time, and the pause after it, take less.
  static base::Duration SilenceLimit(base::SiteBounds const& aBounds)
  {
    return kWatchTime + Gathering(aBounds) + std::chrono::milliseconds(600);
  }

  static entry::OutageLimits Outages(base::SiteBounds const& aBounds)
  {
    entry::OutageLimits limits;
    limits.m_shortest = SilenceLimit(aBounds);
    return limits;
  }

  static entry::WatchDutyLimits Duty(base::SiteBounds const& aBounds)
  {
    // A follower asks the store itself in time to learn of a leaving upstream.
    constexpr base::Duration kReserve = std::chrono::milliseconds(500);
    entry::WatchDutyLimits limits;
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

  static objectstore::WatchLimits Upstreams(base::SiteBounds const& aBounds)
  {
    auto limits = Catalog();
    limits.m_pause = Gathering(aBounds);
    return limits;
  }
};

} // namespace sardinefold::programs
