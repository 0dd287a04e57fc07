#include "Agent/CrashRegistry.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace sardinefold::agent {

namespace {

/// Reports of one crash differ by the transit times. A later crash under the same
/// identity is one of a restarted upstream whose new start is not listed yet.
constexpr base::Duration kSameCrashWindow = std::chrono::seconds(30);
/// By how much a crash that another gateway reports may seem later than it was.
constexpr base::Duration kMaximumTransitTime = std::chrono::milliseconds(500);

base::Duration RandomUpTo(base::Duration aMaximum, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  return base::Duration(
    std::uniform_int_distribution<base::Duration::rep>(0, aMaximum.count())(random));
}

} // namespace

CrashLimits CrashLimits::ForRequests()
{
  CrashLimits limits;
  limits.m_refusalTime = limits.m_retention;
  limits.m_refusalJitter = base::Duration::zero();
  // The crashes of two upstreams count, however close they are.
  limits.m_separation = base::Duration::zero();
  limits.m_maximumSubjects = 10'000;
  limits.m_maximumBeginnings = 2'000;
  // A crash of an upstream accuses all requests that it was running.
  limits.m_maximumReported = 200;
  return limits;
}

std::string_view ToText(SubjectState aState)
{
  switch (aState) {
    case SubjectState::Sound:
      return "acquitted";
    case SubjectState::Suspected:
      return "suspected";
    case SubjectState::Refused:
      return "refused";
    case SubjectState::HalfOpen:
      return "half open";
  }
  return "unknown";
}

template<typename Subject>
CrashRegistry<Subject>::CrashRegistry(CrashLimits aLimits, std::uint64_t aSeed)
  : m_limits(aLimits)
  , m_refusalTime(aLimits.m_refusalTime + RandomUpTo(aLimits.m_refusalJitter, aSeed))
{
}

template<typename Subject>
void CrashRegistry<Subject>::OnSent(Subjects const& aSubjects)
{
  for (auto const& subject : aSubjects) {
    ++m_unanswered[subject];
  }
}

template<typename Subject>
void CrashRegistry<Subject>::OnAnswered(Subjects const& aSubjects)
{
  for (auto const& subject : aSubjects) {
    auto const found = m_unanswered.find(subject);
    if (found != m_unanswered.end() && --found->second == 0) {
      m_unanswered.erase(found);
    }
  }
}

template<typename Subject>
void CrashRegistry<Subject>::OnCrash(Subjects const& aSubjects, base::UpstreamId const& aUpstream,
                                     base::Instant aSentAt, base::Instant aNow)
{
  for (auto const& subject : aSubjects) {
    Record(subject, aUpstream, { aSentAt, aNow, aNow + m_limits.m_reportTime });
  }
  Evaluate(aNow);
}

template<typename Subject>
std::vector<SubjectCrash<Subject>> CrashRegistry<Subject>::OnCrashReports(
  std::vector<SubjectCrash<Subject>> const& aReports, base::Instant aNow)
{
  std::vector<SubjectCrash<Subject>> unknown;
  for (auto const& report : aReports) {
    bool const isValid = report.m_age >= base::Duration::zero() &&
                         report.m_age < m_limits.m_retention && report.m_sentAge >= report.m_age &&
                         report.m_sentAge < 2 * m_limits.m_retention;
    if (!isValid) {
      continue;
    }
    if (m_beginnings.contains(report.m_subject)) {
      ScheduleAcquittal(report.m_subject, aNow);
    }
    if (Record(report.m_subject, report.m_upstream,
               { aNow - report.m_sentAge, aNow - report.m_age, base::Instant{} })) {
      unknown.push_back(report);
    }
  }
  Evaluate(aNow);
  return unknown;
}

template<typename Subject>
bool CrashRegistry<Subject>::Record(Subject const& aSubject, base::UpstreamId const& aUpstream,
                                    Crash const& aCrash)
{
  auto const begun = m_beginnings.find(aSubject);
  bool const isOutdated = begun != m_beginnings.end() && begun->second.m_at >= aCrash.m_at;
  if (isOutdated || IsRefuted(aUpstream, aCrash.m_at) ||
      IsExplained(aSubject, aUpstream, aCrash.m_at)) {
    return false;
  }
  if (!m_subjects.contains(aSubject) && m_subjects.size() >= m_limits.m_maximumSubjects) {
    EvictSubject();
  }
  auto& subject = m_subjects[aSubject];
  auto const [position, isNew] = subject.m_crashes.try_emplace(aUpstream, aCrash);
  auto& crash = position->second;
  bool const isLater = !isNew && aCrash.m_at - crash.m_at >= kSameCrashWindow;
  if (isLater) {
    crash = aCrash;
  } else if (!isNew) {
    // Both instants of a report are late by its transit time.
    auto const at = std::min(crash.m_at, aCrash.m_at);
    crash.m_sentAt =
      std::max(crash.m_sentAt - (crash.m_at - at), aCrash.m_sentAt - (aCrash.m_at - at));
    crash.m_at = at;
    crash.m_reportUntil = std::max(crash.m_reportUntil, aCrash.m_reportUntil);
  }
  if (subject.m_crashes.size() > m_limits.m_maximumCrashes) {
    DropCrash(subject);
  }
  // The crashes of a convicted subject explain those of the subjects beside it.
  if (subject.m_isConvicted) {
    Convict({ m_subjects.find(aSubject) });
  }
  return isNew || isLater;
}

template<typename Subject>
bool CrashRegistry<Subject>::IsRefuted(base::UpstreamId const& aUpstream, base::Instant aAt) const
{
  auto const refuted = m_refutedCrashes.find(aUpstream);
  return refuted != m_refutedCrashes.end() && aAt <= refuted->second + kMaximumTransitTime;
}

template<typename Subject>
bool CrashRegistry<Subject>::IsExplained(Subject const& aSubject, base::UpstreamId const& aUpstream,
                                         base::Instant aAt) const
{
  return std::ranges::any_of(m_subjects, [&](auto const& aItem) {
    return aItem.second.m_isConvicted && aItem.first != aSubject &&
           HasCrash(aItem.second, aUpstream, aAt) && Explains(aItem.first, aSubject);
  });
}

template<typename Subject>
bool CrashRegistry<Subject>::HasCrash(Suspect const& aSuspect, base::UpstreamId const& aUpstream,
                                      base::Instant aAt) const
{
  auto const crash = aSuspect.m_crashes.find(aUpstream);
  return crash != aSuspect.m_crashes.end() &&
         std::chrono::abs(aAt - crash->second.m_at) < m_limits.m_minimumRestartTime;
}

template<typename Subject>
bool CrashRegistry<Subject>::Explains(Subject const& aConvict, Subject const& aOther) const
{
  bool const hasConvictBegun = m_beginnings.contains(aConvict);
  bool const hasOtherBegun = m_beginnings.contains(aOther);
  if (hasConvictBegun != hasOtherBegun) {
    return hasOtherBegun;
  }
  auto const other = m_subjects.find(aOther);
  return other == m_subjects.end() || !other->second.m_isConvicted;
}

template<typename Subject>
void CrashRegistry<Subject>::OnBegun(Subjects const& aSubjects, base::UpstreamId const& aUpstream,
                                     base::Instant aSentAt, base::Instant aNow)
{
  for (auto const& subject : aSubjects) {
    if (m_subjects.contains(subject)) {
      ScheduleAcquittal(subject, aNow);
    }
    Acquit(subject, aNow);
  }
  for (auto& [id, subject] : m_subjects) {
    // The upstream answers a request sent soon after, so only the connection had failed.
    auto const crash = subject.m_crashes.find(aUpstream);
    bool const isRefuted =
      crash != subject.m_crashes.end() && crash->second.m_at < aSentAt &&
      aSentAt + m_limits.m_connectTimeout < crash->second.m_at + m_limits.m_minimumRestartTime;
    if (isRefuted) {
      Refute(aUpstream, crash->second.m_at);
      subject.m_crashes.erase(crash);
    }
  }
  Evaluate(aNow);
}

template<typename Subject>
void CrashRegistry<Subject>::Refute(base::UpstreamId const& aUpstream, base::Instant aAt)
{
  bool const isFull = m_refutedCrashes.size() >= m_limits.m_maximumRefuted;
  if (isFull && !m_refutedCrashes.contains(aUpstream)) {
    m_refutedCrashes.erase(std::ranges::min_element(
      m_refutedCrashes, {}, [](auto const& aItem) { return aItem.second; }));
  }
  auto& refuted = m_refutedCrashes[aUpstream];
  refuted = std::max(refuted, aAt);
}

template<typename Subject>
void CrashRegistry<Subject>::OnAcquittals(std::vector<SubjectAcquittal<Subject>> const& aAcquittals,
                                          base::Instant aNow)
{
  for (auto const& acquittal : aAcquittals) {
    bool const isValid =
      acquittal.m_age >= base::Duration::zero() && acquittal.m_age < m_limits.m_retention;
    if (isValid) {
      Acquit(acquittal.m_subject, aNow - acquittal.m_age);
    }
  }
  Evaluate(aNow);
}

template<typename Subject>
void CrashRegistry<Subject>::Acquit(Subject const& aSubject, base::Instant aAt)
{
  RememberBeginning(aSubject, aAt);
  auto const found = m_subjects.find(aSubject);
  if (found != m_subjects.end()) {
    std::erase_if(found->second.m_crashes,
                  [&](auto const& aItem) { return aItem.second.m_at <= aAt; });
  }
}

template<typename Subject>
void CrashRegistry<Subject>::RememberBeginning(Subject const& aSubject, base::Instant aAt)
{
  auto const found = m_beginnings.find(aSubject);
  if (found != m_beginnings.end()) {
    found->second.m_at = std::max(found->second.m_at, aAt);
    m_beginningOrder.splice(m_beginningOrder.end(), m_beginningOrder, found->second.m_position);
    return;
  }
  if (m_beginnings.size() >= m_limits.m_maximumBeginnings) {
    m_beginnings.erase(m_beginningOrder.front());
    m_beginningOrder.pop_front();
  }
  m_beginningOrder.push_back(aSubject);
  m_beginnings.emplace(aSubject, Beginning{ aAt, std::prev(m_beginningOrder.end()) });
}

template<typename Subject>
void CrashRegistry<Subject>::ScheduleAcquittal(Subject const& aSubject, base::Instant aNow)
{
  if (m_acquittals.size() < m_limits.m_maximumReported || m_acquittals.contains(aSubject)) {
    m_acquittals[aSubject] = aNow + m_limits.m_reportTime;
  }
}

template<typename Subject>
void CrashRegistry<Subject>::Tick(base::Instant aNow)
{
  std::erase_if(m_subjects, [&](auto const& aItem) {
    return !aItem.second.m_crashes.empty() &&
           aNow - LatestCrash(aItem.second) >= m_limits.m_retention;
  });
  std::erase_if(m_acquittals, [&](auto const& aItem) { return aItem.second < aNow; });
  std::erase_if(m_refutedCrashes,
                [&](auto const& aItem) { return aNow - aItem.second >= m_limits.m_retention; });
  Evaluate(aNow);
}

template<typename Subject>
void CrashRegistry<Subject>::Evaluate(base::Instant aNow)
{
  if (m_subjects.empty()) {
    return;
  }
  for (auto subjects = SubjectsToConvict(); !subjects.empty(); subjects = SubjectsToConvict()) {
    Convict(subjects);
  }
  for (auto& [id, subject] : m_subjects) {
    subject.m_isConvicted =
      subject.m_isConvicted && IndependentCrashes(subject).size() >= m_limits.m_refusal;
    auto const state = StateOf(subject, aNow);
    if (std::exchange(subject.m_state, state) == state) {
      continue;
    }
    SubjectStateChange<Subject> change{ id, state, {} };
    for (auto const& [upstream, crash] : subject.m_crashes) {
      change.m_upstreams.push_back(upstream);
    }
    m_changes.push_back(std::move(change));
  }
  std::erase_if(m_subjects, [](auto const& aItem) { return aItem.second.m_crashes.empty(); });
}

template<typename Subject>
std::vector<typename CrashRegistry<Subject>::SubjectTable::iterator>
CrashRegistry<Subject>::SubjectsToConvict()
{
  // Parts that stand side by side have the same crashes. One that has never begun
  // explains them rather than one that has.
  using Rank = std::pair<bool, std::size_t>;
  std::vector<typename SubjectTable::iterator> subjects;
  Rank best{};
  for (auto item = m_subjects.begin(); item != m_subjects.end(); ++item) {
    if (item->second.m_isConvicted || item->second.m_crashes.size() < m_limits.m_refusal) {
      continue;
    }
    auto const crashes = IndependentCrashes(item->second).size();
    if (crashes < m_limits.m_refusal) {
      continue;
    }
    Rank const rank{ !m_beginnings.contains(item->first), crashes };
    if (rank > best) {
      best = rank;
      subjects.clear();
    }
    if (rank == best) {
      subjects.push_back(item);
    }
  }
  return subjects;
}

template<typename Subject>
void CrashRegistry<Subject>::Convict(std::vector<typename SubjectTable::iterator> const& aSubjects)
{
  for (auto const& item : aSubjects) {
    item->second.m_isConvicted = true;
  }
  for (auto& [id, other] : m_subjects) {
    for (auto const& item : aSubjects) {
      if (item->first == id || !Explains(item->first, id)) {
        continue;
      }
      std::erase_if(other.m_crashes, [&](auto const& aCrash) {
        return HasCrash(item->second, aCrash.first, aCrash.second.m_at);
      });
    }
  }
}

template<typename Subject>
void CrashRegistry<Subject>::EvictSubject()
{
  auto const least = std::ranges::min_element(m_subjects, {}, [](auto const& aItem) {
    return std::pair(aItem.second.m_crashes.size(), LatestCrash(aItem.second));
  });
  m_subjects.erase(least);
}

template<typename Subject>
std::vector<base::UpstreamId> CrashRegistry<Subject>::IndependentCrashes(
  Suspect const& aSuspect) const
{
  std::vector<std::pair<base::UpstreamId, Crash>> crashes(aSuspect.m_crashes.begin(),
                                                          aSuspect.m_crashes.end());
  std::ranges::sort(crashes, {}, [](auto const& aItem) { return aItem.second.m_at; });
  std::vector<base::UpstreamId> independent;
  base::Instant last{};
  for (auto const& [upstream, crash] : crashes) {
    if (independent.empty() || crash.m_sentAt >= last ||
        crash.m_at - last >= m_limits.m_separation) {
      independent.push_back(upstream);
      last = crash.m_at;
    }
  }
  return independent;
}

template<typename Subject>
void CrashRegistry<Subject>::DropCrash(Suspect& aSuspect) const
{
  auto const independent = IndependentCrashes(aSuspect);
  bool const areAll = independent.size() == aSuspect.m_crashes.size();
  auto const rank = [&](auto const& aItem) {
    bool const isKept = !areAll && std::ranges::find(independent, aItem.first) != independent.end();
    return std::pair(isKept, aItem.second.m_at);
  };
  aSuspect.m_crashes.erase(std::ranges::min_element(aSuspect.m_crashes, {}, rank));
}

template<typename Subject>
base::Instant CrashRegistry<Subject>::LatestCrash(Suspect const& aSuspect)
{
  base::Instant latest{};
  for (auto const& [upstream, crash] : aSuspect.m_crashes) {
    latest = std::max(latest, crash.m_at);
  }
  return latest;
}

template<typename Subject>
SubjectState CrashRegistry<Subject>::StateOf(Suspect const& aSuspect, base::Instant aNow) const
{
  if (aSuspect.m_crashes.size() < m_limits.m_suspicion) {
    return SubjectState::Sound;
  }
  auto const crashes = IndependentCrashes(aSuspect).size();
  if (crashes < m_limits.m_suspicion) {
    return SubjectState::Sound;
  }
  if (crashes < m_limits.m_refusal) {
    return SubjectState::Suspected;
  }
  return aNow < LatestCrash(aSuspect) + m_refusalTime ? SubjectState::Refused
                                                      : SubjectState::HalfOpen;
}

template<typename Subject>
std::optional<SubjectRefusal<Subject>> CrashRegistry<Subject>::FindRefused(
  Subjects const& aSubjects, base::Instant aNow) const
{
  std::optional<SubjectRefusal<Subject>> longest;
  for (auto const& id : aSubjects) {
    auto const found = m_subjects.find(id);
    if (found == m_subjects.end() || StateOf(found->second, aNow) != SubjectState::Refused) {
      continue;
    }
    auto const left = LatestCrash(found->second) + m_refusalTime - aNow;
    if (!longest || left > longest->m_timeLeft) {
      longest = SubjectRefusal<Subject>{ id, left };
    }
  }
  return longest;
}

template<typename Subject>
bool CrashRegistry<Subject>::IsSubjectSuspected(Subject const& aSubject, base::Instant aNow) const
{
  auto const found = m_subjects.find(aSubject);
  if (found == m_subjects.end()) {
    return false;
  }
  auto const state = StateOf(found->second, aNow);
  return state == SubjectState::Suspected || state == SubjectState::HalfOpen;
}

template<typename Subject>
bool CrashRegistry<Subject>::IsSuspected(Subjects const& aSubjects, base::Instant aNow) const
{
  return std::ranges::any_of(
    aSubjects, [&](auto const& aSubject) { return IsSubjectSuspected(aSubject, aNow); });
}

template<typename Subject>
bool CrashRegistry<Subject>::MaySend(Subjects const& aSubjects, base::Instant aNow) const
{
  if (!IsSuspected(aSubjects, aNow)) {
    return true;
  }
  return std::ranges::none_of(m_subjects, [&](auto const& aItem) {
    return m_unanswered.contains(aItem.first) && IsSubjectSuspected(aItem.first, aNow);
  });
}

template<typename Subject>
std::vector<SubjectCrash<Subject>> CrashRegistry<Subject>::CrashesToReport(bool aWithSuspected,
                                                                           base::Instant aNow) const
{
  std::vector<typename SubjectTable::const_iterator> items;
  for (auto item = m_subjects.begin(); item != m_subjects.end(); ++item) {
    items.push_back(item);
  }
  std::ranges::stable_sort(items, std::ranges::greater{},
                           [](auto const& aItem) { return aItem->second.m_crashes.size(); });
  std::vector<SubjectCrash<Subject>> reports;
  for (auto const& item : items) {
    bool const isComplete = aWithSuspected && item->second.m_state != SubjectState::Sound;
    for (auto const& [upstream, crash] : item->second.m_crashes) {
      if ((isComplete || aNow < crash.m_reportUntil) &&
          reports.size() < m_limits.m_maximumReported) {
        reports.push_back({ item->first, upstream, aNow - crash.m_at, aNow - crash.m_sentAt });
      }
    }
  }
  return reports;
}

template<typename Subject>
std::vector<SubjectAcquittal<Subject>> CrashRegistry<Subject>::AcquittalsToReport(
  base::Instant aNow) const
{
  std::vector<SubjectAcquittal<Subject>> acquittals;
  for (auto const& [subject, until] : m_acquittals) {
    auto const begun = m_beginnings.find(subject);
    if (aNow < until && begun != m_beginnings.end()) {
      acquittals.push_back({ subject, aNow - begun->second.m_at });
    }
  }
  return acquittals;
}

template<typename Subject>
std::size_t CrashRegistry<Subject>::CountRefused() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    m_subjects, [](auto const& aItem) { return aItem.second.m_state == SubjectState::Refused; }));
}

template class CrashRegistry<base::FingerprintId>;
template class CrashRegistry<base::PromptPartId>;

} // namespace sardinefold::agent
