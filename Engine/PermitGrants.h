#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/RequestLimit.h"

#include <cstdint>
#include <map>
#include <optional>

namespace sardinefold::engine {

/// Grants the requests that one upstream takes to the gateways where some wait for it, one
/// by one.
///
/// A permit that a gateway doesn't use in time is lost. All permits of four seconds, those
/// that were granted somewhat before and used late, and the stored ones are within the
/// bound on the upstream's requests.
class PermitGrants
{
public:
  /// A gateway that has not reported for this long gets no permit.
  static constexpr base::Duration kSilence = std::chrono::milliseconds(700);

  void OnDemand(base::HostId const& aGateway, RequestLimitDemand const& aDemand,
                base::Instant aNow);
  /// The gateway reports without knowing of the limit.
  void OnNoDemand(base::HostId const& aGateway);
  /// To be called ten times a second. aRate is what may be granted.
  void Update(base::RequestsPerSecond aRate, base::Instant aNow);
  /// The permits that the gateway was granted in total.
  std::uint64_t TotalOf(base::HostId const& aGateway) const;
  /// The requests that wait at all gateways.
  unsigned Waiting(base::Instant aNow) const;

private:
  struct Gateway
  {
    RequestLimitDemand m_demand;
    base::Instant m_reportedAt{};
    std::uint64_t m_total = 0;
    base::Instant m_grantedAt{};
  };

  /// Requests without a permit, those aside that the gateway has yet to hear of.
  static std::uint64_t Needed(Gateway const& aGateway);
  /// The gateway that is to get the next permit.
  Gateway* FindNeediest(base::Instant aNow);
  /// One that may have a request for the upstream although none waits.
  Gateway* FindAsking(base::Instant aNow);
  void Grant(Gateway& aGateway, base::Instant aNow);

  std::map<base::HostId, Gateway> m_gateways;
  /// Permits that may be granted now.
  double m_stored = 0;
  std::optional<base::Instant> m_storedAt;
};

} // namespace sardinefold::engine
