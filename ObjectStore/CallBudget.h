#pragma once

#include "Base/Time.h"
#include "ObjectStore/CallPurpose.h"
#include "ObjectStore/FleetShare.h"
#include "ObjectStore/RandomSource.h"

#include <array>
#include <cstdint>

namespace sardinefold::objectstore {

/// Limits the rate of a process's calls to the platform. Each kind of call has a
/// token bucket that holds the calls of one second, and at least one call. Less
/// important purposes leave a part of it to more important ones, and wait while
/// one of those waits. Claims and fencing numbers may overdraw the bucket by a
/// few calls, so that a small share doesn't delay the current request.
class CallBudget
{
public:
  CallBudget(CallRates aRates, std::uint64_t aSeed, base::Instant aNow);

  /// Changes the process's share after the fleet's size has changed.
  void SetRates(CallRates aRates, base::Instant aNow);

  /// Charges one call and returns aNow, or returns the time at which to try again.
  base::Instant Admit(CallKind aKind, CallPurpose aPurpose, base::Instant aNow);

  /// Registers or unregisters a call that waits to be admitted.
  void AddWaiter(CallKind aKind, CallPurpose aPurpose);
  void RemoveWaiter(CallKind aKind, CallPurpose aPurpose);

  /// Called when the platform reports that its rate is exceeded. Halves the part
  /// of the share in use, at most once a second; it recovers within a minute.
  void OnThrottled(base::Instant aNow);
  /// Called when a call failed. Discards saved-up calls, so that they do not become
  /// a burst when the platform recovers.
  void OnOutage(base::Instant aNow);

  /// The process's share of the fleet's rates.
  CallRates Rates() const { return { m_writes.m_rate, m_reads.m_rate }; }
  /// The part of its share that the process may use now, up to 1.
  double Factor(base::Instant aNow) const;
  std::uint64_t Admitted(CallKind aKind, CallPurpose aPurpose) const;

private:
  struct Bucket
  {
    CallsPerSecond m_rate;
    double m_level = 0;
    base::Instant m_refilledAt{};
    std::array<std::uint32_t, kCallPurposes.size()> m_waiting{};
    std::array<std::uint64_t, kCallPurposes.size()> m_admitted{};

    double Capacity() const;
  };

  Bucket& BucketOf(CallKind aKind) { return aKind == CallKind::Read ? m_reads : m_writes; }
  void Refill(Bucket& aBucket, base::Instant aNow) const;

  Bucket m_reads;
  Bucket m_writes;
  RandomSource m_random;
  double m_factor = 1;
  base::Instant m_factorSetAt{};
};

} // namespace sardinefold::objectstore
