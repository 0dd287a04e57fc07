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

/// A workspace of a scenario and the load from its callers.
struct WorkspaceLoad
{
  base::WorkspaceId m_id;
  entry::Allowance m_allowance;
  /// Average rate.
  double m_requestsPerSecond = 1;
  /// Range of the tokens that one request reserves.
  std::int64_t m_minimumTokens = 200;
  std::int64_t m_maximumTokens = 2000;
  /// Whether requests arrive in waves rather than evenly.
  bool m_isBursty = false;
  /// Whether callers send more than the rate allows. Their refused requests are
  /// judged by tokens served and not counted one by one.
  bool m_isOverRate = false;
};

/// Time span of a fault.
struct FaultWindow
{
  base::Duration m_from{};
  base::Duration m_until{};

  bool Contains(base::Duration aTime) const { return aTime >= m_from && aTime < m_until; }
};

/// Change of a workspace's allowance by an operator.
struct AllowanceChange
{
  base::Duration m_at{};
  std::size_t m_workspace = 0;
  entry::Allowance m_allowance;
};

/// Parameters of one simulation of a fleet's allowances: the fleet's size, its
/// callers and its faults.
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
  /// Requests use at least this fraction of the tokens that they reserve.
  double m_minimumUsedFraction = 0.3;
  /// Whether a few entries receive most of the requests.
  bool m_isSkewed = false;
  /// Interval at which an entry crashes and another host replaces it.
  std::optional<base::Duration> m_crashInterval;
  /// Interval at which a process is paused, for up to three seconds.
  std::optional<base::Duration> m_pauseInterval;
  int m_lostPerMille = 0;
  int m_repeatedPerMille = 0;
  int m_latePerMille = 0;
  std::optional<FaultWindow> m_platformOutage;
  /// The first failure domain is disconnected from the others.
  std::optional<FaultWindow> m_partition;
  std::vector<AllowanceChange> m_changes;
};

/// Result of a simulation.
struct AllowanceResult
{
  /// Greatest fraction of a burst that reached the upstreams in any window.
  double m_maxOverAllowance = 0;
  /// Requests that the oracle admitted, in workspaces that do not exceed their
  /// rate.
  std::int64_t m_oracleAdmitted = 0;
  /// Number of those requests that were refused.
  std::int64_t m_wrongRefusals = 0;
  /// Tokens served, divided by the tokens that the oracle served, of the
  /// workspace in which this ratio is lowest.
  double m_worstWorkspace = 1;
  /// Control messages and their estimated bytes, per entry.
  double m_messagesPerSecond = 0;
  double m_bytesPerSecond = 0;
  /// Platform calls of the whole fleet.
  double m_platformCallsPerSecond = 0;
  std::int64_t m_requests = 0;
  std::int64_t m_served = 0;
  std::int64_t m_lost = 0;
};

} // namespace sardinefold::bench
