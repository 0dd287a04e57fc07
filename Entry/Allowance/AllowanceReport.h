#pragma once

#include "Base/Identifiers.h"
#include "Base/Quantity.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <map>
#include <string>

namespace sardinefold::entry {

/// Numbers the reports of one incarnation of a gateway, from 1.
using AllowanceReportNumber = base::Ordinal<struct AllowanceReportNumberTag>;
/// Numbers the summaries of one epoch of a planner, from 1.
using AllowanceSummaryNumber = base::Ordinal<struct AllowanceSummaryNumberTag>;

/// A workspace's rate and burst for all entries together.
struct AllowanceLimit
{
  /// Zero means no limit.
  base::TokensPerSecond m_rate;
  base::Tokens m_burst;

  friend bool operator==(AllowanceLimit const&, AllowanceLimit const&) = default;
};

/// Numbers of tokens in messages are within this, so that sums of them stay within 64 bits.
inline constexpr std::int64_t kLargestReportedTokens = 1'000'000'000'000'000;

/// What one gateway reports of one workspace.
struct ReportedGrants
{
  AllowanceLimit m_limit;
  /// Granted since the gateway started, without what was refunded.
  base::Tokens m_granted;
  /// Tokens that callers asked for lately, granted or not.
  base::TokensPerSecond m_asked;
  /// The gateway's part of the bucket's level, which it adds to the pool as it joins.
  base::Tokens m_slice;

  friend bool operator==(ReportedGrants const&, ReportedGrants const&) = default;
};

/// From a gateway to its planner.
struct AllowanceReport
{
  AllowanceReportNumber m_number;
  /// Whether the gateway is not known to be in the planner's pool, so that the report
  /// lists every workspace that it granted tokens of.
  bool m_isJoining = false;
  /// Whether a joining report lists them all; those left out count as never granted from.
  bool m_isWhole = true;
  /// Whether the gateway stops and grants nothing further.
  bool m_isLast = false;
  /// Time since the gateway first had limits in force. Workspaces that are not listed have
  /// filled since then.
  base::Duration m_age{};
  /// Number of granting gateways that the sender knows of; 0 if it does not know.
  unsigned m_fleet = 0;
  /// The catalog that the limits are from.
  base::CatalogVersion m_catalog;
  std::map<base::WorkspaceId, ReportedGrants> m_grants;

  friend bool operator==(AllowanceReport const&, AllowanceReport const&) = default;
};

/// The level of a bucket that the gateways of one planner share.
struct PooledAllowance
{
  base::Tokens m_level;
  /// What callers ask of all these gateways together.
  base::TokensPerSecond m_asked;
  /// The receiver's total that the level contains.
  base::Tokens m_ownGranted;

  friend bool operator==(PooledAllowance const&, PooledAllowance const&) = default;
};

/// From a planner to one gateway.
struct AllowanceSummary
{
  /// Identifies the run of the planner.
  std::string m_epoch;
  AllowanceSummaryNumber m_number;
  /// The run of the receiver that the levels contain, empty if none.
  base::IncarnationId m_receiver;
  /// The receiver's report that the levels contain; 0 if it is not in the pool.
  AllowanceReportNumber m_included;
  /// Number of gateways that may grant tokens, and of those in the pool.
  unsigned m_fleet = 1;
  unsigned m_sharing = 1;
  /// For how long the receiver's part of the buckets that are not listed has filled.
  base::Duration m_filledFor{};
  std::map<base::WorkspaceId, PooledAllowance> m_pools;

  friend bool operator==(AllowanceSummary const&, AllowanceSummary const&) = default;
};

} // namespace sardinefold::entry
