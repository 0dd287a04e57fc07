#pragma once

#include "Base/Identifiers.h"
#include "Engine/PermitGrants.h"
#include "Engine/RequestLimit.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace sardinefold::engine {

/// The planner's part in keeping to the request limits that upstreams name: passes what
/// one gateway has learned of a limit to all, and grants permits to the gateways that
/// report to this planner.
class RequestLimitSharing
{
public:
  /// Takes the report of a gateway, which may name no limit.
  void OnDemands(base::HostId const& aGateway, std::vector<RequestLimitDemand> const& aDemands,
                 base::Instant aNow);
  /// To be called ten times a second, before GrantsFor(). aGatewaysPresent is the number of
  /// running gateways, whichever planner they report to.
  void Update(std::size_t aGatewaysPresent, base::Instant aNow);
  /// What the gateway is to be told: all known limits and the permits that it was granted.
  std::vector<RequestLimitGrant> GrantsFor(base::HostId const& aGateway, base::Instant aNow) const;
  /// The limits that began, changed or ended since the last call.
  std::vector<RequestLimitState> TakeChanges(base::Instant aNow);

private:
  struct Upstream
  {
    std::optional<base::RequestsPerSecond> m_limit;
    /// When the upstream sent the response that told it, as far as known.
    base::Instant m_toldAt{};
    base::Instant m_listedAt{};
    /// As in the last change taken.
    std::optional<base::RequestsPerSecond> m_reported;
    PermitGrants m_grants;
  };

  void Learn(RequestLimitState const& aState, base::Instant aNow);
  /// Whether a later start with the same instance or endpoint is known.
  bool IsSuperseded(UpstreamStart const& aStart) const;
  void Expire(base::Instant aNow);

  std::map<UpstreamStart, Upstream> m_upstreams;
  std::map<base::HostId, base::Instant> m_reportedAt;
  /// Since when gateways have reported without a pause; nothing while none does.
  std::optional<base::Instant> m_planningSince;
};

} // namespace sardinefold::engine
