#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"
#include "Entry/Allowance/AllowanceReport.h"

#include <map>
#include <optional>
#include <string>

namespace sardinefold::entry {

struct GrantLedgerLimits
{
  /// Gateways report ten times a second. One that is silent for this long has taken its
  /// part of each level with it.
  base::Duration m_reportTimeout = std::chrono::milliseconds(700);
  /// A gateway that nobody hears may still serve callers. Its part of the rate is left to
  /// it for this long.
  base::Duration m_granterRetention = std::chrono::seconds(60);
  /// A gateway that is restarted within this time of its last report gets back the part
  /// that it took with it, less what its callers asked for meanwhile.
  base::Duration m_restartTime = std::chrono::seconds(2);
};

/// The pool of a planner: one level for each workspace, shared by the gateways that report
/// to this planner. A gateway brings its part of the level when it joins and takes its part
/// when it leaves, so that pools can split and merge without tokens gained or lost. Its part
/// counts once a later report shows that it relies on this pool: a report that is read late
/// may be from a gateway that has joined another one. Reports hold totals, so that those
/// that are lost or repeated change nothing.
class GrantLedger
{
public:
  explicit GrantLedger(std::string aEpoch, GrantLedgerLimits aLimits = {})
    : m_limits(aLimits)
    , m_epoch(std::move(aEpoch))
  {
  }

  /// Records that a gateway is running, whichever planner it uses.
  void OnPresence(base::HostId const& aHost, base::IncarnationId const& aIncarnation,
                  base::Instant aNow);
  void OnReport(base::HostId const& aHost, base::IncarnationId const& aIncarnation,
                AllowanceReport const& aReport, base::Instant aNow);
  /// Fills the buckets and removes silent gateways; to be called before the summaries of a
  /// round, ten times a second.
  void Advance(base::Instant aNow);
  /// Returns the summary of this round for a gateway.
  AllowanceSummary SummaryFor(base::HostId const& aHost);

private:
  struct Counted
  {
    base::Tokens m_granted;
    base::TokensPerSecond m_asked;
    base::Instant m_at{};
  };
  struct Member
  {
    base::IncarnationId m_incarnation;
    /// The incarnation before, whose late reports are ignored.
    std::optional<base::IncarnationId> m_previous;
    AllowanceReportNumber m_lastReport;
    base::Instant m_lastContactAt{};
    base::Instant m_filledSince{};
    /// Whether its first report listed every total.
    bool m_isWhole = true;
    /// Number of summaries that still list every bucket.
    unsigned m_wholeSummariesDue = 0;
    std::map<base::WorkspaceId, Counted> m_counted;
  };
  struct Joining
  {
    base::IncarnationId m_incarnation;
    AllowanceReport m_report;
    base::Instant m_at{};
  };
  /// A member that has been silent.
  struct Departed
  {
    Member m_member;
    std::map<base::WorkspaceId, double> m_levels;
  };
  struct Pool
  {
    AllowanceLimit m_limit;
    base::CatalogVersion m_catalog;
    double m_level = 0;
    base::Instant m_filledAt{};
    base::Instant m_lastUseAt{};
    base::TokensPerSecond m_asked;
    /// Whether this round's summaries list it, and its level when it was listed last.
    bool m_isListed = false;
    /// Whether it is among the emptiest, which fit one summary.
    bool m_isAmongEmptiest = true;
    double m_listedLevel = 0;
    base::Instant m_listedAt{};
  };

  bool HasStopped(base::HostId const& aHost, base::IncarnationId const& aIncarnation) const;
  double Fleet() const;
  double Share() const;
  double Capacity(Pool const& aPool) const;
  double UnlistedSlice(Member const& aMember, AllowanceLimit const& aLimit,
                       base::Instant aNow) const;
  void Fill(Pool& aPool, base::Instant aNow) const;
  void ChooseListing(Pool& aPool, base::Instant aNow) const;
  void FindEmptiest();
  void FillAll(base::Instant aNow);
  void Join(base::HostId const& aHost, Joining const& aJoining, base::Instant aNow);
  /// Records a joining report, or returns whether the report shows that the gateway relies
  /// on this pool.
  bool IsJoined(base::HostId const& aHost, base::IncarnationId const& aIncarnation,
                AllowanceReport const& aReport, base::Instant aNow);
  AllowanceSummary SummaryFor(base::HostId const& aHost, Joining const& aJoining) const;
  Departed const* FindRestarted(base::HostId const& aHost, Joining const& aJoining) const;
  double SliceOf(Joining const& aJoining, base::WorkspaceId const& aWorkspace,
                 ReportedGrants const& aGrants, Departed const* aRestarted) const;
  void Count(Member& aMember, AllowanceReport const& aReport, base::Instant aNow);
  Pool& FindOrStart(base::WorkspaceId const& aWorkspace, ReportedGrants const& aGrants,
                    base::CatalogVersion aCatalog, base::Instant aNow);

  GrantLedgerLimits m_limits;
  std::string m_epoch;
  AllowanceSummaryNumber m_number;
  std::map<base::HostId, Member> m_members;
  /// Gateways whose parts are not in the pool yet.
  std::map<base::HostId, Joining> m_joining;
  std::map<base::HostId, Departed> m_departed;
  std::map<base::WorkspaceId, Pool> m_pools;
  /// When each gateway that may grant tokens was last heard of.
  std::map<base::HostId, base::Instant> m_heard;
  struct Stopped
  {
    base::IncarnationId m_incarnation;
    base::Instant m_at{};
  };
  /// Gateways that have said that they stop.
  std::map<base::HostId, Stopped> m_stopped;
  /// Number of gateways that those who joined know of.
  unsigned m_claimedFleet = 0;
  base::Instant m_claimedAt{};
  base::Instant m_now{};
};

} // namespace sardinefold::entry
