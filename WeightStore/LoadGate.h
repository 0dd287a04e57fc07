#pragma once

#include "Base/Identifiers.h"
#include "Engine/ReplicaKey.h"
#include "Operator/Document.h"
#include "WeightStore/StoreLimits.h"

#include <array>
#include <map>
#include <optional>

namespace sardinefold::weightstore {

/// Identifies one agent's request for one load.
struct SlotKey
{
  base::UpstreamId m_upstream;
  base::IncarnationId m_incarnation;
  engine::OrderId m_order;

  friend auto operator<=>(SlotKey const&, SlotKey const&) = default;
};

struct SlotRequest
{
  SlotKey m_key;
  engine::ReplicaKey m_replica;
  operators::RequestClass m_class;
  /// Time by which the most urgent waiting request must have its first byte.
  base::Instant m_deadline;
};

struct SlotResponse
{
  /// Time for which the slot may be held; none while the request waits.
  std::optional<base::Duration> m_lease;
  /// Delay until the request is to be repeated, if it waits.
  base::Duration m_retryAfter{};
};

/// Schedules the loads from the weight store so that they run at its full speed:
/// by class, then replicas that are not being loaded elsewhere, then by deadline.
/// Slots are not persistent: a slot that is not released ends with its lease, and
/// a gate starts empty.
class LoadGate
{
public:
  LoadGate(StoreLimits aLimits, base::Instant aNow);

  /// Requests a slot, or updates a request for the same one.
  SlotResponse RequestSlot(SlotRequest const& aRequest, base::Instant aNow);
  /// Ends a request, whether it waits or holds a slot.
  void Release(SlotKey const& aKey, base::Instant aNow);

  std::size_t WaitingRequests() const { return m_waiting.size(); }
  std::size_t HeldSlots() const { return m_slots.size(); }

private:
  struct WaitingRequest
  {
    SlotRequest m_request;
    base::Instant m_waitingSince;
    base::Instant m_requestedAt;
  };
  struct Slot
  {
    engine::ReplicaKey m_replica;
    operators::RequestClass m_class;
    base::Instant m_expiresAt;
  };
  using Queue = std::map<SlotKey, WaitingRequest>;

  void Advance(base::Instant aNow);
  void RemoveExpired(base::Instant aNow);
  void Refill(base::Instant aNow);
  bool GrantNext(bool aIsAdapter, base::Instant aNow);
  Queue::iterator ChooseNext(bool aIsAdapter, base::Instant aNow);
  bool HasFreeSlot(bool aIsAdapter) const;
  bool MayStart(SlotRequest const& aRequest) const;
  bool IsLoadedElsewhere(engine::ReplicaKey const& aReplica) const;
  std::size_t CountSlots(bool aIsAdapter) const;
  std::size_t CountAhead(SlotRequest const& aRequest) const;
  base::Duration RetryAfter(SlotRequest const& aRequest) const;

  StoreLimits m_limits;
  /// Loads that may start now; at most one per concurrent load.
  double m_availableStarts;
  base::Instant m_refilledAt;
  /// Consecutive grants by urgency while a request starves, for models and for
  /// adapters.
  std::array<unsigned, 2> m_grantsByUrgency{};
  Queue m_waiting;
  std::map<SlotKey, Slot> m_slots;
};

} // namespace sardinefold::weightstore
