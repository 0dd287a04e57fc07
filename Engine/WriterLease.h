#pragma once

#include "Base/Time.h"
#include "Base/Units.h"

#include <optional>

namespace sardinefold::engine {

/// Whether an engine checks the fencing numbers of orders and refuses old ones.
enum class FencingSupport
{
  Checked,
  Ignored
};

/// Time limits that keep two agents from sending orders to one engine at the
/// same time.
struct WriterLeaseLimits
{
  /// How long a proof of being the only writer is valid.
  base::Duration m_duration;
  /// Maximum time from sending an order to its completion at the engine.
  base::Duration m_orderBound;
};

/// An agent's right to send orders to its engine. The fencing number comes from
/// a conditional update of the platform's `agent` object. An engine that checks
/// numbers protects itself once it has seen the number; until then it would
/// still accept an order of the predecessor. For an engine that does not check,
/// the agent must hold a proof that it is the only writer, not older than the
/// lease, and a successor waits until the last order of its predecessor has
/// ended.
class WriterLease
{
public:
  WriterLease(FencingSupport aSupport, WriterLeaseLimits aLimits)
    : m_support(aSupport)
    , m_limits(aLimits)
  {
  }

  /// Acquires the lease with a number from a successful update that was sent at
  /// aRequestedAt.
  void Acquire(base::FencingNumber aNumber, base::Instant aRequestedAt, base::Instant aNow);
  /// Renews the lease with the number in force as returned by a read that began
  /// at aRequestedAt. A different number ends the lease permanently.
  void Renew(base::FencingNumber aNumberInForce, base::Instant aRequestedAt);
  /// Renews the lease because the process has held the slot's listening address
  /// without interruption, so that no other agent runs in the slot of this
  /// host. This proof does not need the platform, but is valid only for engines
  /// on the agent's own host.
  void RenewBySlot(base::Instant aNow);
  /// The engine has accepted the number and refuses lower ones from aNow on.
  void ConfirmFence(base::Instant aNow);
  /// Whether the number still has to be sent to the engine.
  bool MustRaiseFence() const;
  /// Marks the lease as lost because the engine refused the number.
  void MarkLost() { m_isLost = true; }

  /// Whether an order may be sent now; to be checked immediately before each
  /// order.
  bool MayOrder(base::Instant aNow) const;
  bool IsLost() const { return m_isLost; }
  std::optional<base::FencingNumber> Number() const { return m_number; }
  base::Duration OrderBound() const { return m_limits.m_orderBound; }

private:
  FencingSupport m_support;
  WriterLeaseLimits m_limits;
  std::optional<base::FencingNumber> m_number;
  std::optional<base::Instant> m_earliestOrder;
  base::Instant m_end;
  bool m_isLost = false;
};

} // namespace sardinefold::engine
