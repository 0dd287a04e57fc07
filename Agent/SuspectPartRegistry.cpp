#include "Agent/SuspectPartRegistry.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace sardinefold::agent {

namespace {

/// Reports of one crash differ by the transit times. A later crash under the same
/// identity is one of a restarted upstream whose new start is not listed yet.
constexpr base::Duration kSameCrashWindow = std::chrono::seconds(30);
/// Upstreams need longer than this to restart, so that an answer to a request sent
/// within this time after a closed connection shows that the upstream has not crashed.
constexpr base::Duration kMinimumRestartTime = std::chrono::seconds(2);
/// By how much a crash that another gateway reports may seem later than it was.
constexpr base::Duration kMaximumTransitTime = std::chrono::milliseconds(500);

base::Duration RandomUpTo(base::Duration aMaximum, std::uint64_t aSeed)
{
  std::mt19937_64 random(aSeed);
  return base::Duration(
    std::uniform_int_distribution<base::Duration::rep>(0, aMaximum.count())(random));
}

} // namespace

std::string_view ToText(PartState aState)
{
  switch (aState) {
    case PartState::Sound:
      return "acquitted";
    case PartState::Suspected:
      return "suspected";
    case PartState::Refused:
      return "refused";
    case PartState::HalfOpen:
      return "half open";
  }
  return "unknown";
}

SuspectPartRegistry::SuspectPartRegistry(SuspectPartLimits aLimits, std::uint64_t aSeed)
  : m_limits(aLimits)
  , m_refusalTime(aLimits.m_refusalTime + RandomUpTo(aLimits.m_refusalJitter, aSeed))
{
}

void SuspectPartRegistry::OnSent(Parts const& aParts)
{
  for (auto const& part : aParts) {
    ++m_unanswered[part];
  }
}

void SuspectPartRegistry::OnAnswered(Parts const& aParts)
{
  for (auto const& part : aParts) {
    auto const found = m_unanswered.find(part);
    if (found != m_unanswered.end() && --found->second == 0) {
      m_unanswered.erase(found);
    }
  }
}

void SuspectPartRegistry::OnCrash(Parts const& aParts, base::UpstreamId const& aUpstream,
                                  base::Instant aSentAt, base::Instant aNow)
{
  for (auto const& part : aParts) {
    Record(part, aUpstream, { aSentAt, aNow, aNow + m_limits.m_reportTime });
  }
  Evaluate(aNow);
}

void SuspectPartRegistry::OnCrashReports(std::vector<PartCrashReport> const& aReports,
                                         base::Instant aNow)
{
  for (auto const& report : aReports) {
    bool const isValid = report.m_age >= base::Duration::zero() &&
                         report.m_age < m_limits.m_retention && report.m_sentAge >= report.m_age &&
                         report.m_sentAge < 2 * m_limits.m_retention;
    if (!isValid) {
      continue;
    }
    if (m_beginnings.contains(report.m_part)) {
      ScheduleAcquittal(report.m_part, aNow);
    }
    Record(report.m_part, report.m_upstream,
           { aNow - report.m_sentAge, aNow - report.m_age, base::Instant{} });
  }
  Evaluate(aNow);
}

void SuspectPartRegistry::Record(base::PromptPartId const& aPart, base::UpstreamId const& aUpstream,
                                 Crash const& aCrash)
{
  auto const begun = m_beginnings.find(aPart);
  bool const isOutdated = begun != m_beginnings.end() && begun->second.m_at >= aCrash.m_at;
  if (isOutdated || IsRefuted(aUpstream, aCrash.m_at) || IsExplained(aPart, aUpstream)) {
    return;
  }
  if (!m_parts.contains(aPart) && m_parts.size() >= m_limits.m_maximumParts) {
    EvictPart();
  }
  auto& part = m_parts[aPart];
  auto const [position, isNew] = part.m_crashes.try_emplace(aUpstream, aCrash);
  auto& crash = position->second;
  if (!isNew && aCrash.m_at - crash.m_at >= kSameCrashWindow) {
    crash = aCrash;
  } else if (!isNew) {
    // Both instants of a report are late by its transit time.
    auto const at = std::min(crash.m_at, aCrash.m_at);
    crash.m_sentAt =
      std::max(crash.m_sentAt - (crash.m_at - at), aCrash.m_sentAt - (aCrash.m_at - at));
    crash.m_at = at;
    crash.m_reportUntil = std::max(crash.m_reportUntil, aCrash.m_reportUntil);
  }
  if (part.m_crashes.size() > m_limits.m_maximumCrashes) {
    DropCrash(part);
  }
  // The crashes of a convicted part explain those of the parts beside it.
  if (part.m_isConvicted) {
    Convict({ m_parts.find(aPart) });
  }
}

bool SuspectPartRegistry::IsRefuted(base::UpstreamId const& aUpstream, base::Instant aAt) const
{
  auto const refuted = m_refutedCrashes.find(aUpstream);
  return refuted != m_refutedCrashes.end() && aAt <= refuted->second + kMaximumTransitTime;
}

bool SuspectPartRegistry::IsExplained(base::PromptPartId const& aPart,
                                      base::UpstreamId const& aUpstream) const
{
  auto const own = m_parts.find(aPart);
  if (own != m_parts.end() && own->second.m_isConvicted) {
    return false;
  }
  return std::ranges::any_of(m_parts, [&](auto const& aItem) {
    return aItem.second.m_isConvicted && aItem.second.m_crashes.contains(aUpstream);
  });
}

void SuspectPartRegistry::OnBegun(Parts const& aParts, base::UpstreamId const& aUpstream,
                                  base::Instant aSentAt, base::Instant aNow)
{
  for (auto const& part : aParts) {
    if (m_parts.contains(part)) {
      ScheduleAcquittal(part, aNow);
    }
    Acquit(part, aNow);
  }
  for (auto& [id, part] : m_parts) {
    // The upstream answers a request sent soon after, so only the connection had failed.
    auto const crash = part.m_crashes.find(aUpstream);
    bool const isRefuted = crash != part.m_crashes.end() && crash->second.m_at < aSentAt &&
                           aSentAt < crash->second.m_at + kMinimumRestartTime;
    if (isRefuted) {
      Refute(aUpstream, crash->second.m_at);
      part.m_crashes.erase(crash);
    }
  }
  Evaluate(aNow);
}

void SuspectPartRegistry::Refute(base::UpstreamId const& aUpstream, base::Instant aAt)
{
  bool const isFull = m_refutedCrashes.size() >= m_limits.m_maximumRefuted;
  if (isFull && !m_refutedCrashes.contains(aUpstream)) {
    m_refutedCrashes.erase(std::ranges::min_element(
      m_refutedCrashes, {}, [](auto const& aItem) { return aItem.second; }));
  }
  auto& refuted = m_refutedCrashes[aUpstream];
  refuted = std::max(refuted, aAt);
}

void SuspectPartRegistry::OnAcquittals(std::vector<PartAcquittal> const& aAcquittals,
                                       base::Instant aNow)
{
  for (auto const& acquittal : aAcquittals) {
    bool const isValid =
      acquittal.m_age >= base::Duration::zero() && acquittal.m_age < m_limits.m_retention;
    if (isValid) {
      Acquit(acquittal.m_part, aNow - acquittal.m_age);
    }
  }
  Evaluate(aNow);
}

void SuspectPartRegistry::Acquit(base::PromptPartId const& aPart, base::Instant aAt)
{
  RememberBeginning(aPart, aAt);
  auto const found = m_parts.find(aPart);
  if (found != m_parts.end()) {
    std::erase_if(found->second.m_crashes,
                  [&](auto const& aItem) { return aItem.second.m_at <= aAt; });
  }
}

void SuspectPartRegistry::RememberBeginning(base::PromptPartId const& aPart, base::Instant aAt)
{
  auto const found = m_beginnings.find(aPart);
  if (found != m_beginnings.end()) {
    found->second.m_at = std::max(found->second.m_at, aAt);
    m_beginningOrder.splice(m_beginningOrder.end(), m_beginningOrder, found->second.m_position);
    return;
  }
  if (m_beginnings.size() >= m_limits.m_maximumBeginnings) {
    m_beginnings.erase(m_beginningOrder.front());
    m_beginningOrder.pop_front();
  }
  m_beginningOrder.push_back(aPart);
  m_beginnings.emplace(aPart, Beginning{ aAt, std::prev(m_beginningOrder.end()) });
}

void SuspectPartRegistry::ScheduleAcquittal(base::PromptPartId const& aPart, base::Instant aNow)
{
  if (m_acquittals.size() < m_limits.m_maximumReported || m_acquittals.contains(aPart)) {
    m_acquittals[aPart] = aNow + m_limits.m_reportTime;
  }
}

void SuspectPartRegistry::Tick(base::Instant aNow)
{
  std::erase_if(m_parts, [&](auto const& aItem) {
    return !aItem.second.m_crashes.empty() &&
           aNow - LatestCrash(aItem.second) >= m_limits.m_retention;
  });
  std::erase_if(m_acquittals, [&](auto const& aItem) { return aItem.second < aNow; });
  std::erase_if(m_refutedCrashes,
                [&](auto const& aItem) { return aNow - aItem.second >= m_limits.m_retention; });
  Evaluate(aNow);
}

void SuspectPartRegistry::Evaluate(base::Instant aNow)
{
  if (m_parts.empty()) {
    return;
  }
  for (auto parts = PartsToConvict(); !parts.empty(); parts = PartsToConvict()) {
    Convict(parts);
  }
  for (auto& [id, part] : m_parts) {
    part.m_isConvicted =
      part.m_isConvicted && IndependentCrashes(part).size() >= m_limits.m_refusal;
    auto const state = StateOf(part, aNow);
    if (std::exchange(part.m_state, state) == state) {
      continue;
    }
    PartStateChange change{ id, state, {} };
    for (auto const& [upstream, crash] : part.m_crashes) {
      change.m_upstreams.push_back(upstream);
    }
    m_changes.push_back(std::move(change));
  }
  std::erase_if(m_parts, [](auto const& aItem) { return aItem.second.m_crashes.empty(); });
}

std::vector<SuspectPartRegistry::PartTable::iterator> SuspectPartRegistry::PartsToConvict()
{
  // Parts that stand side by side have the same crashes. One that has never begun
  // explains them rather than one that has.
  using Rank = std::pair<bool, std::size_t>;
  std::vector<PartTable::iterator> parts;
  Rank best{};
  for (auto item = m_parts.begin(); item != m_parts.end(); ++item) {
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
      parts.clear();
    }
    if (rank == best) {
      parts.push_back(item);
    }
  }
  return parts;
}

void SuspectPartRegistry::Convict(std::vector<PartTable::iterator> const& aParts)
{
  for (auto const& item : aParts) {
    item->second.m_isConvicted = true;
  }
  for (auto& [id, other] : m_parts) {
    if (other.m_isConvicted) {
      continue;
    }
    for (auto const& item : aParts) {
      std::erase_if(other.m_crashes, [&](auto const& aCrash) {
        return item->second.m_crashes.contains(aCrash.first);
      });
    }
  }
}

void SuspectPartRegistry::EvictPart()
{
  auto const least = std::ranges::min_element(m_parts, {}, [](auto const& aItem) {
    return std::pair(aItem.second.m_crashes.size(), LatestCrash(aItem.second));
  });
  m_parts.erase(least);
}

std::vector<base::UpstreamId> SuspectPartRegistry::IndependentCrashes(Part const& aPart) const
{
  std::vector<std::pair<base::UpstreamId, Crash>> crashes(aPart.m_crashes.begin(),
                                                          aPart.m_crashes.end());
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

void SuspectPartRegistry::DropCrash(Part& aPart) const
{
  auto const independent = IndependentCrashes(aPart);
  bool const areAll = independent.size() == aPart.m_crashes.size();
  auto const rank = [&](auto const& aItem) {
    bool const isKept = !areAll && std::ranges::find(independent, aItem.first) != independent.end();
    return std::pair(isKept, aItem.second.m_at);
  };
  aPart.m_crashes.erase(std::ranges::min_element(aPart.m_crashes, {}, rank));
}

base::Instant SuspectPartRegistry::LatestCrash(Part const& aPart)
{
  base::Instant latest{};
  for (auto const& [upstream, crash] : aPart.m_crashes) {
    latest = std::max(latest, crash.m_at);
  }
  return latest;
}

PartState SuspectPartRegistry::StateOf(Part const& aPart, base::Instant aNow) const
{
  if (aPart.m_crashes.size() < m_limits.m_suspicion) {
    return PartState::Sound;
  }
  auto const crashes = IndependentCrashes(aPart).size();
  if (crashes < m_limits.m_suspicion) {
    return PartState::Sound;
  }
  if (crashes < m_limits.m_refusal) {
    return PartState::Suspected;
  }
  return aNow < LatestCrash(aPart) + m_refusalTime ? PartState::Refused : PartState::HalfOpen;
}

std::optional<PartRefusal> SuspectPartRegistry::FindRefused(Parts const& aParts,
                                                            base::Instant aNow) const
{
  std::optional<PartRefusal> longest;
  for (auto const& id : aParts) {
    auto const found = m_parts.find(id);
    if (found == m_parts.end() || StateOf(found->second, aNow) != PartState::Refused) {
      continue;
    }
    auto const left = LatestCrash(found->second) + m_refusalTime - aNow;
    if (!longest || left > longest->m_timeLeft) {
      longest = PartRefusal{ id, left };
    }
  }
  return longest;
}

bool SuspectPartRegistry::IsPartSuspected(base::PromptPartId const& aPart, base::Instant aNow) const
{
  auto const found = m_parts.find(aPart);
  if (found == m_parts.end()) {
    return false;
  }
  auto const state = StateOf(found->second, aNow);
  return state == PartState::Suspected || state == PartState::HalfOpen;
}

bool SuspectPartRegistry::IsSuspected(Parts const& aParts, base::Instant aNow) const
{
  return std::ranges::any_of(aParts,
                             [&](auto const& aPart) { return IsPartSuspected(aPart, aNow); });
}

bool SuspectPartRegistry::MaySend(Parts const& aParts, base::Instant aNow) const
{
  if (!IsSuspected(aParts, aNow)) {
    return true;
  }
  return std::ranges::none_of(m_parts, [&](auto const& aItem) {
    return m_unanswered.contains(aItem.first) && IsPartSuspected(aItem.first, aNow);
  });
}

std::vector<PartCrashReport> SuspectPartRegistry::CrashesToReport(bool aWithRefused,
                                                                  base::Instant aNow) const
{
  std::vector<PartTable::const_iterator> items;
  for (auto item = m_parts.begin(); item != m_parts.end(); ++item) {
    items.push_back(item);
  }
  std::ranges::stable_sort(items, std::ranges::greater{},
                           [](auto const& aItem) { return aItem->second.m_crashes.size(); });
  std::vector<PartCrashReport> reports;
  for (auto const& item : items) {
    bool const isComplete = aWithRefused && item->second.m_state == PartState::Refused;
    for (auto const& [upstream, crash] : item->second.m_crashes) {
      if ((isComplete || aNow < crash.m_reportUntil) &&
          reports.size() < m_limits.m_maximumReported) {
        reports.push_back({ item->first, upstream, aNow - crash.m_at, aNow - crash.m_sentAt });
      }
    }
  }
  return reports;
}

std::vector<PartAcquittal> SuspectPartRegistry::AcquittalsToReport(base::Instant aNow) const
{
  std::vector<PartAcquittal> acquittals;
  for (auto const& [part, until] : m_acquittals) {
    auto const begun = m_beginnings.find(part);
    if (aNow < until && begun != m_beginnings.end()) {
      acquittals.push_back({ part, aNow - begun->second.m_at });
    }
  }
  return acquittals;
}

std::size_t SuspectPartRegistry::CountRefused() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    m_parts, [](auto const& aItem) { return aItem.second.m_state == PartState::Refused; }));
}

} // namespace sardinefold::agent
