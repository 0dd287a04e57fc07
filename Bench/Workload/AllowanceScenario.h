#pragma once

#include "Base/Time.h"
#include "Entry/Allowance/AllowanceLayout.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sardinefold::bench {

using namespace std::chrono_literals;

/// A workspace of a scenario and what its callers send.
struct WorkspaceLoad
{
  base::WorkspaceId m_id;
  entry::Allowance m_allowance;
  /// Requests a second, on average.
  double m_requestsPerSecond = 1;
  /// Bounds of the tokens that one request reserves.
  std::int64_t m_minimumTokens = 200;
  std::int64_t m_maximumTokens = 2000;
  /// Whether callers come in waves rather than evenly.
  bool m_isBursty = false;
  /// Whether callers ask for more than the rate; their requests that can't be
  /// served are told by tokens, not one by one.
  bool m_isOverRate = false;
};

/// A time during which something is out of order.
struct FaultWindow
{
  base::Duration m_from{};
  base::Duration m_until{};

  bool Contains(base::Duration aTime) const { return aTime >= m_from && aTime < m_until; }
};

/// A change of one workspace's allowance by its operator.
struct AllowanceChange
{
  base::Duration m_at{};
  std::size_t m_workspace = 0;
  entry::Allowance m_allowance;
};

/// One run of the allowances of a fleet: its size, its callers and its faults.
struct AllowanceScenario
{
  std::string m_name;
  std::uint64_t m_seed = 1;
  std::size_t m_entries = 8;
  std::size_t m_failureDomains = 4;
  entry::AllowanceLayout m_layout;
  base::Duration m_length = 120s;
  base::Duration m_oneWayDelay = 500us;
  std::vector<WorkspaceLoad> m_workspaces;
  /// Requests use at least this part of what they reserve.
  double m_minimumUsedFraction = 0.3;
  /// Whether a few entries get most of the requests.
  bool m_isSkewed = false;
  /// An entry dies this often and another host takes its place.
  std::optional<base::Duration> m_crashInterval;
  /// A process stands still this often, for up to three seconds.
  std::optional<base::Duration> m_pauseInterval;
  /// Of a thousand messages.
  int m_lostPerMille = 0;
  int m_repeatedPerMille = 0;
  int m_latePerMille = 0;
  std::optional<FaultWindow> m_platformOutage;
  /// The first failure domain hears none of the others.
  std::optional<FaultWindow> m_partition;
  std::vector<AllowanceChange> m_changes;
};

/// What a run came to.
struct AllowanceResult
{
  /// Greatest part of a burst that reached the upstreams in any window.
  double m_maxOverAllowance = 0;
  /// Requests that the oracle admitted, of workspaces that keep to their rate.
  std::int64_t m_oracleAdmitted = 0;
  /// Of those, requests that were refused.
  std::int64_t m_wrongRefusals = 0;
  /// Tokens served to the worst-served workspace over what the oracle served.
  double m_worstWorkspace = 1;
  /// Control messages and their estimated bytes, per entry and second.
  double m_messagesPerSecond = 0;
  double m_bytesPerSecond = 0;
  /// Platform calls of the whole fleet per second.
  double m_platformCallsPerSecond = 0;
  std::int64_t m_requests = 0;
  std::int64_t m_served = 0;
  std::int64_t m_lost = 0;
};

} // namespace sardinefold::bench
