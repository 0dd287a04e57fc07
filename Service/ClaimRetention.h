#pragma once

#include "Base/Time.h"
#include "ObjectStore/PlatformObject.h"
#include "Service/Claim.h"

#include <map>
#include <optional>
#include <vector>

namespace sardinefold::service {

struct ClaimRetentionLimits
{
  /// A claim is deleted when one process has seen it unchanged for this time by
  /// its own clock, so that no clocks are compared across processes.
  base::Duration m_ended = std::chrono::hours(1);
  /// The same for a claim whose owner may still be running the request or may
  /// be suspended.
  base::Duration m_running = std::chrono::hours(24);
};

/// A claim to delete, provided that it still has this version.
struct ClaimDeletion
{
  objectstore::ObjectName m_name;
  base::ObjectVersion m_version;
};

/// Decides when claims are deleted. The agent that recorded the end of a claim
/// deletes it; orphaned claims of crashed agents are found by listing them.
class ClaimRetention
{
public:
  explicit ClaimRetention(ClaimRetentionLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Records a claim that this process wrote or found in a list.
  void Record(objectstore::ObjectName const& aName, base::ObjectVersion aVersion, ClaimState aState,
              base::Instant aNow);
  /// Removes and returns the claims that are due for deletion.
  std::vector<ClaimDeletion> TakeDue(base::Instant aNow);

  /// The latest version that was recorded of a claim and is not deleted; none if the
  /// claim is not known.
  std::optional<base::ObjectVersion> Version(objectstore::ObjectName const& aName) const;

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
