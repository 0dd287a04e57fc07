#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"
#include "Base/Units.h"

#include <map>
#include <optional>
#include <string>

namespace sardinefold::entry {

/// A workspace's rate and burst, over all entries together.
struct AllowanceLimit
{
  /// Zero stands for no limit.
  base::TokensPerSecond m_rate;
  base::Tokens m_burst;

  friend bool operator==(AllowanceLimit const&, AllowanceLimit const&) = default;
};

/// The processes that grant tokens.
struct GrantingFleet
{
  /// All that are there.
  unsigned m_present = 1;
  /// Those, this one included, whose grants are known to one another.
  unsigned m_sharing = 1;
};

struct SharedAllowanceLimits
{
  /// After this time without word of the others, a process keeps to its share.
  base::Duration m_silence = std::chrono::milliseconds(300);
  /// Part of the rate that is granted, for what others grant before it is
  /// known here.
  double m_margin = 0.98;
};

/// Each process grants tokens from its own copy of every workspace's bucket and
/// deducts what the others say they have granted. Those that hear of one another
/// grant together up to their part of the rate, by their number, so that groups
/// that do not hear of one another stay within the rate all the same. What all
/// can overspend is what they grant until they hear of it.
class SharedAllowance
{
public:
  explicit SharedAllowance(SharedAllowanceLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Puts limits in force. A bucket that is new here starts nearly empty, since
  /// others may have granted from it before, and fills from then on, also while
  /// nobody asks for it here.
  void SetLimits(std::map<base::WorkspaceId, AllowanceLimit> const& aLimits, base::Instant aNow);

  /// Takes the tokens, or says after which time they will be there.
  std::optional<base::Duration> Take(base::WorkspaceId const& aWorkspace, base::Tokens aTokens,
                                     base::Instant aNow);
  /// Gives back the tokens of a request that did not run.
  void Refund(base::WorkspaceId const& aWorkspace, base::Tokens aTokens);

  /// How many processes grant, for one that has not heard of their grants yet.
  void OnPresent(unsigned aProcesses);

  /// What all others have granted since the epoch began.
  void OnOthers(std::string const& aEpoch, GrantingFleet aFleet,
                std::map<base::WorkspaceId, base::Tokens> const& aGranted, base::Instant aNow);

  /// What decides about a workspace now, for the log.
  struct Standing
  {
    base::Tokens m_level;
    /// Part of the allowance that this process may grant.
    double m_share = 1;
    std::optional<base::Duration> m_newsAge;
  };
  Standing EstimateLoad(base::WorkspaceId const& aWorkspace, base::Instant aNow) const;

  /// What this process has granted since its start.
  std::map<base::WorkspaceId, base::Tokens> const& Granted() const { return m_granted; }

private:
  struct Bucket
  {
    AllowanceLimit m_limit;
    double m_level = 0;
    base::Instant m_filledAt{};
    /// Granted here since the others were last heard.
    double m_sinceNews = 0;
  };

  bool HearsOthers(base::Instant aNow) const;
  double ShareAt(base::Instant aNow) const;
  void Fill(Bucket& aBucket, base::Instant aNow) const;

  SharedAllowanceLimits m_limits;
  std::map<base::WorkspaceId, Bucket> m_buckets;
  std::map<base::WorkspaceId, base::Tokens> m_granted;
  std::string m_epoch;
  std::map<base::WorkspaceId, base::Tokens> m_grantedByOthers;
  GrantingFleet m_fleet;
  std::optional<base::Instant> m_heardAt;
  bool m_isFleetKnown = false;
};

} // namespace sardinefold::entry
