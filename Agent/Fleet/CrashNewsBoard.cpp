#include "Agent/Fleet/CrashNewsBoard.h"

#include <algorithm>

namespace sardinefold::agent {

namespace {

/// For how long news is passed on with each summary.
constexpr base::Duration kNewTime = std::chrono::milliseconds(500);
constexpr base::Duration kRepeatInterval = std::chrono::seconds(1);
/// Gateways repeat the crashes of refused subjects once a second.
constexpr base::Duration kRetention = std::chrono::seconds(3);
constexpr std::size_t kMaximumEntries = 4'000;
/// Keeps a summary well below the size of a datagram.
constexpr std::size_t kMaximumReported = 128;

} // namespace

template<typename Subject>
void CrashNewsBoard<Subject>::OnReport(std::vector<SubjectCrash<Subject>> const& aCrashes,
                                       std::vector<SubjectAcquittal<Subject>> const& aAcquittals,
                                       base::Instant aNow)
{
  for (auto const& acquittal : aAcquittals) {
    if (m_beginnings.size() >= kMaximumEntries && !m_beginnings.contains(acquittal.m_subject)) {
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
    std::erase_if(m_crashes, [&](auto const& aItem) {
      return aItem.first.first == acquittal.m_subject && aItem.second.m_at <= at;
    });
  }
  for (auto const& report : aCrashes) {
    auto const at = aNow - report.m_age;
    auto const begun = m_beginnings.find(report.m_subject);
    CrashKey key{ report.m_subject, report.m_upstream };
    bool const isOutdated = begun != m_beginnings.end() && begun->second.m_at >= at;
    bool const isFull = m_crashes.size() >= kMaximumEntries && !m_crashes.contains(key);
    if (isOutdated || isFull) {
      continue;
    }
    Crash const crash{ at, aNow - report.m_sentAge, aNow, aNow, base::Instant{} };
    auto const [position, isNew] = m_crashes.try_emplace(std::move(key), crash);
    position->second.m_lastReportedAt = aNow;
  }
}

template<typename Subject>
CrashNews<Subject> CrashNewsBoard<Subject>::TakeDue(base::Instant aNow)
{
  Expire(aNow);
  std::vector<CrashKey> due;
  for (auto const& [key, crash] : m_crashes) {
    bool const isNew = aNow - crash.m_firstReportedAt < kNewTime;
    if (isNew || aNow - crash.m_passedOnAt >= kRepeatInterval) {
      due.push_back(key);
    }
  }
  CrashNews<Subject> news;
  news.m_crashes = Reports(std::move(due), aNow);
  for (auto const& report : news.m_crashes) {
    m_crashes.at({ report.m_subject, report.m_upstream }).m_passedOnAt = aNow;
  }
  for (auto const& [subject, beginning] : m_beginnings) {
    if (aNow - beginning.m_firstReportedAt < kNewTime &&
        news.m_acquittals.size() < kMaximumReported) {
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
  for (auto const& [key, crash] : m_crashes) {
    ++counts[key.first];
  }
  std::ranges::stable_sort(aKeys, std::ranges::greater{},
                           [&](CrashKey const& aKey) { return counts[aKey.first]; });
  aKeys.resize(std::min(aKeys.size(), kMaximumReported));
  std::vector<SubjectCrash<Subject>> reports;
  for (auto const& key : aKeys) {
    auto const& crash = m_crashes.at(key);
    reports.push_back({ key.first, key.second, aNow - crash.m_at, aNow - crash.m_sentAt });
  }
  return reports;
}

template<typename Subject>
void CrashNewsBoard<Subject>::Expire(base::Instant aNow)
{
  std::erase_if(m_crashes, [&](auto const& aItem) {
    return aNow - aItem.second.m_lastReportedAt > kRetention;
  });
  std::erase_if(m_beginnings, [&](auto const& aItem) {
    return aNow - aItem.second.m_firstReportedAt > kRetention;
  });
}

template class CrashNewsBoard<base::PromptPartId>;

} // namespace sardinefold::agent
