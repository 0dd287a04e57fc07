#pragma once

#include "Base/Time.h"
#include "Base/Units.h"

#include <optional>

namespace sardinefold::engine {

/// Whether an engine refuses orders with an old fencing number.
enum class FencingSupport
{
  Checked,
  Ignored
};

/// Times by which an agent keeps from writing to an engine beside another.
struct WriterLeaseLimits
{
  /// How long a proof of being the only writer holds.
  base::Duration m_duration;
  /// Longest time from sending an order to its end at the engine.
  base::Duration m_orderBound;
};

/// An agent's right to give orders to its engine. The fencing number comes
/// from a conditional update of the platform's `agent` object. An engine that
/// checks numbers protects itself, once it has seen the number: until then it
/// would still take an order of the predecessor. For another engine the agent
/// must hold a proof, not older than the lease, that it is the only writer,
/// and a successor waits until the last order of its predecessor has ended.
class WriterLease
{
public:
  WriterLease(FencingSupport aSupport, WriterLeaseLimits aLimits)
    : m_support(aSupport)
    , m_limits(aLimits)
  {
  }

  /// The number has been taken by an update that succeeded after aRequestedAt.
  void Acquire(base::FencingNumber aNumber, base::Instant aRequestedAt, base::Instant aNow);
  /// A read begun at aRequestedAt showed the number in force. A higher one ends
  /// the lease for good.
  void Renew(base::FencingNumber aNumberInForce, base::Instant aRequestedAt);
  /// The process has held the slot's listening address without a break, so no
  /// other agent runs in the slot of this host. A proof that needs no
  /// platform, for engines on the agent's own host.
  void RenewBySlot(base::Instant aNow);
  /// The engine has seen the number and refuses lower ones from aNow on.
  void ConfirmFence(base::Instant aNow);
  /// Whether the engine has yet to see the number.
  bool MustRaiseFence() const;
  /// The engine refused the number.
  void MarkLost() { m_isLost = true; }

  /// Checked immediately before each order.
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
