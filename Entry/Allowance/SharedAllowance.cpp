#include "Entry/Allowance/SharedAllowance.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace sardinefold::entry {

namespace {

/// Share of a process that does not know the number of others yet, which lasts
/// some tenths of a second after its start. Small enough for fleets of a hundred
/// entries that all start at once.
constexpr double kUnknownFleetShare = 1.0 / 64;
/// A clock that steps credits no more than this.
constexpr base::Duration kLongestFill = std::chrono::seconds(1);
/// Time constant of the rate at which callers ask.
constexpr base::Duration kAskedTime = std::chrono::seconds(1);
/// Messages may be lost: a workspace is in this many reports after its last request, and
/// then in one of ten for this long.
constexpr std::uint64_t kRepeats = 3;
constexpr std::uint64_t kReportsPerList = 10;
constexpr base::Duration kListedUse = std::chrono::seconds(3);
/// Largest part of the pool's capacity that is kept back for grants that are not known yet.
constexpr double kLargestReserve = 0.5;
/// Age of a level when no message is lost or late.
constexpr base::Duration kOrdinaryAge = std::chrono::milliseconds(300);
/// Reports that may be on their way: a planner that is several seconds late.
constexpr std::size_t kSentReports = 128;
/// Keeps a joining report within one datagram.
constexpr std::size_t kLargestJoiningReport = 1'000;
/// A process that has started knows the levels after this time, unless it finds no planner
/// for longer.
constexpr base::Duration kJoiningTime = std::chrono::milliseconds(200);
constexpr base::Duration kStartTime = std::chrono::seconds(1);
/// Callers that are refused return within this time.
constexpr base::Duration kLongestReturn = std::chrono::seconds(3);

double ValueOf(base::Tokens aTokens)
{
  return static_cast<double>(aTokens.Value());
}

base::Tokens TokensOf(double aTokens)
{
  return base::Tokens(static_cast<std::int64_t>(std::floor(aTokens)));
}

double Decay(base::Duration aElapsed)
{
  return std::exp(-std::max(0.0, base::ToSeconds(aElapsed)) / base::ToSeconds(kAskedTime));
}

/// Keeps a figure within what messages may hold: receivers drop a message with a larger one.
base::Tokens ToReported(base::Tokens aTokens)
{
  return base::Tokens(std::clamp(aTokens.Value(), -kLargestReportedTokens, kLargestReportedTokens));
}

base::TokensPerSecond ToReported(base::TokensPerSecond aRate)
{
  return base::TokensPerSecond(
    std::clamp(aRate.Value(), 0.0, static_cast<double>(kLargestReportedTokens)));
}

} // namespace

std::optional<base::Duration> SharedAllowance::UpdateAge(base::Instant aNow) const
{
  if (!m_includedSentAt) {
    return std::nullopt;
  }
  return std::max(base::Duration{}, aNow - *m_includedSentAt);
}

bool SharedAllowance::IsFresh(base::Instant aNow) const
{
  auto const age = UpdateAge(aNow);
  return m_isPooled && age && *age < m_limits.m_summaryTimeout;
}

double SharedAllowance::OwnShare() const
{
  return m_isFleetKnown ? 1.0 / std::max(m_fleet, 1U) : kUnknownFleetShare;
}

double SharedAllowance::PoolShare() const
{
  return std::min(1.0, OwnShare() * std::max(m_sharing, 1U));
}

/// An old level says nothing where the others may have granted all that the bucket holds.
bool SharedAllowance::IsLevelUsable(Bucket const& aBucket, base::Instant aNow) const
{
  return IsFresh(aNow) &&
         (*UpdateAge(aNow) < kOrdinaryAge ||
          ExpectedGrants(aBucket, aNow) <= ValueOf(aBucket.m_limit.m_burst) * PoolShare());
}

double SharedAllowance::AskedHere(Bucket const& aBucket, base::Instant aNow) const
{
  return aBucket.m_askedHere * Decay(aNow - aBucket.m_askedAt) / base::ToSeconds(kAskedTime);
}

/// Returns what the others may have granted since their reports that the level contains.
double SharedAllowance::ExpectedGrants(Bucket const& aBucket, base::Instant aNow) const
{
  auto const askedByAll = aBucket.m_askedByAll * Decay(aNow - aBucket.m_askedByAllAt);
  auto const askedByOthers = std::max(0.0, askedByAll - AskedHere(aBucket, aNow));
  return askedByOthers * base::ToSeconds(UpdateAge(aNow).value_or(base::Duration{}));
}

void SharedAllowance::Fill(Bucket& aBucket, base::Instant aNow) const
{
  auto const elapsed = std::clamp(aNow - aBucket.m_filledAt, base::Duration{}, kLongestFill);
  auto const burst = ValueOf(aBucket.m_limit.m_burst);
  auto const refill = aBucket.m_limit.m_rate.Value() * base::ToSeconds(elapsed);
  aBucket.m_level = std::min(burst * PoolShare(), aBucket.m_level + refill * PoolShare());
  aBucket.m_slice = std::min(burst * OwnShare(), aBucket.m_slice + refill * OwnShare());
  aBucket.m_filledAt = aNow;
}

void SharedAllowance::SetLimits(std::map<base::WorkspaceId, AllowanceLimit> const& aLimits,
                                base::Instant aNow)
{
  bool const isFirst = !m_startedAt;
  m_startedAt = m_startedAt.value_or(aNow);
  std::erase_if(m_buckets, [&](auto const& aBucket) { return !aLimits.contains(aBucket.first); });
  for (auto const& [workspace, limit] : aLimits) {
    auto const [found, isNew] = m_buckets.try_emplace(workspace);
    auto& bucket = found->second;
    if (!isNew) {
      Fill(bucket, aNow);
    }
    bucket.m_limit = limit;
    if (isNew) {
      bucket.m_filledAt = aNow;
      bucket.m_level = isFirst ? 0 : ValueOf(limit.m_burst) * PoolShare();
      bucket.m_slice = isFirst ? 0 : ValueOf(limit.m_burst) * OwnShare();
    }
  }
}

bool SharedAllowance::IsGranted(Bucket const& aBucket, double aTokens, base::Instant aNow) const
{
  auto const burst = ValueOf(aBucket.m_limit.m_burst);
  if (!IsLevelUsable(aBucket, aNow)) {
    // A request larger than the slice is granted when the slice is full.
    return aBucket.m_slice >= std::min(aTokens, burst * OwnShare());
  }
  if (aBucket.m_slice >= aTokens) {
    return true;
  }
  auto const capacity = burst * PoolShare();
  auto const expected = ExpectedGrants(aBucket, aNow);
  auto const largest = capacity * kLargestReserve;
  if (expected > largest) {
    // Where more is expected than can be kept back, only a part of the processes grants
    // in each round.
    auto const turns = static_cast<std::uint64_t>(std::ceil(expected / std::max(largest, 1.0)));
    if ((m_seed + m_lastSummary.Value()) % turns != 0) {
      return false;
    }
  }
  return aBucket.m_level >= std::min(aTokens + std::min(expected, largest), capacity);
}

base::Duration SharedAllowance::ReturnAfter(Bucket& aBucket, double aTokens,
                                            base::Instant aNow) const
{
  auto const isFresh = IsLevelUsable(aBucket, aNow);
  auto const share = isFresh ? PoolShare() : OwnShare();
  auto const rate = std::max(aBucket.m_limit.m_rate.Value() * share, 1.0);
  auto const capacity = ValueOf(aBucket.m_limit.m_burst) * share;
  auto const reserve =
    isFresh ? std::min(ExpectedGrants(aBucket, aNow), capacity * kLargestReserve) : 0;
  auto const level = isFresh ? aBucket.m_level : aBucket.m_slice;
  auto const missing = std::max(0.0, std::min(aTokens + reserve, capacity) - level);
  bool const isStarting = !m_hasSummary && m_startedAt && aNow - *m_startedAt < kStartTime;
  auto const wait =
    isStarting ? kJoiningTime : base::FromSeconds(std::min(missing / rate, 3'600.0));
  auto const soonest = aNow + wait;
  // The tokens that come are granted here in proportion to what is asked here.
  auto const here = AskedHere(aBucket, aNow);
  auto const byAll =
    isFresh ? std::max(here, aBucket.m_askedByAll * Decay(aNow - aBucket.m_askedByAllAt)) : here;
  auto const part = byAll > 0 ? std::clamp(here / byAll, 0.01, 1.0) : 1.0;
  auto const rateHere = isStarting ? std::max(aBucket.m_limit.m_rate.Value(), 1.0) : rate * part;
  auto const each = base::FromSeconds(std::min(aTokens / rateHere, 3'600.0));
  bool const isTooLate = aBucket.m_nextReturnAt > aNow + kLongestReturn;
  auto const returnAt = isTooLate ? soonest : std::max(soonest, aBucket.m_nextReturnAt);
  aBucket.m_nextReturnAt = returnAt + each;
  return returnAt - aNow;
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
  auto const tokens = ValueOf(aTokens);
  bucket.m_askedHere = bucket.m_askedHere * Decay(aNow - bucket.m_askedAt) + tokens;
  bucket.m_askedAt = aNow;
  bucket.m_lastUseAt = aNow;
  bucket.m_hasUnlistedUse = true;
  if (!IsGranted(bucket, tokens, aNow)) {
    return ReturnAfter(bucket, tokens, aNow);
  }
  bucket.m_isUsed = true;
  bucket.m_level -= tokens;
  bucket.m_slice -= tokens;
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
  bucket.m_level += ValueOf(aTokens);
  bucket.m_slice += ValueOf(aTokens);
  bucket.m_lastUseAt = std::max(bucket.m_lastUseAt, bucket.m_filledAt);
  bucket.m_hasUnlistedUse = true;
  m_granted[aWorkspace] -= aTokens;
}

void SharedAllowance::OnProcessCount(unsigned aProcesses)
{
  if (!m_hasSummary && aProcesses > 0) {
    m_fleet = std::max(m_fleet, aProcesses);
    m_isFleetKnown = true;
  }
}

void SharedAllowance::Tick(base::Instant aNow)
{
  for (auto& [workspace, bucket] : m_buckets) {
    Fill(bucket, aNow);
  }
}

base::Tokens SharedAllowance::GrantedOf(base::WorkspaceId const& aWorkspace) const
{
  auto const found = m_granted.find(aWorkspace);
  return found == m_granted.end() ? base::Tokens() : found->second;
}

bool SharedAllowance::IsListed(Bucket& aBucket, base::Instant aNow) const
{
  if (aBucket.m_limit.m_rate.Value() <= 0) {
    return false;
  }
  if (std::exchange(aBucket.m_hasUnlistedUse, false)) {
    aBucket.m_listedFirst = m_lastReport;
  }
  if (!m_isPooled && aBucket.m_isUsed) {
    return true;
  }
  bool const isRecent =
    aBucket.m_lastUseAt != base::Instant() && aNow - aBucket.m_lastUseAt <= kListedUse;
  auto const since = m_lastReport.Value() - aBucket.m_listedFirst.Value();
  return isRecent && (since < kRepeats || m_lastReport.Value() % kReportsPerList == 0);
}

AllowanceReport SharedAllowance::MakeReport(bool aIsNewPlanner, base::Instant aNow)
{
  Tick(aNow);
  m_lastReport = m_lastReport.Next();
  if (aIsNewPlanner) {
    m_isPooled = false;
    m_joiningReport = m_lastReport;
  }
  m_sentAt.emplace_back(m_lastReport, aNow);
  if (m_sentAt.size() > kSentReports) {
    m_sentAt.pop_front();
  }
  AllowanceReport report;
  report.m_number = m_lastReport;
  report.m_isJoining = !m_isPooled;
  report.m_age = m_startedAt ? std::max(base::Duration{}, aNow - *m_startedAt) : base::Duration{};
  report.m_fleet = m_isFleetKnown ? m_fleet : 0;
  std::vector<std::pair<double, base::WorkspaceId>> listed;
  for (auto& [workspace, bucket] : m_buckets) {
    if (IsListed(bucket, aNow)) {
      listed.emplace_back(bucket.m_slice / std::max(1.0, ValueOf(bucket.m_limit.m_burst)),
                          workspace);
    }
  }
  if (!m_isPooled && listed.size() > kLargestJoiningReport) {
    std::ranges::sort(listed);
    listed.resize(kLargestJoiningReport);
    report.m_isWhole = false;
  }
  for (auto const& [part, workspace] : listed) {
    auto const& bucket = m_buckets.at(workspace);
    report.m_grants[workspace] = {
      { ToReported(bucket.m_limit.m_rate), ToReported(bucket.m_limit.m_burst) },
      ToReported(GrantedOf(workspace)),
      ToReported(base::TokensPerSecond(std::round(AskedHere(bucket, aNow)))),
      m_isPooled ? base::Tokens() : ToReported(TokensOf(bucket.m_slice))
    };
  }
  return report;
}

void SharedAllowance::Adopt(Bucket& aBucket, PooledAllowance const& aPooled, base::Tokens aGranted,
                            base::Instant aNow)
{
  auto const before = aBucket.m_level;
  auto const since = ValueOf(aGranted - aPooled.m_ownGranted);
  auto const pooled = ValueOf(aPooled.m_level);
  aBucket.m_level = pooled - since;
  aBucket.m_slice = pooled / std::max(m_sharing, 1U) - since;
  aBucket.m_includedGranted = aPooled.m_ownGranted;
  aBucket.m_askedByAll = aPooled.m_asked.Value();
  aBucket.m_askedByAllAt = aNow;
  aBucket.m_isUsed = true;
  m_largestCorrection = std::max(m_largestCorrection, TokensOf(std::abs(before - aBucket.m_level)));
}

bool SharedAllowance::OnSummary(AllowanceSummary const& aSummary, base::IncarnationId const& aSelf,
                                base::Instant aNow)
{
  if (aSummary.m_epoch == m_epoch && aSummary.m_number <= m_lastSummary) {
    return false;
  }
  if (aSummary.m_included == AllowanceReportNumber() && m_isPooled) {
    // The planner has started anew, or has not heard of this process for a while.
    m_isPooled = false;
    m_joiningReport = m_lastReport.Next();
  }
  if (aSummary.m_receiver != aSelf ||
      aSummary.m_included < std::max(m_joiningReport, AllowanceReportNumber(1))) {
    return false;
  }
  Tick(aNow);
  m_epoch = aSummary.m_epoch;
  m_lastSummary = aSummary.m_number;
  m_fleet = std::max(aSummary.m_fleet, 1U);
  m_sharing = std::max(aSummary.m_sharing, 1U);
  m_isFleetKnown = true;
  m_hasSummary = true;
  m_isPooled = true;
  while (m_sentAt.size() > 1 && m_sentAt.front().first < aSummary.m_included) {
    m_sentAt.pop_front();
  }
  m_includedSentAt = m_sentAt.empty() ? aNow : m_sentAt.front().second;
  m_largestCorrection = {};
  // What an earlier run of this process left has stayed with the planner.
  if (m_startedAt && aSummary.m_filledFor > aNow - *m_startedAt) {
    m_startedAt = aNow - aSummary.m_filledFor;
  }
  for (auto& [workspace, bucket] : m_buckets) {
    auto const pooled = aSummary.m_pools.find(workspace);
    if (pooled != aSummary.m_pools.end()) {
      Adopt(bucket, pooled->second, GrantedOf(workspace), aNow);
    } else if (!bucket.m_isUsed) {
      // Nobody has used it; the others' slices are as full as this one.
      auto const filled = bucket.m_limit.m_rate.Value() * base::ToSeconds(aNow - *m_startedAt);
      bucket.m_slice =
        std::max(bucket.m_slice, std::min(ValueOf(bucket.m_limit.m_burst), filled) * OwnShare());
      bucket.m_level = bucket.m_slice * m_sharing;
    }
  }
  return true;
}

SharedAllowance::Status SharedAllowance::GrantStatusOf(base::WorkspaceId const& aWorkspace,
                                                       base::Instant aNow) const
{
  Status status;
  status.m_updateAge = UpdateAge(aNow);
  status.m_granted = GrantedOf(aWorkspace);
  auto const found = m_buckets.find(aWorkspace);
  if (found == m_buckets.end()) {
    return status;
  }
  auto const& bucket = found->second;
  status.m_share = IsLevelUsable(bucket, aNow) ? PoolShare() : OwnShare();
  status.m_level = TokensOf(bucket.m_level);
  status.m_slice = TokensOf(bucket.m_slice);
  status.m_reserve = TokensOf(IsFresh(aNow) ? ExpectedGrants(bucket, aNow) : 0);
  status.m_includedGranted = bucket.m_includedGranted;
  status.m_asked = base::TokensPerSecond(AskedHere(bucket, aNow));
  status.m_askedByAll =
    base::TokensPerSecond(bucket.m_askedByAll * Decay(aNow - bucket.m_askedByAllAt));
  return status;
}

} // namespace sardinefold::entry
