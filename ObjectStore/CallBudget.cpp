#include "ObjectStore/CallBudget.h"

#include <algorithm>

namespace sardinefold::objectstore {

namespace {

/// The shares add up to the platform's rates, so that an eighth of each is within
/// any rate that it admits. With less, a process that was throttled for ten
/// seconds would not follow changes for another ten.
constexpr double kMinimumFactor = 1.0 / 8;
constexpr double kFactorRecoveryPerSecond = 1.0 / 60;
constexpr base::Duration kHalvingInterval = std::chrono::seconds(1);
constexpr base::Duration kMaximumWait = std::chrono::minutes(10);
/// How long a call waits for a more important one before it tries again.
constexpr base::Duration kYieldTime = std::chrono::milliseconds(50);

/// How many calls the purposes that can't wait may overdraw; they are paid back
/// before any other call is admitted.
constexpr double kOverdraftCalls = 10;

bool MayOverdraw(CallPurpose aPurpose)
{
  return aPurpose == CallPurpose::Claim || aPurpose == CallPurpose::Fencing;
}

/// The part of a full bucket that each purpose leaves to more important ones.
constexpr std::array<double, kCallPurposes.size()> kReservedFractions = { 0.0, 0.1, 0.2, 0.3,
                                                                          0.4, 0.5, 0.6 };

} // namespace

double CallBudget::Bucket::Capacity() const
{
  return std::max(1.0, m_rate.Value());
}

CallBudget::CallBudget(CallRates aRates, std::uint64_t aSeed, base::Instant aNow)
  : m_random(aSeed)
  , m_factorSetAt(aNow)
{
  m_reads.m_refilledAt = aNow;
  m_writes.m_refilledAt = aNow;
  SetRates(aRates, aNow);
  // Spreads the first calls of processes that start together.
  m_reads.m_level = m_reads.Capacity() * m_random.Fraction();
  m_writes.m_level = m_writes.Capacity() * m_random.Fraction();
}

void CallBudget::SetRates(CallRates aRates, base::Instant aNow)
{
  Refill(m_reads, aNow);
  Refill(m_writes, aNow);
  m_reads.m_rate = aRates.m_reads;
  m_writes.m_rate = aRates.m_writes;
  m_reads.m_level = std::min(m_reads.m_level, m_reads.Capacity());
  m_writes.m_level = std::min(m_writes.m_level, m_writes.Capacity());
}

double CallBudget::Factor(base::Instant aNow) const
{
  auto const recovered = base::ToSeconds(aNow - m_factorSetAt) * kFactorRecoveryPerSecond;
  return std::min(1.0, m_factor + recovered);
}

void CallBudget::Refill(Bucket& aBucket, base::Instant aNow) const
{
  // The factor rises at a constant rate up to 1, so that the mean of its first
  // and last value never overstates the calls that were earned.
  auto const factor = (Factor(aBucket.m_refilledAt) + Factor(aNow)) / 2;
  auto const yield = aBucket.m_rate.Value() * factor * base::ToSeconds(aNow - aBucket.m_refilledAt);
  aBucket.m_level = std::min(aBucket.Capacity(), aBucket.m_level + yield);
  aBucket.m_refilledAt = aNow;
}

base::Instant CallBudget::Admit(CallKind aKind, CallPurpose aPurpose, base::Instant aNow)
{
  auto& bucket = BucketOf(aKind);
  Refill(bucket, aNow);
  auto const index = IndexOf(aPurpose);
  auto const own = bucket.m_waiting.begin() + static_cast<std::ptrdiff_t>(index);
  bool const mustYield =
    std::any_of(bucket.m_waiting.begin(), own, [](auto aCount) { return aCount > 0; });
  if (mustYield) {
    return aNow + kYieldTime;
  }
  auto const ordinary = 1.0 + (bucket.Capacity() - 1.0) * kReservedFractions[index];
  auto const needed = MayOverdraw(aPurpose) ? 1.0 - kOverdraftCalls : ordinary;
  if (bucket.m_level >= needed) {
    bucket.m_level -= 1.0;
    ++bucket.m_admitted[index];
    return aNow;
  }
  auto const rate = bucket.m_rate.Value() * Factor(aNow);
  if (rate <= 0) {
    return aNow + kMaximumWait;
  }
  auto const wait =
    base::FromSeconds(std::min((needed - bucket.m_level) / rate, base::ToSeconds(kMaximumWait)));
  return aNow + std::max<base::Duration>(wait, std::chrono::milliseconds(1));
}

void CallBudget::AddWaiter(CallKind aKind, CallPurpose aPurpose)
{
  ++BucketOf(aKind).m_waiting[IndexOf(aPurpose)];
}

void CallBudget::RemoveWaiter(CallKind aKind, CallPurpose aPurpose)
{
  --BucketOf(aKind).m_waiting[IndexOf(aPurpose)];
}

void CallBudget::OnThrottled(base::Instant aNow)
{
  Refill(m_reads, aNow);
  Refill(m_writes, aNow);
  bool const isFirst = m_factor >= 1.0;
  if (!isFirst && aNow - m_factorSetAt < kHalvingInterval) {
    return;
  }
  m_factor = std::max(kMinimumFactor, Factor(aNow) / 2);
  m_factorSetAt = aNow;
}

void CallBudget::OnOutage(base::Instant aNow)
{
  for (auto* const bucket : { &m_reads, &m_writes }) {
    Refill(*bucket, aNow);
    bucket->m_level = std::min(bucket->m_level, m_random.Fraction());
  }
}

std::uint64_t CallBudget::Admitted(CallKind aKind, CallPurpose aPurpose) const
{
  auto const& bucket = aKind == CallKind::Read ? m_reads : m_writes;
  return bucket.m_admitted[IndexOf(aPurpose)];
}

} // namespace sardinefold::objectstore
