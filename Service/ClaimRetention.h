#pragma once

#include "Base/Time.h"
#include "ObjectStore/PlatformObject.h"
#include "Service/Claim.h"

#include <map>
#include <vector>

namespace sardinefold::service {

struct ClaimRetentionLimits
{
  /// A claim is deleted when one process has known it unchanged for this time
  /// by its own clock, so that no two clocks are compared.
  base::Duration m_ended = std::chrono::hours(1);
  /// The same for a claim whose owner may be running, which may be paused.
  base::Duration m_running = std::chrono::hours(24);
};

/// A claim to delete if it still has this version.
struct ClaimDeletion
{
  objectstore::ObjectName m_name;
  base::ObjectVersion m_version;
};

/// Decides when claims are deleted. The agent that recorded a claim's end
/// deletes it; what dead agents left behind is found by lists.
class ClaimRetention
{
public:
  explicit ClaimRetention(ClaimRetentionLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// A claim was written here, or seen in a list.
  void Record(objectstore::ObjectName const& aName, base::ObjectVersion aVersion, ClaimState aState,
              base::Instant aNow);
  /// The claims whose time has come; they are forgotten here.
  std::vector<ClaimDeletion> TakeDue(base::Instant aNow);

  std::size_t Size() const { return m_claims.size(); }

private:
  struct KnownClaim
  {
    base::ObjectVersion m_version;
    base::Instant m_due;
  };

  ClaimRetentionLimits m_limits;
  std::map<objectstore::ObjectName, KnownClaim> m_claims;
  std::multimap<base::Instant, objectstore::ObjectName> m_due;
};

} // namespace sardinefold::service
