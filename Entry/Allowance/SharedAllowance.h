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

struct SharedAllowanceLimits
{
  /// After this time without word of the others, a process keeps to its share.
  base::Duration m_silence = std::chrono::milliseconds(700);
  /// Part of the rate that is granted, for what others grant before it is
  /// known here.
  double m_margin = 0.98;
};

/// Each process grants tokens from its own copy of every workspace's bucket and
/// deducts what the others say they have granted. While it hears of them it
/// grants up to the whole rate, else an equal share, so that processes that are
/// cut off from one another together stay within the rate. What all can
/// overspend is what they grant until they hear of one another.
class SharedAllowance
{
public:
  explicit SharedAllowance(SharedAllowanceLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Takes the tokens, or says after which time they will be there.
  std::optional<base::Duration> Take(base::WorkspaceId const& aWorkspace, AllowanceLimit aLimit,
                                     base::Tokens aTokens, base::Instant aNow);
  /// Gives back the tokens of a request that did not run.
  void Refund(base::WorkspaceId const& aWorkspace, base::Tokens aTokens);

  /// What all others have granted since the epoch began.
  void OnOthers(std::string const& aEpoch, unsigned aProcesses,
                std::map<base::WorkspaceId, base::Tokens> const& aGranted, base::Instant aNow);

  /// What decides about a workspace now, for the log.
  struct Standing
  {
    base::Tokens m_level;
    /// Part of the allowance that this process may grant.
    double m_share = 1;
    std::optional<base::Duration> m_newsAge;
  };
  Standing StandingOf(base::WorkspaceId const& aWorkspace, base::Instant aNow) const;

  /// What this process has granted since its start.
  std::map<base::WorkspaceId, base::Tokens> const& Granted() const { return m_granted; }

private:
  struct Bucket
  {
    AllowanceLimit m_limit;
    double m_level = 0;
    base::Instant m_filledAt{};
  };

  bool HearsOthers(base::Instant aNow) const;
  double ShareAt(base::Instant aNow) const;
  void Fill(Bucket& aBucket, base::Instant aNow) const;

  SharedAllowanceLimits m_limits;
  std::map<base::WorkspaceId, Bucket> m_buckets;
  std::map<base::WorkspaceId, base::Tokens> m_granted;
  std::string m_epoch;
  std::map<base::WorkspaceId, base::Tokens> m_grantedByOthers;
  unsigned m_processes = 1;
  std::optional<base::Instant> m_heardAt;
};

} // namespace sardinefold::entry
