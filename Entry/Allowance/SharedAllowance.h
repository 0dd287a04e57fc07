#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Entry/Allowance/AllowanceReport.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace sardinefold::entry {

struct SharedAllowanceLimits
{
  /// After this time without a summary that contains a recent report of its own, a process
  /// stays within its own slice.
  base::Duration m_summaryTimeout = std::chrono::milliseconds(1'000);
};

/// One process's view of every workspace's bucket. With a planner, the level is the one of
/// the planner's last summary, less what this process granted since the report that the
/// summary contains: a function of totals, which a lost or late message does not shift for
/// longer than until the next one. What the others granted meanwhile is not known yet; as
/// much as their callers ask in that time is kept back. Without a planner the process
/// grants from its slice: its part of the last level, of the rate and of the burst.
class SharedAllowance
{
public:
  /// aSeed spreads the times at which processes take turns.
  explicit SharedAllowance(SharedAllowanceLimits aLimits, std::uint64_t aSeed = 0)
    : m_limits(aLimits)
    , m_seed(aSeed)
  {
  }

  /// Puts limits in force. The buckets of the first limits start empty, since others may
  /// have granted from them before; those of workspaces that are new later start full.
  void SetLimits(std::map<base::WorkspaceId, AllowanceLimit> const& aLimits, base::Instant aNow);

  /// Takes the tokens, or returns the time after which the caller should come again. Those
  /// who are refused get times one after another, as the tokens will be there.
  std::optional<base::Duration> Take(base::WorkspaceId const& aWorkspace, base::Tokens aTokens,
                                     base::Instant aNow);
  /// Refunds the tokens of a request that did not run.
  void Refund(base::WorkspaceId const& aWorkspace, base::Tokens aTokens);

  /// Sets the number of granting processes, until the first summary arrives.
  void OnProcessCount(unsigned aProcesses);
  /// Fills the buckets; to be called ten times a second.
  void Tick(base::Instant aNow);
  /// Returns the next report; to be called ten times a second while there is a planner.
  AllowanceReport MakeReport(bool aIsNewPlanner, base::Instant aNow);
  /// Takes a planner's summary. Returns false if it is not used: it is late, from a planner
  /// that this process left, or does not contain this run of the process, aSelf.
  bool OnSummary(AllowanceSummary const& aSummary, base::IncarnationId const& aSelf,
                 base::Instant aNow);

  /// The values that decide about a workspace's requests now, for the log.
  struct Status
  {
    base::Tokens m_level;
    base::Tokens m_slice;
    /// What is kept back for grants of others that are not known yet.
    base::Tokens m_reserve;
    /// Granted here since the start, and the part that the last summary contained.
    base::Tokens m_granted;
    base::Tokens m_includedGranted;
    base::TokensPerSecond m_asked;
    base::TokensPerSecond m_askedByAll;
    /// Part of the allowance that this process may grant.
    double m_share = 1;
    /// Age of this process's report that the last summary contained.
    std::optional<base::Duration> m_updateAge;
  };
  Status GrantStatusOf(base::WorkspaceId const& aWorkspace, base::Instant aNow) const;

  /// Whether the planner of the pool has answered lately.
  bool IsFresh(base::Instant aNow) const;
  /// Returns what this process has granted since its start.
  std::map<base::WorkspaceId, base::Tokens> const& Granted() const { return m_granted; }
  /// Returns the largest difference between a level of the last summary and the one that
  /// was expected here.
  base::Tokens LargestCorrection() const { return m_largestCorrection; }
  /// Returns the age of this process's report that the last summary contained.
  std::optional<base::Duration> UpdateAge(base::Instant aNow) const;

private:
  struct Bucket
  {
    AllowanceLimit m_limit;
    double m_level = 0;
    double m_slice = 0;
    base::Instant m_filledAt{};
    base::Tokens m_includedGranted;
    /// Tokens asked for here, decaying.
    double m_askedHere = 0;
    base::Instant m_askedAt{};
    double m_askedByAll = 0;
    base::Instant m_askedByAllAt{};
    base::Instant m_lastUseAt{};
    /// The report that listed it first after its last use.
    AllowanceReportNumber m_listedFirst;
    bool m_hasUnlistedUse = false;
    /// Whether this process or others are known to have granted from it.
    bool m_isUsed = false;
    /// When the next caller that is refused may come again.
    base::Instant m_nextReturnAt{};
  };

  double OwnShare() const;
  double PoolShare() const;
  bool IsLevelUsable(Bucket const& aBucket, base::Instant aNow) const;
  double AskedHere(Bucket const& aBucket, base::Instant aNow) const;
  double ExpectedGrants(Bucket const& aBucket, base::Instant aNow) const;
  bool IsGranted(Bucket const& aBucket, double aTokens, base::Instant aNow) const;
  base::Duration ReturnAfter(Bucket& aBucket, double aTokens, base::Instant aNow) const;
  void Fill(Bucket& aBucket, base::Instant aNow) const;
  void Adopt(Bucket& aBucket, PooledAllowance const& aPooled, base::Tokens aGranted,
             base::Instant aNow);
  bool IsListed(Bucket& aBucket, base::Instant aNow) const;
  base::Tokens GrantedOf(base::WorkspaceId const& aWorkspace) const;

  SharedAllowanceLimits m_limits;
  std::uint64_t m_seed;
  std::map<base::WorkspaceId, Bucket> m_buckets;
  std::map<base::WorkspaceId, base::Tokens> m_granted;
  std::optional<base::Instant> m_startedAt;
  unsigned m_fleet = 1;
  unsigned m_sharing = 1;
  bool m_isFleetKnown = false;
  bool m_hasSummary = false;

  AllowanceReportNumber m_lastReport;
  /// The first report to the present planner; it contains this process's slices.
  AllowanceReportNumber m_joiningReport;
  bool m_isPooled = false;
  std::deque<std::pair<AllowanceReportNumber, base::Instant>> m_sentAt;
  std::string m_epoch;
  AllowanceSummaryNumber m_lastSummary;
  /// When the report was sent that the last summary contained.
  std::optional<base::Instant> m_includedSentAt;
  base::Tokens m_largestCorrection;
};

} // namespace sardinefold::entry
