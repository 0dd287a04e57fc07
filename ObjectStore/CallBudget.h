#pragma once

#include "Base/Time.h"
#include "ObjectStore/CallPurpose.h"
#include "ObjectStore/FleetShare.h"
#include "ObjectStore/RandomSource.h"

#include <array>
#include <cstdint>

namespace sardinefold::objectstore {

/// Rations a process's calls to the platform. Each kind of call has a bucket
/// that holds one second's worth, and at least one call. Less important
/// purposes leave a part of it to the more important, and wait while one of
/// those waits. Claims and fencing numbers may use a few calls in advance, so
/// that a small share doesn't hold up the request at hand.
class CallBudget
{
public:
  CallBudget(CallRates aRates, std::uint64_t aSeed, base::Instant aNow);

  /// Changes the process's share, for when the fleet's size has changed.
  void SetRates(CallRates aRates, base::Instant aNow);

  /// Charges one call and returns aNow, or returns the time at which to ask
  /// again.
  base::Instant Admit(CallKind aKind, CallPurpose aPurpose, base::Instant aNow);

  /// Tells that a call waits to be admitted, or no longer does.
  void AddWaiter(CallKind aKind, CallPurpose aPurpose);
  void RemoveWaiter(CallKind aKind, CallPurpose aPurpose);

  /// The platform said that its rate is exceeded: the process halves its share,
  /// at most once a second, and regains it within a minute.
  void OnThrottled(base::Instant aNow);
  /// A call failed: what was saved up is not spent at once when the platform
  /// returns.
  void OnOutage(base::Instant aNow);

  /// The process's share of the fleet's rates.
  CallRates Rates() const { return { m_writes.m_rate, m_reads.m_rate }; }
  /// The part of its share that the process uses now, up to 1.
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
