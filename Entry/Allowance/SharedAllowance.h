#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <map>
#include <optional>
#include <string>

namespace sardinefold::entry {

/// A workspace's rate and burst for all entries together.
struct AllowanceLimit
{
  /// Zero means no limit.
  base::TokensPerSecond m_rate;
  base::Tokens m_burst;

  friend bool operator==(AllowanceLimit const&, AllowanceLimit const&) = default;
};

/// The processes that grant tokens.
struct GrantingFleet
{
  /// Number of live processes.
  unsigned m_present = 1;
  /// Number of those, including this one, that know one another's grants.
  unsigned m_sharing = 1;
};

struct SharedAllowanceLimits
{
  /// After this time without an update on the others' grants, a process stays
  /// within its own share.
  base::Duration m_peerTimeout = std::chrono::milliseconds(300);
  /// Part of the rate that is granted, as a margin for the others' grants that
  /// are not known here yet.
  double m_rateFraction = 0.98;
};

/// Each process grants tokens from its own copy of every workspace's bucket and
/// deducts the grants that the others report. Processes that receive one
/// another's reports grant together up to their part of the rate, in proportion
/// to their number, so that partitioned groups stay within the rate as well. All
/// together can exceed it by at most what they grant before the reports arrive.
class SharedAllowance
{
public:
  explicit SharedAllowance(SharedAllowanceLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Puts limits in force. A bucket that is new here starts nearly empty, since
  /// others may have granted from it before, and from then on fills even while it
  /// has no requests here.
  void SetLimits(std::map<base::WorkspaceId, AllowanceLimit> const& aLimits, base::Instant aNow);

  /// Takes the tokens, or returns the time after which they will be available.
  std::optional<base::Duration> Take(base::WorkspaceId const& aWorkspace, base::Tokens aTokens,
                                     base::Instant aNow);
  /// Refunds the tokens of a request that did not run.
  void Refund(base::WorkspaceId const& aWorkspace, base::Tokens aTokens);

  /// Sets the number of granting processes, until the first report of their
  /// grants arrives.
  void OnProcessCount(unsigned aProcesses);

  /// Records what all others have granted since the epoch began.
  void OnPeerGrants(std::string const& aEpoch, GrantingFleet aFleet,
                    std::map<base::WorkspaceId, base::Tokens> const& aGranted, base::Instant aNow);

  /// The values that decide about a workspace's requests now, for the log.
  struct Status
  {
    base::Tokens m_level;
    /// Part of the allowance that this process may grant.
    double m_share = 1;
    std::optional<base::Duration> m_updateAge;
  };
  Status GrantStatusOf(base::WorkspaceId const& aWorkspace, base::Instant aNow) const;

  /// Returns what this process has granted since its start.
  std::map<base::WorkspaceId, base::Tokens> const& Granted() const { return m_granted; }

private:
  struct Bucket
  {
    AllowanceLimit m_limit;
    double m_level = 0;
    base::Instant m_filledAt{};
    /// Tokens granted here since the last update on the others' grants.
    double m_grantedSinceUpdate = 0;
  };

  bool HasRecentPeerGrants(base::Instant aNow) const;
  double ShareAt(base::Instant aNow) const;
  void Fill(Bucket& aBucket, base::Instant aNow) const;

  SharedAllowanceLimits m_limits;
  std::map<base::WorkspaceId, Bucket> m_buckets;
  std::map<base::WorkspaceId, base::Tokens> m_granted;
  std::string m_epoch;
  std::map<base::WorkspaceId, base::Tokens> m_grantedByOthers;
  GrantingFleet m_fleet;
  std::optional<base::Instant> m_lastUpdate;
  bool m_isFleetKnown = false;
};

} // namespace sardinefold::entry
