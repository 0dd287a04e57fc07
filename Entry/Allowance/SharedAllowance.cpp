#include "Entry/Allowance/SharedAllowance.h"

#include <algorithm>

namespace sardinefold::entry {

namespace {

/// Share of a process that does not know the number of others yet, which lasts
/// some tenths of a second after its start. Small enough for fleets of a hundred
/// entries that all start at once.
constexpr double kUnknownFleetShare = 1.0 / 64;

} // namespace

bool SharedAllowance::HasRecentPeerGrants(base::Instant aNow) const
{
  return m_lastUpdate && aNow - *m_lastUpdate < m_limits.m_peerTimeout;
}

double SharedAllowance::ShareAt(base::Instant aNow) const
{
  if (!m_isFleetKnown) {
    return kUnknownFleetShare;
  }
  unsigned const sharing = HasRecentPeerGrants(aNow) ? std::max(m_fleet.m_sharing, 1U) : 1U;
  return static_cast<double>(sharing) / std::max({ m_fleet.m_present, sharing, 1U });
}

void SharedAllowance::Fill(Bucket& aBucket, base::Instant aNow) const
{
  double const share = ShareAt(aNow);
  double const rate = aBucket.m_limit.m_rate.Value() * m_limits.m_rateFraction * share;
  double const burst = static_cast<double>(aBucket.m_limit.m_burst.Value()) * share;
  double const elapsed = base::ToSeconds(aNow - aBucket.m_filledAt);
  aBucket.m_level = std::min(burst, aBucket.m_level + rate * elapsed);
  aBucket.m_filledAt = aNow;
}

void SharedAllowance::SetLimits(std::map<base::WorkspaceId, AllowanceLimit> const& aLimits,
                                base::Instant aNow)
{
  std::erase_if(m_buckets, [&](auto const& aBucket) { return !aLimits.contains(aBucket.first); });
  for (auto const& [workspace, limit] : aLimits) {
    auto const [found, isNew] = m_buckets.try_emplace(workspace);
    auto& bucket = found->second;
    if (isNew) {
      bucket.m_level = static_cast<double>(limit.m_burst.Value()) * kUnknownFleetShare;
      bucket.m_filledAt = aNow;
    } else {
      Fill(bucket, aNow);
    }
    bucket.m_limit = limit;
  }
}

std::optional<base::Duration> SharedAllowance::Take(base::WorkspaceId const& aWorkspace,
                                                    base::Tokens aTokens, base::Instant aNow)
{
  auto const found = m_buckets.find(aWorkspace);
  if (found == m_buckets.end() || found->second.m_limit.m_rate.Value() <= 0) {
    return std::nullopt;
  }
  auto& bucket = found->second;
  Fill(bucket, aNow);
  double const share = ShareAt(aNow);
  auto const tokens = static_cast<double>(aTokens.Value());
  // A request larger than the burst is granted when the bucket is full.
  double const needed =
    std::min(tokens, static_cast<double>(bucket.m_limit.m_burst.Value()) * share);
  if (bucket.m_level < needed) {
    return base::FromSeconds((needed - bucket.m_level) / (bucket.m_limit.m_rate.Value() * share));
  }
  bucket.m_level -= tokens;
  bucket.m_grantedSinceUpdate += tokens;
  m_granted[aWorkspace] += aTokens;
  return std::nullopt;
}

void SharedAllowance::Refund(base::WorkspaceId const& aWorkspace, base::Tokens aTokens)
{
  auto const found = m_buckets.find(aWorkspace);
  if (found == m_buckets.end()) {
    return;
  }
  auto& bucket = found->second;
  bucket.m_level += static_cast<double>(aTokens.Value());
  m_granted[aWorkspace] -= aTokens;
}

void SharedAllowance::OnProcessCount(unsigned aProcesses)
{
  if (!m_lastUpdate && aProcesses > 0) {
    m_fleet.m_present = std::max(m_fleet.m_present, aProcesses);
    m_isFleetKnown = true;
  }
}

void SharedAllowance::OnPeerGrants(std::string const& aEpoch, GrantingFleet aFleet,
                                   std::map<base::WorkspaceId, base::Tokens> const& aGranted,
                                   base::Instant aNow)
{
  bool const isContinued = aEpoch == m_epoch;
  for (auto& [workspace, bucket] : m_buckets) {
    Fill(bucket, aNow);
    // Sums of a new epoch start from arbitrary values. What the others granted
    // between the last report of the old epoch and now is unknown; each is
    // assumed to have granted as much as this process.
    if (!isContinued && !m_epoch.empty()) {
      bucket.m_level -= bucket.m_grantedSinceUpdate * (std::max(aFleet.m_present, 1U) - 1);
    }
    bucket.m_grantedSinceUpdate = 0;
  }
  for (auto const& [workspace, tokens] : aGranted) {
    auto const before = m_grantedByOthers[workspace];
    auto const bucket = m_buckets.find(workspace);
    if (isContinued && bucket != m_buckets.end()) {
      bucket->second.m_level -= static_cast<double>((tokens - before).Value());
    }
    m_grantedByOthers[workspace] = tokens;
  }
  m_epoch = aEpoch;
  m_fleet = aFleet;
  m_isFleetKnown = true;
  m_lastUpdate = aNow;
}

SharedAllowance::Status SharedAllowance::GrantStatusOf(base::WorkspaceId const& aWorkspace,
                                                       base::Instant aNow) const
{
  Status status;
  auto const bucket = m_buckets.find(aWorkspace);
  if (bucket != m_buckets.end()) {
    status.m_level = base::Tokens(static_cast<std::int64_t>(bucket->second.m_level));
  }
  status.m_share = ShareAt(aNow);
  if (m_lastUpdate) {
    status.m_updateAge = aNow - *m_lastUpdate;
  }
  return status;
}

} // namespace sardinefold::entry
