#pragma once

#include "Base/Identifiers.h"
#include "Engine/ReplicaKey.h"
#include "Operator/Document.h"
#include "WeightStore/StoreLimits.h"

#include <array>
#include <map>
#include <optional>

namespace sardinefold::weightstore {

/// Names one agent's waiter for one load.
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
  /// When the maximum urgent waiting request must have its first byte.
  base::Instant m_deadline;
};

struct SlotResponse
{
  /// How long the slot may be held; none while the request waits.
  std::optional<base::Duration> m_lease;
  /// When to ask again, if it waits.
  base::Duration m_retryAfter{};
};

/// Orders the loads from the weight store so that they run at its full speed:
/// by class, then replicas of models that nobody else is loading, then by
/// deadline. Holds no promise: a slot that was not given back ends with its
/// lease, and a gate that starts anew begins empty.
class LoadGate
{
public:
  LoadGate(StoreLimits aLimits, base::Instant aNow);

  /// Asks for a slot, or again for the same one, with what may have changed.
  SlotResponse RequestSlot(SlotRequest const& aRequest, base::Instant aNow);
  /// Ends a waiter, whether it waits or holds a slot.
  void Release(SlotKey const& aKey, base::Instant aNow);

  std::size_t Waiting() const { return m_waiting.size(); }
  std::size_t Held() const { return m_slots.size(); }

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
  /// Loads that may begin now; at maximum one per concurrent load.
  double m_availableStarts;
  base::Instant m_refilledAt;
  /// Grants by urgency while somebody waited long, for models and adapters.
  std::array<unsigned, 2> m_grantsByUrgency{};
  Queue m_waiting;
  std::map<SlotKey, Slot> m_slots;
};

} // namespace sardinefold::weightstore
