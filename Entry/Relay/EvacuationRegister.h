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
  /// How long after the store last held no evacuation of a failure domain its upstreams
  /// may serve what no others can. The site's bound counts from the evacuation, which
  /// came later.
  base::Duration m_lastUse{};
  /// How long an evacuation stays in force that a store which came back from a copy
  /// lacks. Operators repeat within this time what the copy lacks.
  base::Duration m_restorationHold = std::chrono::seconds(30);
  /// How long an evacuation that was taken back waits for the list of upstreams, which
  /// is gathered for longer and may tell that they are warming up.
  base::Duration m_maximumListLag = std::chrono::seconds(10);
};

/// When the upstreams of evacuated failure domains get their last requests.
using EvacuationEnds = std::map<base::FailureDomainId, base::Instant>;

/// An evacuation that came into force or ended.
struct EvacuationChange
{
  base::FailureDomainId m_domain;
  bool m_isInForce = false;
  /// Until when the failure domain's upstreams may serve what no others can.
  base::Instant m_end{};

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

  /// Takes what the store held, and when, if that is known. Returns what that changes.
  std::vector<EvacuationChange> OnState(EvacuationState aState,
                                        std::optional<base::Instant> aHeldAt, base::Instant aNow);
  /// Ends the evacuations that were taken back by the version of the list of upstreams,
  /// and those that the store has lacked for too long since it came back from a copy.
  /// Returns what that changes.
  std::vector<EvacuationChange> Expire(base::ObjectVersion aListVersion, base::Instant aNow);

  /// What the store held at the latest known version; none before the first.
  std::optional<EvacuationState> const& State() const { return m_state; }
  EvacuationEnds const& InForce() const { return m_inForce; }

private:
  /// Brings what is in force in step; what comes into force gets its last requests at
  /// aEnd.
  std::vector<EvacuationChange> Update(base::Instant aEnd);

  EvacuationLimits m_limits;
  std::optional<EvacuationState> m_state;
  /// Evacuations that the copy lacks from which the store came back, with the time
  /// until which they hold.
  std::map<base::FailureDomainId, base::Instant> m_held;
  struct Ending
  {
    /// The version of the store by which it was taken back.
    base::ObjectVersion m_version;
    base::Instant m_until{};
  };
  /// Evacuations that were taken back and await the list of upstreams.
  std::map<base::FailureDomainId, Ending> m_ending;
  EvacuationEnds m_inForce;
  /// When the store held the state, as far as known.
  std::optional<base::Instant> m_heldAt;
};

} // namespace sardinefold::entry
