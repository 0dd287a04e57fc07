#pragma once

#include "Bench/Workload/AllowanceFleet.h"

#include <map>
#include <memory>

namespace sardinefold::bench {

/// A request of a caller.
struct AllowanceFleet::Request
{
  std::size_t m_workspace;
  std::size_t m_process;
  base::Tokens m_reserved;
  base::Tokens m_used;
  base::Duration m_deadline{};
  base::Duration m_runTime{};
  bool m_isAdmittedByOracle = false;
  bool m_isDispatched = false;
};

/// An entry process with its allowance decisions, its clock and its requests.
struct AllowanceFleet::Process
{
  Process(entry::HolderKey const& aKey, entry::AllowanceLayout aLayout,
          entry::ShareIndex aLocalShare, base::Instant aNow)
    : m_key(aKey)
    , m_node(aKey, aLayout, aLocalShare, aNow)
    , m_plan(aKey, aLayout)
  {
  }

  entry::HolderKey m_key;
  entry::AllowanceNode m_node;
  entry::OwnershipPlan m_plan;
  std::size_t m_index = 0;
  std::size_t m_domain = 0;
  std::uint64_t m_incarnation = 1;
  bool m_isAlive = true;
  base::Duration m_pausedUntil{};
  base::Duration m_nextClaims{};
  base::Duration m_nextReadBack{};
  /// Offset and rate of the process's own clock.
  base::Duration m_clockShift{};
  double m_clockSpeed = 1;
  std::map<entry::ReservationId, std::shared_ptr<Request>> m_requests;

  base::Instant Clock(base::Duration aTime) const
  {
    return base::Instant(m_clockShift + base::FromSeconds(base::ToSeconds(aTime) * m_clockSpeed));
  }
};

/// A workspace with its load, the checkers of its limits and its counts.
struct AllowanceFleet::Workspace
{
  WorkspaceLoad m_load;
  AllowanceChecker m_checker;
  OracleBucket m_oracle;
  double m_rate = 0;
  std::int64_t m_requests = 0;
  std::int64_t m_oracleAdmitted = 0;
  std::int64_t m_wronglyRefused = 0;
  std::int64_t m_served = 0;
  std::int64_t m_lost = 0;
  std::int64_t m_oracleTokens = 0;
  std::int64_t m_servedTokens = 0;
};

} // namespace sardinefold::bench
