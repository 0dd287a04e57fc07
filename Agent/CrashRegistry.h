#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace sardinefold::agent {

struct CrashLimits
{
  /// Number of independent crashes from which a subject is suspected and refused.
  std::size_t m_suspicion = 2;
  std::size_t m_refusal = 3;
  /// Crashes at least this far apart are independent of each other, also if the
  /// attempts overlapped.
  base::Duration m_separation = std::chrono::milliseconds(500);
  /// A subject is refused for the first duration and a random share of the second.
  base::Duration m_refusalTime = std::chrono::minutes(2);
  base::Duration m_refusalJitter = std::chrono::minutes(2);
  /// A subject is forgotten this long after its latest crash.
  base::Duration m_retention = std::chrono::minutes(10);
  /// Upstreams need longer than the first duration to restart, and a request waits no
  /// longer than the second for its connection. An answer to one that was sent early
  /// enough after a closed connection shows that the upstream has not crashed.
  base::Duration m_minimumRestartTime = std::chrono::seconds(2);
  base::Duration m_connectTimeout = std::chrono::milliseconds(600);
  /// For how long news is reported to the other gateways, as messages may be
  /// lost.
  base::Duration m_reportTime = std::chrono::milliseconds(500);
  /// Maximum numbers of accused subjects, of crashes kept of each, of subjects
  /// whose latest beginning is known, and of entries in one report.
  std::size_t m_maximumSubjects = 4'000;
  std::size_t m_maximumCrashes = 8;
  std::size_t m_maximumBeginnings = 8'000;
  std::size_t m_maximumReported = 64;
  /// Maximum number of upstreams of which a refuted crash is remembered.
  std::size_t m_maximumRefuted = 1'000;

  /// The limits for requests as a whole, by their fingerprints.
  static CrashLimits ForRequests();
};

/// Report to other gateways that an upstream crashed before it began to answer
/// a request with this subject. Ages, since instants of two processes are not
/// comparable.
template<typename Subject>
struct SubjectCrash
{
  Subject m_subject;
  base::UpstreamId m_upstream;
  base::Duration m_age{};
  /// Time since the request was sent to the upstream.
  base::Duration m_sentAge{};
};

/// Report to other gateways that an upstream began to answer a request with
/// this subject.
template<typename Subject>
struct SubjectAcquittal
{
  Subject m_subject;
  base::Duration m_age{};
};

enum class SubjectState
{
  Sound,
  /// Runs, one request at a time.
  Suspected,
  Refused,
  /// The refusal has ended; otherwise as Suspected.
  HalfOpen
};
std::string_view ToText(SubjectState aState);

template<typename Subject>
struct SubjectStateChange
{
  Subject m_subject;
  SubjectState m_state;
  /// The upstreams whose crashes count against the subject.
  std::vector<base::UpstreamId> m_upstreams;
};

template<typename Subject>
struct SubjectRefusal
{
  Subject m_subject;
  base::Duration m_timeLeft{};
};

/// Detects what crashes the upstreams that begin to answer it. A subject is
/// what requests have in common: a part of their prompts, or the fingerprint of a
/// request that comes again. A crash accuses
/// all subjects of a request that it left without the beginning of an answer; the
/// beginning of an answer acquits the subjects of its request.
/// Crashes are independent if each attempt was sent after the crash before it:
/// upstreams that fail together, or connections that are reset together, count
/// once.
template<typename Subject>
class CrashRegistry
{
public:
  using Subjects = std::vector<Subject>;

  CrashRegistry(CrashLimits aLimits, std::uint64_t aSeed);

  /// Called when a request is sent, and when its answer begins or its attempt
  /// ends without one.
  void OnSent(Subjects const& aSubjects);
  void OnAnswered(Subjects const& aSubjects);
  /// Called when an upstream closes the connection of a request that was sent
  /// at aSentAt, before it began to answer.
  void OnCrash(Subjects const& aSubjects, base::UpstreamId const& aUpstream, base::Instant aSentAt,
               base::Instant aNow);
  /// Called when an upstream begins to answer a request that was sent at
  /// aSentAt.
  void OnBegun(Subjects const& aSubjects, base::UpstreamId const& aUpstream, base::Instant aSentAt,
               base::Instant aNow);
  /// Handles the reports of other gateways. Returns those of crashes that were not
  /// known.
  std::vector<SubjectCrash<Subject>> OnCrashReports(
    std::vector<SubjectCrash<Subject>> const& aReports, base::Instant aNow);
  void OnAcquittals(std::vector<SubjectAcquittal<Subject>> const& aAcquittals, base::Instant aNow);
  /// To be called several times a second.
  void Tick(base::Instant aNow);

  /// Returns the subject that is refused for the longest time, if any is.
  std::optional<SubjectRefusal<Subject>> FindRefused(Subjects const& aSubjects,
                                                     base::Instant aNow) const;
  /// Whether any of the subjects is suspected.
  bool IsSuspected(Subjects const& aSubjects, base::Instant aNow) const;
  /// Whether a request with these subjects may be sent now: no other request
  /// with a suspected subject may be unanswered beside it.
  bool MaySend(Subjects const& aSubjects, base::Instant aNow) const;

  /// Returns the recent crashes at this gateway and, if aWithSuspected, all
  /// crashes of suspected and refused subjects, also those at other gateways.
  std::vector<SubjectCrash<Subject>> CrashesToReport(bool aWithSuspected, base::Instant aNow) const;
  std::vector<SubjectAcquittal<Subject>> AcquittalsToReport(base::Instant aNow) const;
  /// Returns and clears the changes of state since the last call.
  std::vector<SubjectStateChange<Subject>> TakeChanges() { return std::exchange(m_changes, {}); }
  std::size_t CountRefused() const;
  std::size_t Size() const { return m_subjects.size(); }
  std::size_t CountBeginnings() const { return m_beginnings.size(); }

private:
  struct Crash
  {
    base::Instant m_sentAt{};
    base::Instant m_at{};
    /// Until when it is reported; in the past for crashes at other gateways.
    base::Instant m_reportUntil{};
  };
  /// What is known of an accused subject.
  struct Suspect
  {
    std::map<base::UpstreamId, Crash> m_crashes;
    /// Whether its crashes explain those of the other subjects.
    bool m_isConvicted = false;
    SubjectState m_state = SubjectState::Sound;
  };
  struct Beginning
  {
    base::Instant m_at{};
    typename std::list<Subject>::iterator m_position;
  };
  using SubjectTable = std::map<Subject, Suspect>;

  /// Returns whether the crash counts and was not known.
  bool Record(Subject const& aSubject, base::UpstreamId const& aUpstream, Crash const& aCrash);
  /// Whether the upstream had not crashed at that time.
  bool IsRefuted(base::UpstreamId const& aUpstream, base::Instant aAt) const;
  void Refute(base::UpstreamId const& aUpstream, base::Instant aAt);
  bool IsExplained(Subject const& aSubject, base::UpstreamId const& aUpstream,
                   base::Instant aAt) const;
  /// Whether the subject was there when the upstream crashed at that time. Upstreams
  /// that start again under their ids crash more than once under them.
  bool HasCrash(Suspect const& aSuspect, base::UpstreamId const& aUpstream,
                base::Instant aAt) const;
  /// Whether the crashes of a convicted subject explain those of another one, which
  /// stood beside it. One that has begun is the less suspicious of the two.
  bool Explains(Subject const& aConvict, Subject const& aOther) const;
  void Acquit(Subject const& aSubject, base::Instant aAt);
  void RememberBeginning(Subject const& aSubject, base::Instant aAt);
  void ScheduleAcquittal(Subject const& aSubject, base::Instant aNow);
  /// Convicts the subjects with enough crashes and updates the state of all.
  void Evaluate(base::Instant aNow);
  std::vector<typename SubjectTable::iterator> SubjectsToConvict();
  void Convict(std::vector<typename SubjectTable::iterator> const& aSubjects);
  void EvictSubject();
  /// Returns the upstreams of a greatest set of independent crashes.
  std::vector<base::UpstreamId> IndependentCrashes(Suspect const& aSuspect) const;
  /// Removes the oldest crash, if possible one that is not independent.
  void DropCrash(Suspect& aSuspect) const;
  static base::Instant LatestCrash(Suspect const& aSuspect);
  SubjectState StateOf(Suspect const& aSuspect, base::Instant aNow) const;
  bool IsSubjectSuspected(Subject const& aSubject, base::Instant aNow) const;

  CrashLimits m_limits;
  base::Duration m_refusalTime;
  SubjectTable m_subjects;
  /// The latest time at which an upstream seemed to crash and had not.
  std::map<base::UpstreamId, base::Instant> m_refutedCrashes;
  std::map<Subject, unsigned> m_unanswered;
  /// The least recently begun subject is at the front of m_beginningOrder.
  std::map<Subject, Beginning> m_beginnings;
  std::list<Subject> m_beginningOrder;
  /// Until when the latest beginning of a subject is reported.
  std::map<Subject, base::Instant> m_acquittals;
  std::vector<SubjectStateChange<Subject>> m_changes;
};

using RequestCrashReport = SubjectCrash<base::FingerprintId>;
using RequestAcquittal = SubjectAcquittal<base::FingerprintId>;
using PartCrashReport = SubjectCrash<base::PromptPartId>;
using PartAcquittal = SubjectAcquittal<base::PromptPartId>;

extern template class CrashRegistry<base::FingerprintId>;
extern template class CrashRegistry<base::PromptPartId>;

} // namespace sardinefold::agent
