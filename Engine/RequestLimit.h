#pragma once

#include "Base/Time.h"
#include "Base/Units.h"
#include "Engine/UpstreamNotice.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace sardinefold::engine {

/// Lower limits are used as this one, as an upstream tells in a response only that it has
/// ceased to name a limit.
constexpr base::RequestsPerSecond kLeastRequestLimit(0.25);

inline base::RequestsPerSecond UsedRequestLimit(base::RequestsPerSecond aLimit)
{
  return std::max(aLimit, kLeastRequestLimit);
}

/// How much newer word of another process must be to count, as its age lacks the time on
/// the way. A late message must not raise or end a limit.
inline base::Duration WordTolerance(std::optional<base::RequestsPerSecond> aKnown,
                                    std::optional<base::RequestsPerSecond> aOther)
{
  bool const isLower = aOther && (!aKnown || *aOther < *aKnown);
  return isLower ? base::Duration(std::chrono::milliseconds(100)) : std::chrono::seconds(1);
}

/// What a process knows of the limit that an upstream names in its responses.
struct RequestLimitState
{
  UpstreamStart m_start;
  /// Requests that the upstream takes from all processes together; nothing once it has
  /// stopped naming a limit.
  std::optional<base::RequestsPerSecond> m_limit;
  /// Time since the response that told it.
  base::Duration m_age{};

  friend bool operator==(RequestLimitState const&, RequestLimitState const&) = default;
};

/// From a gateway to the planner.
struct RequestLimitDemand
{
  RequestLimitState m_state;
  /// Requests that the gateway would send to the upstream without the limit.
  base::RequestsPerSecond m_asked;
  /// Requests that wait for a permit, less the permits that the gateway holds.
  unsigned m_waiting = 0;
  /// The total of the last RequestLimitGrant that the gateway received.
  std::uint64_t m_received = 0;

  friend bool operator==(RequestLimitDemand const&, RequestLimitDemand const&) = default;
};

/// From the planner to one gateway.
struct RequestLimitGrant
{
  RequestLimitState m_state;
  /// Permits that this run of the planner has granted the gateway in total, each for one
  /// request.
  std::uint64_t m_total = 0;
  /// Requests that wait for permits at all gateways.
  unsigned m_waiting = 0;

  friend bool operator==(RequestLimitGrant const&, RequestLimitGrant const&) = default;
};

/// What a gateway makes of a grant: the permits that are new to it.
struct RequestLimitPermits
{
  RequestLimitState m_state;
  unsigned m_permits = 0;
  /// As in the grant.
  unsigned m_waiting = 0;
};

} // namespace sardinefold::engine
