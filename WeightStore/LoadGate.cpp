#include "WeightStore/LoadGate.h"

#include <algorithm>
#include <tuple>

namespace sardinefold::weightstore {

namespace {

/// A request that is not repeated within this time is dropped, since its agent is
/// gone.
constexpr base::Duration kRequestTimeout = std::chrono::seconds(3);
constexpr base::Duration kMinimumRetryAfter = std::chrono::milliseconds(10);
constexpr base::Duration kMaximumRetryAfter = std::chrono::milliseconds(500);
/// After this many grants by urgency, one goes to the request that has waited
/// longest, so that the least urgent class is not starved.
constexpr unsigned kMaximumGrantsByUrgency = 8;
/// A request that has waited this long is starving.
constexpr base::Duration kStarvationTime = std::chrono::seconds(10);

} // namespace

LoadGate::LoadGate(StoreLimits aLimits, base::Instant aNow)
  : m_limits(aLimits)
  , m_availableStarts(aLimits.m_concurrentLoads)
  , m_refilledAt(aNow + aLimits.m_firstGrantDelay)
{
}

SlotResponse LoadGate::RequestSlot(SlotRequest const& aRequest, base::Instant aNow)
{
  if (!m_slots.contains(aRequest.m_key)) {
    auto const [waiter, isNew] =
      m_waiting.try_emplace(aRequest.m_key, WaitingRequest{ aRequest, aNow, aNow });
    waiter->second.m_request = aRequest;
    waiter->second.m_requestedAt = aNow;
  }
  Advance(aNow);
  auto const slot = m_slots.find(aRequest.m_key);
  if (slot == m_slots.end()) {
    return { std::nullopt, RetryAfter(aRequest) };
  }
  return { slot->second.m_expiresAt - aNow, {} };
}

void LoadGate::Release(SlotKey const& aKey, base::Instant aNow)
{
  m_waiting.erase(aKey);
  m_slots.erase(aKey);
  Advance(aNow);
}

void LoadGate::Advance(base::Instant aNow)
{
  RemoveExpired(aNow);
  Refill(aNow);
  for (bool const isAdapter : { false, true }) {
    while (HasFreeSlot(isAdapter) && GrantNext(isAdapter, aNow)) {
    }
  }
}

void LoadGate::RemoveExpired(base::Instant aNow)
{
  std::erase_if(m_slots, [aNow](auto const& aEntry) { return aEntry.second.m_expiresAt <= aNow; });
  std::erase_if(m_waiting, [aNow](auto const& aEntry) {
    WaitingRequest const& waiter = aEntry.second;
    return waiter.m_requestedAt + kRequestTimeout <= aNow || waiter.m_request.m_deadline <= aNow;
  });
}

void LoadGate::Refill(base::Instant aNow)
{
  if (aNow <= m_refilledAt) {
    return;
  }
  double const refilled = m_limits.m_loadsPerSecond * base::ToSeconds(aNow - m_refilledAt);
  m_availableStarts = std::min<double>(m_limits.m_concurrentLoads, m_availableStarts + refilled);
  m_refilledAt = aNow;
}

bool LoadGate::HasFreeSlot(bool aIsAdapter) const
{
  if (aIsAdapter) {
    return CountSlots(true) < m_limits.m_concurrentAdapters;
  }
  return m_availableStarts >= 1 && CountSlots(false) < m_limits.m_concurrentLoads;
}

bool LoadGate::GrantNext(bool aIsAdapter, base::Instant aNow)
{
  if (aNow < m_refilledAt) {
    return false;
  }
  auto const next = ChooseNext(aIsAdapter, aNow);
  if (next == m_waiting.end()) {
    return false;
  }
  m_availableStarts -= aIsAdapter ? 0 : 1;
  SlotRequest const& request = next->second.m_request;
  m_slots.emplace(next->first,
                  Slot{ request.m_replica, request.m_class, aNow + m_limits.m_slotLease });
  m_waiting.erase(next);
  return true;
}

LoadGate::Queue::iterator LoadGate::ChooseNext(bool aIsAdapter, base::Instant aNow)
{
  auto const byUrgency = [this](WaitingRequest const& aWaiter) {
    SlotRequest const& request = aWaiter.m_request;
    return std::tuple(request.m_class, IsLoadedElsewhere(request.m_replica), request.m_deadline);
  };
  auto mostUrgent = m_waiting.end();
  auto longestWaiting = m_waiting.end();
  for (auto waiter = m_waiting.begin(); waiter != m_waiting.end(); ++waiter) {
    SlotRequest const& request = waiter->second.m_request;
    if (request.m_replica.IsAdapter() != aIsAdapter || !MayStart(request)) {
      continue;
    }
    if (mostUrgent == m_waiting.end() ||
        byUrgency(waiter->second) < byUrgency(mostUrgent->second)) {
      mostUrgent = waiter;
    }
    if (longestWaiting == m_waiting.end() ||
        waiter->second.m_waitingSince < longestWaiting->second.m_waitingSince) {
      longestWaiting = waiter;
    }
  }
  if (mostUrgent == m_waiting.end()) {
    return mostUrgent;
  }
  unsigned& grantsByUrgency = m_grantsByUrgency.at(aIsAdapter ? 1 : 0);
  bool const isStarving = aNow - longestWaiting->second.m_waitingSince >= kStarvationTime;
  grantsByUrgency = isStarving ? grantsByUrgency + 1 : 0;
  if (grantsByUrgency <= kMaximumGrantsByUrgency) {
    return mostUrgent;
  }
  grantsByUrgency = 0;
  return longestWaiting;
}

bool LoadGate::MayStart(SlotRequest const& aRequest) const
{
  if (aRequest.m_replica.IsAdapter() || aRequest.m_class != operators::RequestClass::Batch) {
    return true;
  }
  // A load that has started is not interrupted, so batch loads leave capacity for
  // more urgent ones that arrive while they run.
  auto const batchSlots = std::ranges::count_if(m_slots, [](auto const& aEntry) {
    return !aEntry.second.m_replica.IsAdapter() &&
           aEntry.second.m_class == operators::RequestClass::Batch;
  });
  unsigned const maximum = std::max(m_limits.m_concurrentLoads / 2, 1U);
  double const reserved = std::min(m_limits.m_concurrentLoads - 1, 1U);
  return static_cast<unsigned>(batchSlots) < maximum && m_availableStarts >= 1 + reserved;
}

bool LoadGate::IsLoadedElsewhere(engine::ReplicaKey const& aReplica) const
{
  return std::ranges::any_of(
    m_slots, [&aReplica](auto const& aEntry) { return aEntry.second.m_replica == aReplica; });
}

std::size_t LoadGate::CountSlots(bool aIsAdapter) const
{
  auto const isCounted = [aIsAdapter](auto const& aEntry) {
    return aEntry.second.m_replica.IsAdapter() == aIsAdapter;
  };
  return static_cast<std::size_t>(std::ranges::count_if(m_slots, isCounted));
}

std::size_t LoadGate::CountAhead(SlotRequest const& aRequest) const
{
  auto const isAhead = [&aRequest](auto const& aEntry) {
    SlotRequest const& other = aEntry.second.m_request;
    return other.m_replica.IsAdapter() == aRequest.m_replica.IsAdapter() &&
           std::tie(other.m_class, other.m_deadline) <
             std::tie(aRequest.m_class, aRequest.m_deadline);
  };
  return static_cast<std::size_t>(std::ranges::count_if(m_waiting, isAhead));
}

base::Duration LoadGate::RetryAfter(SlotRequest const& aRequest) const
{
  double const seconds = static_cast<double>(CountAhead(aRequest)) / m_limits.m_loadsPerSecond / 2;
  return std::clamp(base::FromSeconds(seconds), kMinimumRetryAfter, kMaximumRetryAfter);
}

} // namespace sardinefold::weightstore
