#pragma once

#include "Agent/CrashRegistry.h"

#include <map>
#include <utility>
#include <vector>

namespace sardinefold::agent {

/// What the planner tells all gateways about what may crash upstreams.
template<typename Subject>
struct CrashNews
{
  std::vector<SubjectCrash<Subject>> m_crashes;
  std::vector<SubjectAcquittal<Subject>> m_acquittals;
};

/// Collects the gateways' news on what may crash upstreams at the planner and decides when
/// each is passed on: several times while it is new, and once a second for as
/// long as a gateway repeats it.
template<typename Subject>
class CrashNewsBoard
{
public:
  void OnReport(std::vector<SubjectCrash<Subject>> const& aCrashes,
                std::vector<SubjectAcquittal<Subject>> const& aAcquittals, base::Instant aNow);
  /// Returns the news that is due, and counts it as passed on.
  CrashNews<Subject> TakeDue(base::Instant aNow);
  /// Returns all crashes that gateways still report, for a gateway that has just
  /// started.
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

  void Expire(base::Instant aNow);
  /// Returns the reports of the given crashes, those of the subjects with most
  /// crashes first, up to the maximum of one message.
  std::vector<SubjectCrash<Subject>> Reports(std::vector<CrashKey> aKeys, base::Instant aNow) const;

  std::map<CrashKey, Crash> m_crashes;
  std::map<Subject, Beginning> m_beginnings;
};

extern template class CrashNewsBoard<base::PromptPartId>;

} // namespace sardinefold::agent
