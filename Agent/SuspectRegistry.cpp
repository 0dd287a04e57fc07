#include "Agent/SuspectRegistry.h"

#include <algorithm>
#include <iterator>

namespace sardinefold::agent {

namespace {

/// Reports of one crash that arrive by several paths differ in age by the
/// transit times. Within this window they count as the same crash; otherwise
/// they would be forwarded endlessly.
constexpr base::Duration kSameCrashWindow = std::chrono::seconds(30);

base::Instant LatestOf(std::map<base::UpstreamId, base::Instant> const& aCrashes)
{
  auto latest = aCrashes.begin()->second;
  for (auto const& [upstream, at] : aCrashes) {
    latest = std::max(latest, at);
  }
  return latest;
}

} // namespace

void SuspectRegistry::OnSent(base::FingerprintId const& aFingerprint,
                             base::UpstreamId const& aUpstream)
{
  m_inFlight[aUpstream].insert(aFingerprint);
}

void SuspectRegistry::OnEnded(base::FingerprintId const& aFingerprint,
                              base::UpstreamId const& aUpstream)
{
  auto const found = m_inFlight.find(aUpstream);
  if (found == m_inFlight.end()) {
    return;
  }
  auto const one = found->second.find(aFingerprint);
  if (one != found->second.end()) {
    found->second.erase(one);
  }
  if (found->second.empty()) {
    m_inFlight.erase(found);
  }
}

std::vector<CrashReport> SuspectRegistry::OnCrash(base::UpstreamId const& aUpstream,
                                                  base::Instant aNow)
{
  std::vector<CrashReport> reports;
  auto const found = m_inFlight.find(aUpstream);
  if (found == m_inFlight.end()) {
    return reports;
  }
  for (auto const& fingerprint : found->second) {
    if (RecordCrash(fingerprint, aUpstream, aNow)) {
      reports.push_back({ fingerprint, aUpstream, base::Duration::zero() });
    }
  }
  m_inFlight.erase(found);
  return reports;
}

void SuspectRegistry::OnResponse(base::UpstreamId const& aUpstream, base::Instant aSentAt)
{
  for (auto entry = m_crashes.begin(); entry != m_crashes.end();) {
    auto& crashes = entry->second;
    auto const crash = crashes.find(aUpstream);
    if (crash != crashes.end() && crash->second < aSentAt) {
      crashes.erase(crash);
    }
    entry = crashes.empty() ? m_crashes.erase(entry) : std::next(entry);
  }
}

bool SuspectRegistry::OnCrashReport(CrashReport const& aReport, base::Instant aNow)
{
  if (aReport.m_age >= m_limits.m_retention || aReport.m_age < base::Duration::zero()) {
    return false;
  }
  return RecordCrash(aReport.m_fingerprint, aReport.m_upstream, aNow - aReport.m_age);
}

bool SuspectRegistry::RecordCrash(base::FingerprintId const& aFingerprint,
                                  base::UpstreamId const& aUpstream, base::Instant aAt)
{
  auto const [position, isNew] = m_crashes[aFingerprint].try_emplace(aUpstream, aAt);
  if (!isNew && aAt - position->second < kSameCrashWindow) {
    return false;
  }
  position->second = aAt;
  if (m_crashes.size() > m_limits.m_maximum) {
    EvictOldest();
  }
  return true;
}

void SuspectRegistry::EvictOldest()
{
  auto const oldest =
    std::ranges::min_element(m_crashes, [](auto const& aLeft, auto const& aRight) {
      return LatestOf(aLeft.second) < LatestOf(aRight.second);
    });
  m_crashes.erase(oldest);
}

std::size_t SuspectRegistry::RecentCrashes(Crashes const& aCrashes, base::Instant aNow) const
{
  // Crashes count together if they lie within the retention period before the
  // latest.
  auto const since = LatestOf(aCrashes) - m_limits.m_retention;
  bool const isOver =
    aNow - LatestOf(aCrashes) >= std::max(m_limits.m_retention, m_limits.m_refusal);
  if (isOver) {
    return 0;
  }
  return static_cast<std::size_t>(
    std::ranges::count_if(aCrashes, [&](auto const& aCrash) { return aCrash.second > since; }));
}

std::optional<base::Duration> SuspectRegistry::RefusedFor(base::FingerprintId const& aFingerprint,
                                                          base::Instant aNow) const
{
  auto const found = m_crashes.find(aFingerprint);
  if (found == m_crashes.end() || RecentCrashes(found->second, aNow) < m_limits.m_upstreams) {
    return std::nullopt;
  }
  auto const left = LatestOf(found->second) + m_limits.m_refusal - aNow;
  if (left <= base::Duration::zero()) {
    return std::nullopt;
  }
  return left;
}

bool SuspectRegistry::IsSuspect(base::FingerprintId const& aFingerprint, base::Instant aNow) const
{
  auto const found = m_crashes.find(aFingerprint);
  return found != m_crashes.end() && RecentCrashes(found->second, aNow) > 0;
}

std::vector<CrashReport> SuspectRegistry::All(base::Instant aNow) const
{
  std::vector<CrashReport> all;
  for (auto const& [fingerprint, crashes] : m_crashes) {
    for (auto const& [upstream, at] : crashes) {
      if (aNow - at < m_limits.m_retention) {
        all.push_back({ fingerprint, upstream, aNow - at });
      }
    }
  }
  return all;
}

void SuspectRegistry::DiscardExpired(base::Instant aNow)
{
  std::erase_if(m_crashes,
                [&](auto const& aEntry) { return RecentCrashes(aEntry.second, aNow) == 0; });
}

} // namespace sardinefold::agent
