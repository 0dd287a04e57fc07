#pragma once

#include "Agent/SuspectPartRegistry.h"

#include <map>
#include <utility>
#include <vector>

namespace sardinefold::agent {

/// What the planner tells all gateways about prompt parts.
struct PartNews
{
  std::vector<PartCrashReport> m_crashes;
  std::vector<PartAcquittal> m_acquittals;
};

/// Collects the gateways' news on prompt parts at the planner and decides when
/// each is passed on: several times while it is new, and once a second for as
/// long as a gateway repeats it.
class PartNewsBoard
{
public:
  void OnReport(std::vector<PartCrashReport> const& aCrashes,
                std::vector<PartAcquittal> const& aAcquittals, base::Instant aNow);
  /// Returns the news that is due, and counts it as passed on.
  PartNews TakeDue(base::Instant aNow);
  /// Returns all crashes that gateways still report, for a gateway that has just
  /// started.
  std::vector<PartCrashReport> AllCrashes(base::Instant aNow) const;

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
  using CrashKey = std::pair<base::PromptPartId, base::UpstreamId>;

  void Expire(base::Instant aNow);
  /// Returns the reports of the given crashes, those of the parts with most
  /// crashes first, up to the maximum of one message.
  std::vector<PartCrashReport> Reports(std::vector<CrashKey> aKeys, base::Instant aNow) const;

  std::map<CrashKey, Crash> m_crashes;
  std::map<base::PromptPartId, Beginning> m_beginnings;
};

} // namespace sardinefold::agent
