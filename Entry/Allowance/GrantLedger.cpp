#include "Entry/Allowance/GrantLedger.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace sardinefold::entry {

namespace {

/// A clock that steps credits no more than this.
constexpr base::Duration kLongestFill = std::chrono::seconds(1);
/// Buckets that were not used for this long are not listed.
constexpr base::Duration kListedUse = std::chrono::seconds(1);
/// A full bucket that nobody used for this long is forgotten.
constexpr base::Duration kPoolRetention = std::chrono::seconds(60);
/// A bucket is listed when its level differs by this part of its capacity from what
/// receivers expect of the last one listed.
constexpr double kListedChange = 0.05;
/// Buckets above this part of their capacity are otherwise listed once in so many
/// summaries.
constexpr double kAmpleLevel = 0.75;
constexpr std::uint64_t kSummariesPerAmpleList = 10;
/// Keeps a summary within one datagram.
constexpr std::size_t kLargestSummary = 400;
/// Time constant of the rate at which callers ask.
constexpr base::Duration kAskedTime = std::chrono::seconds(1);
/// Messages may be lost.
constexpr unsigned kWholeSummaries = 3;

} // namespace

double GrantLedger::Fleet() const
{
  bool const isClaimed = m_now - m_claimedAt <= m_limits.m_granterRetention;
  return static_cast<double>(std::max(
    { m_heard.size(), m_members.size(),
      isClaimed ? static_cast<std::size_t>(m_claimedFleet) : std::size_t(0), std::size_t(1) }));
}

double GrantLedger::Share() const
{
  return static_cast<double>(m_members.size()) / Fleet();
}

double GrantLedger::Capacity(Pool const& aPool) const
{
  return static_cast<double>(aPool.m_limit.m_burst.Value()) * Share();
}

double GrantLedger::UnlistedSlice(Member const& aMember, AllowanceLimit const& aLimit,
                                  base::Instant aNow) const
{
  auto const filled =
    aLimit.m_rate.Value() * std::max(0.0, base::ToSeconds(aNow - aMember.m_filledSince));
  return std::min(static_cast<double>(aLimit.m_burst.Value()), filled) / Fleet();
}

void GrantLedger::Fill(Pool& aPool, base::Instant aNow) const
{
  auto const elapsed = std::clamp(aNow - aPool.m_filledAt, base::Duration{}, kLongestFill);
  aPool.m_level = std::min(Capacity(aPool), aPool.m_level + aPool.m_limit.m_rate.Value() * Share() *
                                                              base::ToSeconds(elapsed));
  aPool.m_filledAt = aNow;
}

void GrantLedger::FillAll(base::Instant aNow)
{
  m_now = aNow;
  for (auto& [workspace, pool] : m_pools) {
    Fill(pool, aNow);
  }
}

bool GrantLedger::HasStopped(base::HostId const& aHost,
                             base::IncarnationId const& aIncarnation) const
{
  auto const stopped = m_stopped.find(aHost);
  return stopped != m_stopped.end() && stopped->second.m_incarnation == aIncarnation;
}

void GrantLedger::OnPresence(base::HostId const& aHost, base::IncarnationId const& aIncarnation,
                             base::Instant aNow)
{
  if (!HasStopped(aHost, aIncarnation)) {
    m_heard[aHost] = aNow;
  }
}

GrantLedger::Pool& GrantLedger::FindOrStart(base::WorkspaceId const& aWorkspace,
                                            ReportedGrants const& aGrants,
                                            base::CatalogVersion aCatalog, base::Instant aNow)
{
  auto const [found, isNew] = m_pools.try_emplace(aWorkspace);
  auto& pool = found->second;
  if (isNew || aCatalog >= pool.m_catalog) {
    pool.m_limit = aGrants.m_limit;
    pool.m_catalog = aCatalog;
  }
  if (isNew) {
    for (auto const& [host, member] : m_members) {
      pool.m_level += UnlistedSlice(member, pool.m_limit, aNow);
    }
    pool.m_filledAt = aNow;
  }
  pool.m_lastUseAt = aNow;
  return pool;
}

bool GrantLedger::IsJoined(base::HostId const& aHost, base::IncarnationId const& aIncarnation,
                           AllowanceReport const& aReport, base::Instant aNow)
{
  auto const found = m_joining.find(aHost);
  bool const isKnown = found != m_joining.end() && found->second.m_incarnation == aIncarnation;
  if (isKnown && aReport.m_number <= found->second.m_report.m_number) {
    return false;
  }
  if (!aReport.m_isJoining) {
    return isKnown;
  }
  m_joining[aHost] = { aIncarnation, aReport, aNow };
  return false;
}

/// Returns what the host's earlier run took with it, if this one followed it closely.
GrantLedger::Departed const* GrantLedger::FindRestarted(base::HostId const& aHost,
                                                        Joining const& aJoining) const
{
  auto const found = m_departed.find(aHost);
  if (found == m_departed.end()) {
    return nullptr;
  }
  auto const& member = found->second.m_member;
  auto const startedAt = aJoining.m_at - aJoining.m_report.m_age;
  bool const isSameRun = member.m_incarnation == aJoining.m_incarnation;
  return !isSameRun && startedAt - member.m_lastContactAt <= m_limits.m_restartTime ? &found->second
                                                                                    : nullptr;
}

/// Returns the part of a level that a joining gateway brings.
double GrantLedger::SliceOf(Joining const& aJoining, base::WorkspaceId const& aWorkspace,
                            ReportedGrants const& aGrants, Departed const* aRestarted) const
{
  auto const burst = static_cast<double>(aGrants.m_limit.m_burst.Value()) / Fleet();
  auto const refill = aGrants.m_limit.m_rate.Value() / Fleet() *
                      std::max(0.0, base::ToSeconds(m_now - aJoining.m_at));
  auto const brought = static_cast<double>(aGrants.m_slice.Value()) + refill;
  if (!aRestarted) {
    return std::min(burst, brought);
  }
  auto const& earlier = aRestarted->m_member;
  auto const level = aRestarted->m_levels.find(aWorkspace);
  auto const left = level == aRestarted->m_levels.end()
                      ? UnlistedSlice(earlier, aGrants.m_limit, earlier.m_lastContactAt)
                      : level->second;
  auto const counted = earlier.m_counted.find(aWorkspace);
  auto const asked = counted == earlier.m_counted.end() ? 0.0 : counted->second.m_asked.Value();
  auto const silence =
    base::ToSeconds(aJoining.m_at - aJoining.m_report.m_age - earlier.m_lastContactAt);
  auto const kept = left - std::min(std::max(left, 0.0), asked * std::max(silence, 0.0));
  return std::min(burst, brought + kept);
}

void GrantLedger::Join(base::HostId const& aHost, Joining const& aJoining, base::Instant aNow)
{
  FillAll(aNow);
  auto const& report = aJoining.m_report;
  auto const* const restarted = FindRestarted(aHost, aJoining);
  for (auto const& [workspace, grants] : report.m_grants) {
    FindOrStart(workspace, grants, report.m_catalog, aNow).m_level +=
      SliceOf(aJoining, workspace, grants, restarted);
  }
  auto& member = m_members[aHost];
  member.m_incarnation = aJoining.m_incarnation;
  member.m_filledSince =
    restarted ? restarted->m_member.m_filledSince : aJoining.m_at - report.m_age;
  member.m_isWhole = report.m_isWhole;
  member.m_wholeSummariesDue = kWholeSummaries;
  for (auto& [workspace, pool] : m_pools) {
    auto const listed = report.m_grants.find(workspace);
    if (listed != report.m_grants.end()) {
      member.m_counted[workspace].m_granted = listed->second.m_granted;
    } else {
      pool.m_level += restarted
                        ? SliceOf(aJoining, workspace, { pool.m_limit, {}, {}, {} }, restarted)
                        : UnlistedSlice(member, pool.m_limit, aNow);
    }
  }
  m_departed.erase(aHost);
}

void GrantLedger::Count(Member& aMember, AllowanceReport const& aReport, base::Instant aNow)
{
  for (auto const& [workspace, grants] : aReport.m_grants) {
    auto& pool = FindOrStart(workspace, grants, aReport.m_catalog, aNow);
    Fill(pool, aNow);
    auto const [found, isNew] = aMember.m_counted.try_emplace(workspace);
    auto& counted = found->second;
    if (isNew && !aMember.m_isWhole) {
      counted.m_granted = grants.m_granted;
    }
    pool.m_level -= static_cast<double>((grants.m_granted - counted.m_granted).Value());
    counted = { grants.m_granted, grants.m_asked, aNow };
  }
}

void GrantLedger::OnReport(base::HostId const& aHost, base::IncarnationId const& aIncarnation,
                           AllowanceReport const& aReport, base::Instant aNow)
{
  m_now = aNow;
  auto found = m_members.find(aHost);
  bool const isLate =
    found != m_members.end() &&
    (found->second.m_previous == aIncarnation || (found->second.m_incarnation == aIncarnation &&
                                                  aReport.m_number <= found->second.m_lastReport));
  if (isLate || HasStopped(aHost, aIncarnation)) {
    return;
  }
  m_stopped.erase(aHost);
  m_heard[aHost] = aNow;
  if (aReport.m_isLast) {
    m_heard.erase(aHost);
    m_stopped[aHost] = { aIncarnation, aNow };
    m_claimedFleet -= m_claimedFleet > 0 ? 1 : 0;
  }
  if (found == m_members.end()) {
    if (aReport.m_isJoining && aReport.m_fleet > 0) {
      bool const isClaimed = aNow - m_claimedAt <= m_limits.m_granterRetention;
      m_claimedFleet = std::max(aReport.m_fleet, isClaimed ? m_claimedFleet : 0U);
      m_claimedAt = aNow;
    }
    if (!IsJoined(aHost, aIncarnation, aReport, aNow)) {
      return;
    }
    Join(aHost, m_joining.at(aHost), aNow);
    m_joining.erase(aHost);
    found = m_members.find(aHost);
  }
  auto& member = found->second;
  if (member.m_incarnation != aIncarnation) {
    // Its part of each level has stayed here, and its totals begin anew.
    member.m_previous = member.m_incarnation;
    member.m_incarnation = aIncarnation;
    member.m_isWhole = true;
    member.m_wholeSummariesDue = kWholeSummaries;
    member.m_counted.clear();
  }
  Count(member, aReport, aNow);
  member.m_lastReport = aReport.m_number;
  member.m_lastContactAt = aNow;
  if (aReport.m_isLast) {
    m_members.erase(found);
  }
}

void GrantLedger::Advance(base::Instant aNow)
{
  FillAll(aNow);
  std::erase_if(
    m_heard, [&](auto const& aItem) { return aNow - aItem.second > m_limits.m_granterRetention; });
  std::erase_if(m_stopped, [&](auto const& aItem) {
    return aNow - aItem.second.m_at > m_limits.m_granterRetention;
  });
  auto staying = static_cast<double>(m_members.size());
  std::erase_if(m_members, [&](auto const& aItem) {
    if (aNow - aItem.second.m_lastContactAt <= m_limits.m_reportTimeout) {
      return false;
    }
    auto& departed = m_departed[aItem.first];
    departed = { aItem.second, {} };
    for (auto& [workspace, pool] : m_pools) {
      auto const part = pool.m_level / staying;
      departed.m_levels[workspace] = part;
      pool.m_level -= part;
    }
    staying -= 1;
    return true;
  });
  std::erase_if(m_departed, [&](auto const& aItem) {
    return aNow - aItem.second.m_member.m_lastContactAt > m_limits.m_granterRetention;
  });
  std::erase_if(m_joining, [&](auto const& aItem) {
    return aNow - aItem.second.m_at > m_limits.m_reportTimeout;
  });
  std::erase_if(m_pools, [&](auto const& aItem) {
    auto const& pool = aItem.second;
    return aNow - pool.m_lastUseAt > kPoolRetention && pool.m_level >= Capacity(pool);
  });
  for (auto& [workspace, pool] : m_pools) {
    pool.m_asked = {};
  }
  for (auto const& [host, member] : m_members) {
    for (auto const& [workspace, counted] : member.m_counted) {
      auto const pool = m_pools.find(workspace);
      if (pool != m_pools.end()) {
        auto const age = std::max(0.0, base::ToSeconds(aNow - counted.m_at));
        pool->second.m_asked += base::TokensPerSecond(counted.m_asked.Value() *
                                                      std::exp(-age / base::ToSeconds(kAskedTime)));
      }
    }
  }
  m_number = m_number.Next();
  FindEmptiest();
  for (auto& [workspace, pool] : m_pools) {
    ChooseListing(pool, aNow);
  }
}

void GrantLedger::FindEmptiest()
{
  std::vector<std::pair<double, Pool*>> byLevel;
  for (auto& [workspace, pool] : m_pools) {
    pool.m_isAmongEmptiest = true;
    byLevel.emplace_back(pool.m_level / std::max(1.0, Capacity(pool)), &pool);
  }
  if (byLevel.size() <= kLargestSummary) {
    return;
  }
  auto const end = byLevel.begin() + kLargestSummary;
  std::ranges::nth_element(byLevel, end, {}, &std::pair<double, Pool*>::first);
  for (auto other = end; other != byLevel.end(); ++other) {
    other->second->m_isAmongEmptiest = false;
  }
}

void GrantLedger::ChooseListing(Pool& aPool, base::Instant aNow) const
{
  auto const capacity = Capacity(aPool);
  auto const refill =
    aPool.m_limit.m_rate.Value() * Share() * base::ToSeconds(aNow - aPool.m_listedAt);
  auto const expected = std::min(capacity, aPool.m_listedLevel + refill);
  bool const isUsed = aNow - aPool.m_lastUseAt <= kListedUse;
  bool const hasMoved = std::abs(expected - aPool.m_level) > capacity * kListedChange;
  bool const isAmple = aPool.m_level > capacity * kAmpleLevel;
  bool const isTurn = m_number.Value() % kSummariesPerAmpleList == 0;
  aPool.m_isListed = aPool.m_isAmongEmptiest && (hasMoved || (isUsed && (!isAmple || isTurn)));
  if (aPool.m_isListed) {
    aPool.m_listedLevel = aPool.m_level;
    aPool.m_listedAt = aNow;
  }
}

AllowanceSummary GrantLedger::SummaryFor(base::HostId const& aHost, Joining const& aJoining) const
{
  auto const& report = aJoining.m_report;
  AllowanceSummary summary;
  summary.m_epoch = m_epoch;
  summary.m_number = m_number;
  summary.m_receiver = aJoining.m_incarnation;
  summary.m_included = report.m_number;
  summary.m_fleet = static_cast<unsigned>(Fleet());
  summary.m_sharing = static_cast<unsigned>(m_members.size()) + 1;
  auto const* const restarted = FindRestarted(aHost, aJoining);
  Member self;
  self.m_filledSince = restarted ? restarted->m_member.m_filledSince : aJoining.m_at - report.m_age;
  summary.m_filledFor = m_now - self.m_filledSince;
  for (auto const& [workspace, pool] : m_pools) {
    auto const listed = report.m_grants.find(workspace);
    if (!pool.m_isAmongEmptiest && listed == report.m_grants.end()) {
      continue;
    }
    bool const isListed = listed != report.m_grants.end();
    auto const own =
      isListed || restarted
        ? SliceOf(aJoining, workspace,
                  isListed ? listed->second : ReportedGrants{ pool.m_limit, {}, {}, {} }, restarted)
        : UnlistedSlice(self, pool.m_limit, m_now);
    summary.m_pools[workspace] = { base::Tokens(static_cast<std::int64_t>(pool.m_level + own)),
                                   pool.m_asked,
                                   isListed ? listed->second.m_granted : base::Tokens() };
  }
  for (auto const& [workspace, grants] : report.m_grants) {
    if (m_pools.contains(workspace)) {
      continue;
    }
    auto level = SliceOf(aJoining, workspace, grants, restarted);
    for (auto const& [host, member] : m_members) {
      level += UnlistedSlice(member, grants.m_limit, m_now);
    }
    summary.m_pools[workspace] = { base::Tokens(static_cast<std::int64_t>(level)), grants.m_asked,
                                   grants.m_granted };
  }
  return summary;
}

AllowanceSummary GrantLedger::SummaryFor(base::HostId const& aHost)
{
  AllowanceSummary summary;
  summary.m_epoch = m_epoch;
  summary.m_number = m_number;
  summary.m_fleet = static_cast<unsigned>(Fleet());
  summary.m_sharing = static_cast<unsigned>(m_members.size());
  auto const found = m_members.find(aHost);
  if (found == m_members.end()) {
    auto const joining = m_joining.find(aHost);
    return joining == m_joining.end() ? summary : SummaryFor(aHost, joining->second);
  }
  auto& member = found->second;
  summary.m_receiver = member.m_incarnation;
  summary.m_included = member.m_lastReport;
  summary.m_filledFor = m_now - member.m_filledSince;
  bool const isWhole = member.m_wholeSummariesDue > 0;
  member.m_wholeSummariesDue -= isWhole ? 1 : 0;
  for (auto const& [workspace, pool] : m_pools) {
    if (!pool.m_isListed && !(isWhole && pool.m_isAmongEmptiest)) {
      continue;
    }
    auto const counted = member.m_counted.find(workspace);
    summary.m_pools[workspace] = { base::Tokens(static_cast<std::int64_t>(pool.m_level)),
                                   pool.m_asked,
                                   counted == member.m_counted.end() ? base::Tokens()
                                                                     : counted->second.m_granted };
  }
  return summary;
}

} // namespace sardinefold::entry
