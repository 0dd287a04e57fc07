#pragma once

#include "Agent/CrashRegistry.h"

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace sardinefold::agent {

struct CrashNewsLimits
{
  /// For how long news is passed on with each summary, as messages may be lost.
  base::Duration m_newTime = std::chrono::milliseconds(500);
  /// For how long after a crash gateways that start are told of it.
  base::Duration m_retention = CrashLimits().m_retention;
  /// Maximum number of crashes kept, and of subjects whose latest beginning is.
  std::size_t m_maximumEntries = 4'000;
  /// Maximum number of crashes in one message, which keeps it well below the size
  /// of a datagram; the others follow in the next one.
  std::size_t m_maximumReported = 128;
};

/// What the planner tells all gateways about what may crash upstreams.
template<typename Subject>
struct CrashNews
{
  std::vector<SubjectCrash<Subject>> m_crashes;
  std::vector<SubjectAcquittal<Subject>> m_acquittals;
};

/// Collects the gateways' news on what may crash upstreams at the planner and decides
/// when each is passed on: several times while it is new, and once a second for as
/// long as a gateway repeats it. Gateways that start are told of all crashes that
/// still count, as nobody would report them again.
template<typename Subject>
class CrashNewsBoard
{
public:
  explicit CrashNewsBoard(CrashNewsLimits aLimits = {})
    : m_limits(aLimits)
  {
  }

  void OnReport(std::vector<SubjectCrash<Subject>> const& aCrashes,
                std::vector<SubjectAcquittal<Subject>> const& aAcquittals, base::Instant aNow);
  /// Returns the news that is due, and counts it as passed on.
  CrashNews<Subject> TakeDue(base::Instant aNow);
  /// Returns the crashes that still count, for a gateway that has just started.
  std::vector<SubjectCrash<Subject>> AllCrashes(base::Instant aNow) const;

private:
  struct Crash
  {
    base::Instant m_at{};
    base::Instant m_sentAt{};
    base::Instant m_firstReportedAt{};
    base::Instant m_lastReportedAt{};
    base::Instant m_passedOnAt{};
  };
  struct Beginning
  {
    base::Instant m_at{};
    base::Instant m_firstReportedAt{};
  };
  using CrashKey = std::pair<Subject, base::UpstreamId>;

  void OnCrash(SubjectCrash<Subject> const& aReport, base::Instant aNow);
  /// Whether a gateway reports the crash again and again.
  static bool IsRepeated(Crash const& aCrash, base::Instant aNow);
  /// Removes the oldest crash, if possible one that nobody repeats.
  void Evict(base::Instant aNow);
  void Expire(base::Instant aNow);
  std::size_t CountCrashes(Subject const& aSubject) const;
  /// Returns the reports of the given crashes, those of the subjects with most
  /// crashes first, up to the maximum of one message.
  std::vector<SubjectCrash<Subject>> Reports(std::vector<CrashKey> aKeys, base::Instant aNow) const;

  CrashNewsLimits m_limits;
  std::map<CrashKey, Crash> m_crashes;
  std::map<Subject, Beginning> m_beginnings;
};

extern template class CrashNewsBoard<base::FingerprintId>;
extern template class CrashNewsBoard<base::PromptPartId>;

} // namespace sardinefold::agent
