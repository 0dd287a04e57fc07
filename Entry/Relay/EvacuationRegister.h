#pragma once

#include "Base/Time.h"
#include "Entry/Relay/EvacuationState.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinefold::entry {

struct EvacuationLimits
{
  /// How long an evacuation stays in force that a store which came back from a copy
  /// lacks. Operators repeat within this time what the copy lacks.
  base::Duration m_restorationHold = std::chrono::seconds(30);
};

/// An evacuation that came into force or ended.
struct EvacuationChange
{
  base::FailureDomainId m_domain;
  bool m_isInForce = false;

  friend bool operator==(EvacuationChange const&, EvacuationChange const&) = default;
};

/// Decides which evacuations are in force. Only a later version of the store changes
/// them, by whatever way it arrives, so that neither silence nor an old message ends
/// one.
class EvacuationRegister
{
public:
  explicit EvacuationRegister(EvacuationLimits aLimits = {})
    : m_limits(aLimits)
  {
  }

  /// Takes what the store held. Returns what that changes.
  std::vector<EvacuationChange> OnState(EvacuationState aState, base::Instant aNow);
  /// Ends the evacuations that the store has lacked for too long since it came back from
  /// a copy. Returns what that changes.
  std::vector<EvacuationChange> Expire(base::Instant aNow);

  /// What the store held at the latest known version; none before the first.
  std::optional<EvacuationState> const& State() const { return m_state; }
  std::set<base::FailureDomainId> const& InForce() const { return m_inForce; }

private:
  std::vector<EvacuationChange> Update();

  EvacuationLimits m_limits;
  std::optional<EvacuationState> m_state;
  /// Evacuations that the copy lacks from which the store came back, with the time
  /// until which they hold.
  std::map<base::FailureDomainId, base::Instant> m_held;
  std::set<base::FailureDomainId> m_inForce;
};

} // namespace sardinefold::entry
