#include "WeightStore/LoadGate.h"

#include <algorithm>
#include <tuple>

namespace sardinefold::weightstore {

namespace {

/// A wish that was not repeated for this long belongs to an agent that is gone.
constexpr base::Duration kForgetAfter = std::chrono::seconds(3);
constexpr base::Duration kSoonestAsk = std::chrono::milliseconds(10);
constexpr base::Duration kLatestAsk = std::chrono::milliseconds(500);
/// After this many grants by urgency one goes to whoever has waited longest,
/// so that the least urgent class isn't starved.
constexpr unsigned kGrantsByUrgency = 8;
/// Waiting for less than this is no starvation.
constexpr base::Duration kLongWait = std::chrono::seconds(10);

} // namespace

LoadGate::LoadGate(StoreLimits aLimits, base::Instant aNow)
  : m_limits(aLimits)
  , m_startable(aLimits.m_concurrentLoads)
  , m_refilledAt(aNow + aLimits.m_firstGrantDelay)
{
}

SlotAnswer LoadGate::Ask(SlotRequest const& aRequest, base::Instant aNow)
{
  if (!m_held.contains(aRequest.m_key)) {
    auto const [wish, isNew] = m_waiting.try_emplace(aRequest.m_key, Wish{ aRequest, aNow, aNow });
    wish->second.m_request = aRequest;
    wish->second.m_askedAt = aNow;
  }
  Advance(aNow);
  auto const slot = m_held.find(aRequest.m_key);
  if (slot == m_held.end()) {
    return { std::nullopt, AskAgainAfter(aRequest) };
  }
  return { slot->second.m_end - aNow, {} };
}

void LoadGate::Release(SlotKey const& aKey, base::Instant aNow)
{
  m_waiting.erase(aKey);
  m_held.erase(aKey);
  Advance(aNow);
}

void LoadGate::Advance(base::Instant aNow)
{
  DropLapsed(aNow);
  Refill(aNow);
  for (bool const isAdapter : { false, true }) {
    while (HasRoom(isAdapter) && GrantNext(isAdapter, aNow)) {
    }
  }
}

void LoadGate::DropLapsed(base::Instant aNow)
{
  std::erase_if(m_held, [aNow](auto const& aEntry) { return aEntry.second.m_end <= aNow; });
  std::erase_if(m_waiting, [aNow](auto const& aEntry) {
    Wish const& wish = aEntry.second;
    return wish.m_askedAt + kForgetAfter <= aNow || wish.m_request.m_deadline <= aNow;
  });
}

void LoadGate::Refill(base::Instant aNow)
{
  if (aNow <= m_refilledAt) {
    return;
  }
  double const grown = m_limits.m_loadsPerSecond * base::ToSeconds(aNow - m_refilledAt);
  m_startable = std::min<double>(m_limits.m_concurrentLoads, m_startable + grown);
  m_refilledAt = aNow;
}

bool LoadGate::HasRoom(bool aIsAdapter) const
{
  if (aIsAdapter) {
    return CountHeld(true) < m_limits.m_concurrentAdapters;
  }
  return m_startable >= 1 && CountHeld(false) < m_limits.m_concurrentLoads;
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
  m_startable -= aIsAdapter ? 0 : 1;
  SlotRequest const& request = next->second.m_request;
  m_held.emplace(next->first,
                 Slot{ request.m_replica, request.m_class, aNow + m_limits.m_slotLease });
  m_waiting.erase(next);
  return true;
}

LoadGate::Queue::iterator LoadGate::ChooseNext(bool aIsAdapter, base::Instant aNow)
{
  auto const byUrgency = [this](Wish const& aWish) {
    SlotRequest const& request = aWish.m_request;
    return std::tuple(request.m_class, IsLoadedElsewhere(request.m_replica), request.m_deadline);
  };
  auto mostUrgent = m_waiting.end();
  auto longest = m_waiting.end();
  for (auto wish = m_waiting.begin(); wish != m_waiting.end(); ++wish) {
    SlotRequest const& request = wish->second.m_request;
    if (request.m_replica.IsAdapter() != aIsAdapter || !MayStart(request)) {
      continue;
    }
    if (mostUrgent == m_waiting.end() || byUrgency(wish->second) < byUrgency(mostUrgent->second)) {
      mostUrgent = wish;
    }
    if (longest == m_waiting.end() || wish->second.m_since < longest->second.m_since) {
      longest = wish;
    }
  }
  if (mostUrgent == m_waiting.end()) {
    return mostUrgent;
  }
  unsigned& grantsInARow = m_grantsInARow.at(aIsAdapter ? 1 : 0);
  bool const isStarving = aNow - longest->second.m_since >= kLongWait;
  grantsInARow = isStarving ? grantsInARow + 1 : 0;
  if (grantsInARow <= kGrantsByUrgency) {
    return mostUrgent;
  }
  grantsInARow = 0;
  return longest;
}

bool LoadGate::MayStart(SlotRequest const& aRequest) const
{
  if (aRequest.m_replica.IsAdapter() || aRequest.m_class != operators::RequestClass::Batch) {
    return true;
  }
  // A load that has begun isn't interrupted, so batch loads leave room for
  // more urgent ones that come while they run.
  auto const held = std::ranges::count_if(m_held, [](auto const& aEntry) {
    return !aEntry.second.m_replica.IsAdapter() &&
           aEntry.second.m_class == operators::RequestClass::Batch;
  });
  unsigned const most = std::max(m_limits.m_concurrentLoads / 2, 1U);
  double const spare = std::min(m_limits.m_concurrentLoads - 1, 1U);
  return static_cast<unsigned>(held) < most && m_startable >= 1 + spare;
}

bool LoadGate::IsLoadedElsewhere(engine::ReplicaKey const& aReplica) const
{
  return std::ranges::any_of(
    m_held, [&aReplica](auto const& aEntry) { return aEntry.second.m_replica == aReplica; });
}

std::size_t LoadGate::CountHeld(bool aIsAdapter) const
{
  auto const isCounted = [aIsAdapter](auto const& aEntry) {
    return aEntry.second.m_replica.IsAdapter() == aIsAdapter;
  };
  return static_cast<std::size_t>(std::ranges::count_if(m_held, isCounted));
}

std::size_t LoadGate::CountBefore(SlotRequest const& aRequest) const
{
  auto const isBefore = [&aRequest](auto const& aEntry) {
    SlotRequest const& other = aEntry.second.m_request;
    return other.m_replica.IsAdapter() == aRequest.m_replica.IsAdapter() &&
           std::tie(other.m_class, other.m_deadline) <
             std::tie(aRequest.m_class, aRequest.m_deadline);
  };
  return static_cast<std::size_t>(std::ranges::count_if(m_waiting, isBefore));
}

base::Duration LoadGate::AskAgainAfter(SlotRequest const& aRequest) const
{
  double const seconds = static_cast<double>(CountBefore(aRequest)) / m_limits.m_loadsPerSecond / 2;
  return std::clamp(base::FromSeconds(seconds), kSoonestAsk, kLatestAsk);
}

} // namespace sardinefold::weightstore
