#include "Agent/Fleet/CrashNewsBoard.h"

#include <algorithm>
#include <iterator>

namespace sardinefold::agent {

namespace {

constexpr base::Duration kRepeatInterval = std::chrono::seconds(1);
/// Gateways repeat the crashes of suspected and refused subjects every five seconds.
constexpr base::Duration kReportTimeout = std::chrono::seconds(12);
/// Gateways report a beginning for half a second.
constexpr base::Duration kBeginningRetention = std::chrono::seconds(3);
/// Reports of one crash differ by their transit times. A later crash under the same
/// identity is one of a restarted upstream whose new start is not listed yet.
constexpr base::Duration kSameCrashWindow = std::chrono::seconds(30);

} // namespace

template<typename Subject>
void CrashNewsBoard<Subject>::OnReport(std::vector<SubjectCrash<Subject>> const& aCrashes,
                                       std::vector<SubjectAcquittal<Subject>> const& aAcquittals,
                                       base::Instant aNow)
{
  for (auto const& acquittal : aAcquittals) {
    if (m_beginnings.size() >= m_limits.m_maximumEntries &&
        !m_beginnings.contains(acquittal.m_subject)) {
      continue;
    }
    auto const at = aNow - acquittal.m_age;
    auto const [position, isNew] =
      m_beginnings.try_emplace(acquittal.m_subject, Beginning{ at, aNow });
    // Reports of one beginning differ by their transit times.
    constexpr base::Duration kTransitTime = std::chrono::milliseconds(50);
    if (!isNew && at > position->second.m_at + kTransitTime) {
      position->second.m_firstReportedAt = aNow;
    }
    position->second.m_at = std::max(position->second.m_at, at);
    // The crash must not be passed on after its acquittal.
    auto crash = m_crashes.lower_bound({ acquittal.m_subject, base::UpstreamId() });
    while (crash != m_crashes.end() && crash->first.first == acquittal.m_subject) {
      crash = crash->second.m_at <= at ? m_crashes.erase(crash) : std::next(crash);
    }
  }
  for (auto const& report : aCrashes) {
    OnCrash(report, aNow);
  }
}

template<typename Subject>
void CrashNewsBoard<Subject>::OnCrash(SubjectCrash<Subject> const& aReport, base::Instant aNow)
{
  auto const at = aNow - aReport.m_age;
  auto const begun = m_beginnings.find(aReport.m_subject);
  bool const isOutdated = begun != m_beginnings.end() && begun->second.m_at >= at;
  if (isOutdated || aReport.m_age >= m_limits.m_retention) {
    return;
  }
  CrashKey key{ aReport.m_subject, aReport.m_upstream };
  if (m_crashes.size() >= m_limits.m_maximumEntries && !m_crashes.contains(key)) {
    Evict(aNow);
  }
  Crash const crash{ at, aNow - aReport.m_sentAge, aNow, aNow, base::Instant{} };
  auto const [position, isNew] = m_crashes.try_emplace(std::move(key), crash);
  if (!isNew && at - position->second.m_at >= kSameCrashWindow) {
    position->second = crash;
  }
  position->second.m_lastReportedAt = aNow;
}

template<typename Subject>
void CrashNewsBoard<Subject>::Evict(base::Instant aNow)
{
  m_crashes.erase(std::ranges::min_element(m_crashes, {}, [&](auto const& aItem) {
    return std::pair(IsRepeated(aItem.second, aNow), aItem.second.m_at);
  }));
}

template<typename Subject>
bool CrashNewsBoard<Subject>::IsRepeated(Crash const& aCrash, base::Instant aNow)
{
  return aCrash.m_lastReportedAt - aCrash.m_firstReportedAt >= kRepeatInterval &&
         aNow - aCrash.m_lastReportedAt <= kReportTimeout;
}

template<typename Subject>
CrashNews<Subject> CrashNewsBoard<Subject>::TakeDue(base::Instant aNow)
{
  Expire(aNow);
  std::vector<CrashKey> due;
  for (auto const& [key, crash] : m_crashes) {
    bool const isNew = aNow - crash.m_firstReportedAt < m_limits.m_newTime;
    bool const wasPassedOn = crash.m_passedOnAt != base::Instant{};
    bool const isRepeatDue =
      IsRepeated(crash, aNow) && aNow - crash.m_passedOnAt >= kRepeatInterval;
    if (isNew || !wasPassedOn || isRepeatDue) {
      due.push_back(key);
    }
  }
  CrashNews<Subject> news;
  news.m_crashes = Reports(std::move(due), aNow);
  for (auto const& report : news.m_crashes) {
    m_crashes.at({ report.m_subject, report.m_upstream }).m_passedOnAt = aNow;
  }
  for (auto const& [subject, beginning] : m_beginnings) {
    if (aNow - beginning.m_firstReportedAt < m_limits.m_newTime &&
        news.m_acquittals.size() < m_limits.m_maximumReported) {
      news.m_acquittals.push_back({ subject, aNow - beginning.m_at });
    }
  }
  return news;
}

template<typename Subject>
std::vector<SubjectCrash<Subject>> CrashNewsBoard<Subject>::AllCrashes(base::Instant aNow) const
{
  std::vector<CrashKey> keys;
  for (auto const& [key, crash] : m_crashes) {
    keys.push_back(key);
  }
  return Reports(std::move(keys), aNow);
}

template<typename Subject>
std::vector<SubjectCrash<Subject>> CrashNewsBoard<Subject>::Reports(std::vector<CrashKey> aKeys,
                                                                    base::Instant aNow) const
{
  std::map<Subject, std::size_t> counts;
  for (auto const& [subject, upstream] : aKeys) {
    counts.try_emplace(subject, CountCrashes(subject));
  }
  std::ranges::stable_sort(aKeys, std::ranges::greater{},
                           [&](CrashKey const& aKey) { return counts[aKey.first]; });
  aKeys.resize(std::min(aKeys.size(), m_limits.m_maximumReported));
  std::vector<SubjectCrash<Subject>> reports;
  for (auto const& key : aKeys) {
    auto const& crash = m_crashes.at(key);
    reports.push_back({ key.first, key.second, aNow - crash.m_at, aNow - crash.m_sentAt });
  }
  return reports;
}

template<typename Subject>
std::size_t CrashNewsBoard<Subject>::CountCrashes(Subject const& aSubject) const
{
  std::size_t count = 0;
  for (auto crash = m_crashes.lower_bound({ aSubject, base::UpstreamId() });
       crash != m_crashes.end() && crash->first.first == aSubject; ++crash) {
    ++count;
  }
  return count;
}

template<typename Subject>
void CrashNewsBoard<Subject>::Expire(base::Instant aNow)
{
  std::erase_if(
    m_crashes, [&](auto const& aItem) { return aNow - aItem.second.m_at >= m_limits.m_retention; });
  std::erase_if(m_beginnings, [&](auto const& aItem) {
    return aNow - aItem.second.m_firstReportedAt > kBeginningRetention;
  });
}

template class CrashNewsBoard<base::FingerprintId>;
template class CrashNewsBoard<base::PromptPartId>;

} // namespace sardinefold::agent
