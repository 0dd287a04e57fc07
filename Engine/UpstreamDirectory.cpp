#include "Engine/UpstreamDirectory.h"

#include <algorithm>
#include <utility>

namespace sardinefold::engine {

namespace {

/// Cost of loading an adapter: it takes some ten milliseconds, about as long as
/// one request's prefill.
constexpr double kAdapterCost = 1;
/// Time for which an engine's response that it lacks a model overrides its
/// loader's report, as a newer report may still be in transit.
constexpr base::Duration kModelMissingTime = std::chrono::milliseconds(400);

} // namespace

std::string_view ToText(UpstreamAbsence aAbsence)
{
  switch (aAbsence) {
    case UpstreamAbsence::NoUpstream:
      return "no upstream";
    case UpstreamAbsence::Leaving:
      return "upstreams are leaving";
    case UpstreamAbsence::Evacuated:
      return "upstreams are evacuated";
    case UpstreamAbsence::BackingOff:
      return "upstreams want no requests";
    case UpstreamAbsence::WarmingUp:
      return "upstreams are warming up";
    case UpstreamAbsence::AtLimit:
      return "upstreams are at their request limit";
    case UpstreamAbsence::ModelNotLoaded:
      return "model not loaded";
  }
  return "unknown";
}

std::string_view ToText(RemovalCause aReading)
{
  switch (aReading) {
    case RemovalCause::Unknown:
      return "unknown";
    case RemovalCause::Left:
      return "left";
    case RemovalCause::Lapsed:
      return "lapsed";
  }
  return "unknown";
}

std::string_view ToText(ListingOutcome aOutcome)
{
  switch (aOutcome) {
    case ListingOutcome::Believed:
      return "believed";
    case ListingOutcome::Drained:
      return "drained";
    case ListingOutcome::Removed:
      return "removed";
    case ListingOutcome::Superseded:
      return "superseded";
  }
  return "unknown";
}

UpstreamDirectory::UpstreamDirectory(DirectoryLimits aLimits,
                                     base::FailureDomainId aLocalFailureDomain, std::uint64_t aSeed)
  : m_limits(aLimits)
  , m_localFailureDomain(std::move(aLocalFailureDomain))
  , m_random(aSeed)
  , m_warmUps(aSeed)
  , m_requestLimits(aSeed)
{
}

/// Decides whether to believe an entry, and remembers what it says of the start.
ListingOutcome UpstreamDirectory::Judge(UpstreamEntry const& aEntry, EntrySource aSource,
                                        base::Instant aNow)
{
  auto const start = StartOf(aEntry);
  bool const isRestored = aSource == EntrySource::RestoredList;
  auto const known = m_upstreams.find(aEntry.m_instance);
  if (isRestored && known != m_upstreams.end() &&
      known->second.m_entry.m_startedAt > aEntry.m_startedAt) {
    return ListingOutcome::Superseded;
  }
  if (aEntry.m_isDraining) {
    m_left.OnDrained(start, aNow);
    return ListingOutcome::Believed;
  }
  auto const end = m_left.FindLost(start);
  if (end == ListedEnd::Drained) {
    return ListingOutcome::Drained;
  }
  if (end == ListedEnd::Removed && isRestored) {
    return ListingOutcome::Removed;
  }
  m_left.Forget(start);
  return ListingOutcome::Believed;
}

ListingOutcome UpstreamDirectory::OnListed(UpstreamEntry aEntry, base::Instant aNow,
                                           EntrySource aSource)
{
  auto const outcome = Judge(aEntry, aSource, aNow);
  if (outcome == ListingOutcome::Superseded) {
    return outcome;
  }
  aEntry.m_isDraining = aEntry.m_isDraining || outcome == ListingOutcome::Drained;
  m_warmUps.OnListed(
    aEntry, aSource == EntrySource::FirstList ? StartKnowledge::Earlier : StartKnowledge::New,
    aNow);
  auto const [found, isNew] = m_upstreams.try_emplace(aEntry.m_instance);
  auto& upstream = found->second;
  bool const isRestart = upstream.m_entry.m_startedAt != aEntry.m_startedAt ||
                         upstream.m_entry.m_endpoint != aEntry.m_endpoint;
  if (isRestart) {
    if (!isNew) {
      OnStartEnded(upstream.m_entry, true);
      m_left.OnRemoved(StartOf(upstream.m_entry), aNow);
    }
    upstream.m_loaderStatus.reset();
    upstream.m_load.OnRestart();
    upstream.m_missing.clear();
    upstream.m_failures = 0;
    upstream.m_pausedUntil = aNow;
  }
  if (!isNew) {
    RemoveFromIndex(upstream);
  }
  upstream.m_entry = std::move(aEntry);
  m_byEndpoint.emplace(upstream.m_entry.m_endpoint, &upstream);
  ++m_revision;
  upstream.m_usableUntil.reset();
  upstream.m_doubtedUntil.reset();
  upstream.m_isDrainedDespiteList = outcome == ListingOutcome::Drained;
  if (outcome == ListingOutcome::Removed) {
    upstream.m_doubtedUntil = aNow + m_limits.m_silenceTime;
  }
  return outcome;
}

std::vector<UpstreamStart> UpstreamDirectory::DrainedDespiteList() const
{
  std::vector<UpstreamStart> starts;
  for (auto const& [instance, upstream] : m_upstreams) {
    if (upstream.m_isDrainedDespiteList) {
      starts.push_back(StartOf(upstream.m_entry));
    }
  }
  return starts;
}

bool UpstreamDirectory::OnDrainedBefore(UpstreamStart const& aStart, base::Instant aNow)
{
  m_left.OnDrainedBefore(aStart, aNow);
  auto const found = m_upstreams.find(aStart.m_instance);
  bool const isNews = found != m_upstreams.end() && StartOf(found->second.m_entry) == aStart &&
                      !found->second.m_entry.m_isDraining;
  if (isNews) {
    found->second.m_entry.m_isDraining = true;
    found->second.m_isDrainedDespiteList = true;
  }
  return isNews;
}

RemovalCause UpstreamDirectory::OnRemoved(InstanceId const& aInstance,
                                          std::optional<base::Instant> aLapseEnd,
                                          base::Instant aNow)
{
  auto const found = m_upstreams.find(aInstance);
  if (found == m_upstreams.end()) {
    return RemovalCause::Unknown;
  }
  if (auto& usableUntil = found->second.m_usableUntil) {
    usableUntil = std::min(*usableUntil, aLapseEnd.value_or(aNow));
    return RemovalCause::Unknown;
  }
  bool const isLapse = aLapseEnd && IsListed(found->second);
  found->second.m_usableUntil = isLapse ? *aLapseEnd : aNow;
  found->second.m_hasLapsed = isLapse;
  if (!isLapse) {
    m_left.OnRemoved(StartOf(found->second.m_entry), aNow);
  }
  return isLapse ? RemovalCause::Lapsed : RemovalCause::Left;
}

void UpstreamDirectory::RemoveFromIndex(Upstream const& aUpstream)
{
  auto const range = m_byEndpoint.equal_range(aUpstream.m_entry.m_endpoint);
  auto const found = std::find_if(range.first, range.second, [&aUpstream](auto const& aItem) {
    return aItem.second == &aUpstream;
  });
  if (found != range.second) {
    m_byEndpoint.erase(found);
  }
}

bool UpstreamDirectory::IsListed(Upstream const& aUpstream)
{
  return !aUpstream.m_usableUntil && !aUpstream.m_doubtedUntil && !aUpstream.m_entry.m_isDraining;
}

bool UpstreamDirectory::IsListed(InstanceId const& aInstance) const
{
  auto const found = m_upstreams.find(aInstance);
  return found != m_upstreams.end() && IsListed(found->second);
}

bool UpstreamDirectory::Knows(UpstreamEntry const& aEntry) const
{
  auto const found = m_upstreams.find(aEntry.m_instance);
  return found != m_upstreams.end() && !found->second.m_usableUntil &&
         StartOf(found->second.m_entry) == StartOf(aEntry) &&
         found->second.m_entry.m_isDraining == aEntry.m_isDraining;
}

bool UpstreamDirectory::MaySend(UpstreamChoice const& aChoice, base::Instant aNow) const
{
  auto const found = m_upstreams.find(aChoice.m_instance);
  if (found == m_upstreams.end()) {
    return false;
  }
  auto const& upstream = found->second;
  // An upstream that has begun to leave since it was chosen serves only requests
  // that no other one can serve, which another choice finds out.
  return upstream.m_entry.m_startedAt == aChoice.m_startedAt && IsUsable(upstream, aNow) &&
         m_backoffs.Revision(aChoice.Start()) == aChoice.m_backoffRevision &&
         (aChoice.m_isLeaving || !IsLastResort(upstream));
}

UpstreamStart UpstreamDirectory::StartOf(UpstreamEntry const& aEntry)
{
  return { aEntry.m_instance, aEntry.m_endpoint, aEntry.m_startedAt };
}

bool UpstreamDirectory::IsLeaving(Upstream const& aUpstream) const
{
  return m_leaving.Find(StartOf(aUpstream.m_entry)) != nullptr;
}

bool UpstreamDirectory::OnLeaving(UpstreamStart const& aStart, NoticeSource aSource,
                                  base::Instant aNow)
{
  return m_leaving.OnNotice(aStart, aSource, aNow);
}

std::optional<UpstreamStart> UpstreamDirectory::FindStart(base::Endpoint const& aEndpoint,
                                                          std::int64_t aStartedAt) const
{
  auto const range = m_byEndpoint.equal_range(aEndpoint);
  for (auto item = range.first; item != range.second; ++item) {
    if (item->second->m_entry.m_startedAt == aStartedAt) {
      return StartOf(item->second->m_entry);
    }
  }
  return std::nullopt;
}

void UpstreamDirectory::OnStartEnded(UpstreamEntry const& aEntry, bool aIsRestart)
{
  auto const start = StartOf(aEntry);
  m_endedEndpoints.push_back(aEntry.m_endpoint);
  if (auto const* const notice = m_leaving.Find(start)) {
    m_leavingEnds.push_back({ start, *notice, aIsRestart });
  }
}

bool UpstreamDirectory::OnBackoff(UpstreamChoice const& aChoice, base::Duration aRetryAfter,
                                  base::Instant aNow)
{
  double const spread = std::uniform_real_distribution<>(0, 1)(m_random);
  return m_backoffs.OnRefused(aChoice.Start(), aRetryAfter, spread, aNow);
}

bool UpstreamDirectory::CouldServe(Upstream const& aUpstream, UpstreamQuery const& aQuery,
                                   base::Instant aNow) const
{
  return Matches(aUpstream, aQuery) && IsUsable(aUpstream, aNow) &&
         (!aQuery.m_model || FindModel(aUpstream, *aQuery.m_model, aNow));
}

std::optional<base::Instant> UpstreamDirectory::WarmUpOpensAt(UpstreamQuery const& aQuery,
                                                              base::Instant aNow) const
{
  std::optional<base::Instant> earliest;
  for (auto const& [instance, upstream] : m_upstreams) {
    bool const isHeldBack = !m_warmUps.IsOpen(instance, aNow) &&
                            !aQuery.m_excluded.contains(instance) &&
                            CouldServe(upstream, aQuery, aNow);
    if (isHeldBack) {
      auto const opensAt = m_warmUps.OpensAt(instance, aNow);
      earliest = std::min(earliest.value_or(opensAt), opensAt);
    }
  }
  return earliest;
}

std::optional<LimitOpening> UpstreamDirectory::FindLimitOpening(UpstreamQuery const& aQuery,
                                                                base::Instant aNow) const
{
  std::optional<LimitOpening> earliest;
  if (m_requestLimits.IsEmpty()) {
    return earliest;
  }
  for (auto const& [instance, upstream] : m_upstreams) {
    auto const start = StartOf(upstream.m_entry);
    bool const isHeldBack = !m_requestLimits.IsOpen(start, aQuery.m_limitPlace, aNow) &&
                            m_backoffs.IsOpen(start, aNow) && m_warmUps.IsOpen(instance, aNow) &&
                            !aQuery.m_excluded.contains(instance) &&
                            CouldServe(upstream, aQuery, aNow);
    auto const opensAt =
      isHeldBack ? m_requestLimits.OpensAt(start, aQuery.m_limitPlace, aNow) : std::nullopt;
    if (opensAt && (!earliest || *opensAt < earliest->m_at)) {
      earliest = LimitOpening{ start, *opensAt };
    }
  }
  return earliest;
}

std::optional<base::Instant> UpstreamDirectory::HeldBackUntil(UpstreamQuery const& aQuery,
                                                              base::Instant aNow) const
{
  auto const warmUp = WarmUpOpensAt(aQuery, aNow);
  auto const limit = FindLimitOpening(aQuery, aNow);
  return limit ? std::min(warmUp.value_or(limit->m_at), limit->m_at) : warmUp;
}

void UpstreamDirectory::OnAsked(UpstreamQuery const& aQuery, base::Instant aNow)
{
  if (m_requestLimits.IsEmpty()) {
    return;
  }
  std::vector<UpstreamStart> candidates;
  for (auto const& [instance, upstream] : m_upstreams) {
    if (!aQuery.m_excluded.contains(instance) && CouldServe(upstream, aQuery, aNow)) {
      candidates.push_back(StartOf(upstream.m_entry));
    }
  }
  for (auto const& start : candidates) {
    m_requestLimits.OnAsked(start, candidates.size(), aNow);
  }
}

std::optional<base::Instant> UpstreamDirectory::BackoffEndFor(UpstreamQuery const& aQuery,
                                                              base::Instant aNow) const
{
  std::optional<base::Instant> earliest;
  for (auto const& [instance, upstream] : m_upstreams) {
    if (!CouldServe(upstream, aQuery, aNow)) {
      continue;
    }
    auto const start = StartOf(upstream.m_entry);
    if (m_backoffs.IsOpen(start, aNow)) {
      return std::nullopt;
    }
    auto const opensAt = m_backoffs.Find(start)->OpensAt();
    earliest = std::min(earliest.value_or(opensAt), opensAt);
  }
  return earliest;
}

void UpstreamDirectory::OnTrialStarted(UpstreamChoice const& aChoice, base::Instant aNow)
{
  if (aChoice.m_isTrial) {
    m_backoffs.OnTrialStarted(aChoice.Start(), aNow);
  }
}

void UpstreamDirectory::OnTrialAnswered(UpstreamChoice const& aChoice, bool aIsFull)
{
  if (!IsCurrentTrial(aChoice)) {
    return;
  }
  if (aIsFull) {
    m_backoffs.OnTrialEnded(aChoice.Start());
  } else if (auto const backoff = m_backoffs.OnTrialAnswered(aChoice.Start())) {
    m_backoffEnds.push_back({ aChoice.Start(), *backoff, BackoffEnd::Reason::TrialAnswered });
  }
}

void UpstreamDirectory::OnTrialEnded(UpstreamChoice const& aChoice)
{
  if (IsCurrentTrial(aChoice)) {
    m_backoffs.OnTrialEnded(aChoice.Start());
  }
}

bool UpstreamDirectory::IsCurrentTrial(UpstreamChoice const& aChoice) const
{
  return aChoice.m_isTrial && m_backoffs.Revision(aChoice.Start()) == aChoice.m_backoffRevision;
}

std::vector<BackoffEnd> UpstreamDirectory::TakeBackoffEnds()
{
  return std::exchange(m_backoffEnds, {});
}

std::vector<base::Endpoint> UpstreamDirectory::TakeEndedEndpoints()
{
  return std::exchange(m_endedEndpoints, {});
}

std::vector<LeavingEnd> UpstreamDirectory::TakeLeavingEnds()
{
  return std::exchange(m_leavingEnds, {});
}

std::size_t UpstreamDirectory::CountListed() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(m_upstreams, [](auto const& aItem) { return IsListed(aItem.second); }));
}

bool UpstreamDirectory::OnLoaderStatus(LoaderStatus aStatus, base::Instant aNow)
{
  bool hasNewModels = false;
  auto const range = m_byEndpoint.equal_range(aStatus.m_engine);
  for (auto item = range.first; item != range.second; ++item) {
    auto& upstream = *item->second;
    if (upstream.m_loaderStatus && aStatus.m_number.IsBefore(upstream.m_loaderStatus->m_number)) {
      continue;
    }
    auto const known = [&](HeldModel const& aHeld) {
      auto const* const before = FindModel(upstream, aHeld.m_model, aNow);
      return before && std::ranges::includes(before->m_adapters, aHeld.m_adapters);
    };
    hasNewModels = hasNewModels || !std::ranges::all_of(aStatus.m_models, known);
    upstream.m_load.OnReported(aStatus.m_running, aStatus.m_waiting, aNow);
    if (aStatus.m_engineStart) {
      m_warmUps.OnStartSeen(upstream.m_entry.m_instance, *aStatus.m_engineStart, aNow);
    }
    upstream.m_loaderStatus = aStatus;
    upstream.m_loaderStatusAt = aNow;
  }
  return hasNewModels;
}

bool UpstreamDirectory::OnStatusUnchanged(base::Endpoint const& aEngine,
                                          LoaderStatusNumber const& aNumber, unsigned aRunning,
                                          unsigned aWaiting, base::Instant aNow)
{
  bool isKnown = true;
  auto const range = m_byEndpoint.equal_range(aEngine);
  for (auto item = range.first; item != range.second; ++item) {
    auto& upstream = *item->second;
    if (upstream.m_loaderStatus && upstream.m_loaderStatus->m_number == aNumber) {
      upstream.m_load.OnReported(aRunning, aWaiting, aNow);
      upstream.m_loaderStatusAt = aNow;
      continue;
    }
    // A heartbeat may be overtaken by a later status.
    bool const isOvertaken =
      upstream.m_loaderStatus && aNumber.IsBefore(upstream.m_loaderStatus->m_number);
    isKnown = isKnown && isOvertaken;
  }
  return isKnown;
}

void UpstreamDirectory::OnLoadReported(InstanceId const& aInstance, unsigned aRunning,
                                       unsigned aWaiting, std::optional<double> aSlowdown,
                                       base::Instant aNow)
{
  auto const found = m_upstreams.find(aInstance);
  if (found == m_upstreams.end()) {
    return;
  }
  found->second.m_load.OnReported(aRunning, aWaiting, aNow);
  if (aSlowdown) {
    found->second.m_load.OnSlowdown(*aSlowdown, aNow);
    m_unevenDeployments.insert(found->second.m_entry.m_deployment);
  }
}

bool UpstreamDirectory::IsAvailable(Upstream const& aUpstream, base::Instant aNow)
{
  bool const isListed = !aUpstream.m_usableUntil || aNow < *aUpstream.m_usableUntil;
  bool const isDoubted = aUpstream.m_doubtedUntil.has_value();
  return isListed && !isDoubted && !aUpstream.m_entry.m_isDraining &&
         aUpstream.m_pausedUntil <= aNow;
}

bool UpstreamDirectory::IsUsable(Upstream const& aUpstream, base::Instant aNow) const
{
  return IsAvailable(aUpstream, aNow) && !IsEvacuated(aUpstream, aNow) &&
         (m_leaving.IsEmpty() ||
          !m_leaving.IsExcluded(StartOf(aUpstream.m_entry), m_limits.m_maximumDrainDelay, aNow));
}

bool UpstreamDirectory::IsEvacuated(Upstream const& aUpstream, base::Instant aNow) const
{
  auto const found = m_evacuated.find(aUpstream.m_entry.m_failureDomain);
  return found != m_evacuated.end() && aNow >= found->second;
}

bool UpstreamDirectory::IsLastResort(Upstream const& aUpstream) const
{
  return IsLeaving(aUpstream) || m_evacuated.contains(aUpstream.m_entry.m_failureDomain);
}

bool UpstreamDirectory::Matches(Upstream const& aUpstream, UpstreamQuery const& aQuery)
{
  return aUpstream.m_entry.m_deployment == aQuery.m_deployment &&
         (!aQuery.m_version || aUpstream.m_entry.m_version == *aQuery.m_version) &&
         (!aQuery.m_failureDomains ||
          aQuery.m_failureDomains->contains(aUpstream.m_entry.m_failureDomain));
}

HeldModel const* UpstreamDirectory::FindModel(Upstream const& aUpstream,
                                              base::ModelId const& aModel, base::Instant aNow) const
{
  auto const missing = aUpstream.m_missing.find(aModel);
  if (missing != aUpstream.m_missing.end() && missing->second > aNow) {
    return nullptr;
  }
  bool const isFresh =
    aUpstream.m_loaderStatus && aNow - aUpstream.m_loaderStatusAt < m_limits.m_maximumStatusAge;
  if (isFresh && aUpstream.m_loaderStatus->m_unloading == aModel) {
    return nullptr;
  }
  auto const& models = isFresh ? aUpstream.m_loaderStatus->m_models : aUpstream.m_entry.m_models;
  auto const found = std::ranges::find(models, aModel, &HeldModel::m_model);
  return found == models.end() ? nullptr : &*found;
}

UpstreamLoadEstimate UpstreamDirectory::EstimateLoad(Upstream const& aUpstream, RequestWork aWork,
                                                     base::Instant aNow) const
{
  UpstreamLoadEstimate estimate;
  estimate.m_unanswered = aUpstream.m_load.Unanswered();
  estimate.m_running = aUpstream.m_load.Running();
  if (aUpstream.m_loaderStatus) {
    estimate.m_loaderStatusAge = aNow - aUpstream.m_loaderStatusAt;
  }
  estimate.m_isUnlisted = aUpstream.m_usableUntil.has_value();
  estimate.m_reportAge = aUpstream.m_load.ReportAge(aNow);
  estimate.m_work = aUpstream.m_load.Ahead(RequestWork(m_limits.m_running)) + aWork;
  estimate.m_slowness =
    IsUneven(aUpstream.m_entry.m_deployment) ? aUpstream.m_load.Slowness(aNow) : 1;
  return estimate;
}

UpstreamCandidate UpstreamDirectory::CostOf(Candidate const& aCandidate, RequestWork aWork,
                                            bool aIsSuspected, base::Instant aNow) const
{
  auto const& upstream = *aCandidate.m_upstream;
  auto const estimate = EstimateLoad(upstream, aWork, aNow);
  auto const busy = estimate.m_work * estimate.m_slowness;
  double const remote =
    upstream.m_entry.m_failureDomain == m_localFailureDomain ? 0 : m_limits.m_remoteDomainCost;
  double const adapter = aCandidate.m_lacksAdapter ? kAdapterCost : 0;
  bool const isBesideSuspected =
    upstream.m_suspected > 0 || (aIsSuspected && upstream.m_load.OwnUnanswered() > 0);
  double const suspected = isBesideSuspected ? m_limits.m_suspectedCost : 0;
  double const warmUp =
    m_warmUps.IsWarmingUp(upstream.m_entry.m_instance, aNow) ? m_limits.m_warmUpCost : 0;
  double const limited =
    m_requestLimits.IsLimited(StartOf(upstream.m_entry)) ? m_limits.m_limitedCost : 0;
  return { busy + RequestWork(remote + adapter + suspected + warmUp + limited),
           RequestWork(estimate.m_slowness) };
}

/// Returns how many requests other gateways are expected to have sent to these upstreams
/// since the reports on them.
double UpstreamDirectory::ExpectedOthers(std::vector<Candidate> const& aCandidates,
                                         UpstreamQuery const& aQuery, base::Instant aNow) const
{
  base::Duration ages{};
  std::set<base::FailureDomainId> domains;
  for (auto const& candidate : aCandidates) {
    auto const age = candidate.m_upstream->m_load.ReportAge(aNow);
    ages += std::min(age.value_or(m_limits.m_maximumStatusAge), m_limits.m_maximumStatusAge);
    domains.insert(candidate.m_upstream->m_entry.m_failureDomain);
  }
  auto const meanAge = ages / static_cast<std::int64_t>(aCandidates.size());
  // The gateways of other failure domains prefer the upstreams there.
  return m_others.Expected({ aQuery.m_deployment, aQuery.m_model }, meanAge, aNow) /
         static_cast<double>(domains.size());
}

UpstreamChoice UpstreamDirectory::Choose(std::vector<Candidate> const& aCandidates,
                                         UpstreamQuery const& aQuery, base::Instant aNow)
{
  auto const& usage = m_usage[aQuery.m_deployment];
  bool const isUneven = IsUneven(aQuery.m_deployment);
  auto const work = isUneven ? usage.WorkOf(aQuery.m_prompt) : RequestWork(1);
  std::vector<UpstreamCandidate> costs;
  costs.reserve(aCandidates.size());
  for (auto const& candidate : aCandidates) {
    costs.push_back(CostOf(candidate, work, aQuery.m_isSuspected, aNow));
  }
  double const others = isUneven ? ExpectedOthers(aCandidates, aQuery, aNow) : 0;
  double const draw = std::uniform_real_distribution<>(0, 1)(m_random);
  auto const& chosen = aCandidates[m_chooser.Choose(costs, others, draw)];
  auto const& upstream = *chosen.m_upstream;
  auto const start = StartOf(upstream.m_entry);
  auto estimate = EstimateLoad(upstream, work, aNow);
  estimate.m_others = others;
  estimate.m_answerTime = usage.TimeOf(estimate.m_work * estimate.m_slowness);
  return UpstreamChoice{ upstream.m_entry.m_instance,
                         upstream.m_entry.m_startedAt,
                         upstream.m_entry.m_endpoint,
                         upstream.m_entry.m_version,
                         chosen.m_lacksAdapter,
                         chosen.m_isLeaving,
                         m_backoffs.Find(start) != nullptr,
                         m_backoffs.Revision(start),
                         estimate,
                         work };
}

std::variant<UpstreamChoice, UpstreamAbsence> UpstreamDirectory::Find(UpstreamQuery const& aQuery,
                                                                      base::Instant aNow)
{
  UpstreamAbsence absence = UpstreamAbsence::NoUpstream;
  std::vector<Candidate> candidates;
  std::vector<Candidate> leaving;
  bool isHeldBack = false;
  bool isAtLimit = false;
  for (auto const& [instance, upstream] : m_upstreams) {
    bool const isCandidate = Matches(upstream, aQuery) && IsAvailable(upstream, aNow) &&
                             !aQuery.m_excluded.contains(instance);
    if (!isCandidate) {
      continue;
    }
    if (!IsUsable(upstream, aNow)) {
      bool const isNews =
        absence == UpstreamAbsence::NoUpstream || absence == UpstreamAbsence::Leaving;
      auto const reason =
        IsEvacuated(upstream, aNow) ? UpstreamAbsence::Evacuated : UpstreamAbsence::Leaving;
      absence = isNews ? reason : absence;
      continue;
    }
    bool lacksAdapter = false;
    if (aQuery.m_model) {
      absence = UpstreamAbsence::ModelNotLoaded;
      auto const* const held = FindModel(upstream, *aQuery.m_model, aNow);
      if (!held) {
        continue;
      }
      lacksAdapter = aQuery.m_adapter && !held->m_adapters.contains(*aQuery.m_adapter);
    }
    auto const start = StartOf(upstream.m_entry);
    if (!m_backoffs.IsOpen(start, aNow)) {
      continue;
    }
    if (!m_warmUps.IsOpen(instance, aNow)) {
      isHeldBack = true;
      continue;
    }
    if (!m_requestLimits.IsOpen(start, aQuery.m_limitPlace, aNow)) {
      isAtLimit = true;
      continue;
    }
    bool const isLeaving = IsLastResort(upstream);
    (isLeaving ? leaving : candidates).push_back({ &upstream, lacksAdapter, isLeaving });
  }
  auto const& preferred = candidates.empty() ? leaving : candidates;
  if (!preferred.empty()) {
    return Choose(preferred, aQuery, aNow);
  }
  if (isHeldBack) {
    return UpstreamAbsence::WarmingUp;
  }
  if (isAtLimit) {
    return UpstreamAbsence::AtLimit;
  }
  return BackoffEndFor(aQuery, aNow) ? UpstreamAbsence::BackingOff : absence;
}

bool UpstreamDirectory::IsHeld(base::DeploymentId const& aDeployment, base::ModelId const& aModel,
                               base::Instant aNow) const
{
  return std::ranges::any_of(m_upstreams, [&](auto const& aUpstream) {
    return aUpstream.second.m_entry.m_deployment == aDeployment &&
           FindModel(aUpstream.second, aModel, aNow);
  });
}

void UpstreamDirectory::OnDemand(UpstreamQuery const& aQuery, base::Instant aNow)
{
  m_usage[aQuery.m_deployment].OnRequest(aQuery.m_prompt);
  m_others.OnSent({ aQuery.m_deployment, aQuery.m_model }, aNow);
}

double UpstreamDirectory::OnAnswerTime(UpstreamChoice const& aChoice, base::Duration aTime)
{
  auto const found = m_upstreams.find(aChoice.m_instance);
  if (found == m_upstreams.end() || found->second.m_entry.m_startedAt != aChoice.m_startedAt) {
    return 1;
  }
  auto const& estimate = aChoice.m_loadEstimate;
  double const ratio = m_usage[found->second.m_entry.m_deployment].OnAnswer(aTime, estimate.m_work,
                                                                            estimate.m_slowness);
  found->second.m_load.OnAnswerTime(ratio);
  return ratio;
}

void UpstreamDirectory::OnSent(InstanceId const& aInstance, RequestWork aWork)
{
  auto const found = m_upstreams.find(aInstance);
  if (found != m_upstreams.end()) {
    found->second.m_load.OnSent(aWork);
    m_warmUps.Reserve(aInstance);
    m_requestLimits.Reserve(StartOf(found->second.m_entry));
  }
}

void UpstreamDirectory::OnSuspectedSent(InstanceId const& aInstance)
{
  auto const found = m_upstreams.find(aInstance);
  if (found != m_upstreams.end()) {
    ++found->second.m_suspected;
  }
}

void UpstreamDirectory::OnSuspectedAnswered(InstanceId const& aInstance)
{
  auto const found = m_upstreams.find(aInstance);
  if (found != m_upstreams.end() && found->second.m_suspected > 0) {
    --found->second.m_suspected;
  }
}

void UpstreamDirectory::OnResponseStarted(InstanceId const& aInstance, RequestWork aWork)
{
  auto const found = m_upstreams.find(aInstance);
  if (found != m_upstreams.end()) {
    found->second.m_load.OnResponseStarted(aWork);
  }
}

void UpstreamDirectory::OnDone(InstanceId const& aInstance, bool aHasBegun, RequestWork aWork)
{
  auto const found = m_upstreams.find(aInstance);
  if (found == m_upstreams.end()) {
    return;
  }
  if (!aHasBegun) {
    found->second.m_load.OnResponseStarted(aWork);
  }
  found->second.m_load.OnDone();
}

void UpstreamDirectory::OnServed(InstanceId const& aInstance)
{
  auto const found = m_upstreams.find(aInstance);
  if (found != m_upstreams.end()) {
    found->second.m_failures = 0;
  }
}

bool UpstreamDirectory::MayPause(Upstream const& aUpstream, base::Instant aNow) const
{
  std::size_t all = 0;
  std::size_t othersPaused = 0;
  for (auto const& [instance, other] : m_upstreams) {
    if (other.m_entry.m_deployment == aUpstream.m_entry.m_deployment) {
      ++all;
      othersPaused += &other != &aUpstream && other.m_pausedUntil > aNow ? 1 : 0;
    }
  }
  return static_cast<double>(othersPaused + 1) <=
         static_cast<double>(all) * m_limits.m_maximumPausedShare;
}

std::optional<base::Duration> UpstreamDirectory::OnFailed(InstanceId const& aInstance,
                                                          base::Instant aNow)
{
  auto const found = m_upstreams.find(aInstance);
  if (found == m_upstreams.end()) {
    return std::nullopt;
  }
  ++found->second.m_failures;
  return Pause(found->second, aNow);
}

std::optional<base::Duration> UpstreamDirectory::OnStuck(InstanceId const& aInstance,
                                                         base::Instant aNow)
{
  auto const found = m_upstreams.find(aInstance);
  if (found == m_upstreams.end()) {
    return std::nullopt;
  }
  found->second.m_failures = std::max(found->second.m_failures + 1, m_limits.m_failures);
  return Pause(found->second, aNow);
}

std::optional<base::Duration> UpstreamDirectory::Pause(Upstream& aUpstream, base::Instant aNow)
{
  if (aUpstream.m_failures < m_limits.m_failures || !MayPause(aUpstream, aNow)) {
    return std::nullopt;
  }
  auto const doublings = std::min(aUpstream.m_failures - m_limits.m_failures, 8U);
  auto const pause =
    std::min<base::Duration>(m_limits.m_pause * (1U << doublings), m_limits.m_maximumPause);
  aUpstream.m_pausedUntil = aNow + pause;
  return pause;
}

void UpstreamDirectory::OnWrongInstance(InstanceId const& aInstance, base::Instant aNow)
{
  auto const found = m_upstreams.find(aInstance);
  if (found != m_upstreams.end()) {
    found->second.m_pausedUntil = aNow + m_limits.m_maximumPause;
  }
}

void UpstreamDirectory::OnModelMissing(InstanceId const& aInstance, base::ModelId const& aModel,
                                       base::Instant aNow)
{
  auto const found = m_upstreams.find(aInstance);
  if (found != m_upstreams.end()) {
    found->second.m_missing[aModel] = aNow + kModelMissingTime;
  }
}

void UpstreamDirectory::ExpireDoubts(base::Instant aListedAt, base::Instant aNow)
{
  for (auto& [instance, upstream] : m_upstreams) {
    if (upstream.m_doubtedUntil && aListedAt >= *upstream.m_doubtedUntil) {
      upstream.m_doubtedUntil.reset();
      m_left.Forget(StartOf(upstream.m_entry));
    }
  }
  m_left.Expire(aNow);
}

void UpstreamDirectory::Expire(base::Instant aListedAt, base::Instant aNow)
{
  ExpireDoubts(aListedAt, aNow);
  std::erase_if(m_upstreams, [&](auto const& aItem) {
    auto const& usableUntil = aItem.second.m_usableUntil;
    // A lapsed upstream may register for as long as the store is silent.
    bool const isOutOfUse = usableUntil && aNow >= *usableUntil &&
                            (!aItem.second.m_hasLapsed || aListedAt >= *usableUntil);
    if (isOutOfUse) {
      m_left.OnRemoved(StartOf(aItem.second.m_entry), aNow);
    }
    bool const isExpired = isOutOfUse && aItem.second.m_load.InFlight() == 0;
    if (isExpired) {
      OnStartEnded(aItem.second.m_entry, false);
      m_warmUps.OnGone(aItem.first, aNow);
      RemoveFromIndex(aItem.second);
      ++m_revision;
    }
    return isExpired;
  });
  auto const isKnown = [this](UpstreamStart const& aStart) {
    auto const found = m_upstreams.find(aStart.m_instance);
    return found != m_upstreams.end() && StartOf(found->second.m_entry) == aStart;
  };
  m_warmUps.Expire(aNow);
  m_requestLimits.Tick(isKnown, aNow);
  m_leaving.Expire(isKnown, aNow);
  for (auto const& [start, backoff] : m_backoffs.Expire(isKnown, aNow)) {
    m_backoffEnds.push_back({ start, backoff, BackoffEnd::Reason::Gone });
  }
}

std::vector<UpstreamEntry> UpstreamDirectory::Entries() const
{
  std::vector<UpstreamEntry> entries;
  for (auto const& [instance, upstream] : m_upstreams) {
    entries.push_back(upstream.m_entry);
  }
  return entries;
}

std::map<base::DeploymentId, double> UpstreamDirectory::BusiestOverMean() const
{
  struct Sum
  {
    double m_requests = 0;
    double m_most = 0;
    double m_upstreams = 0;
  };
  std::map<base::DeploymentId, Sum> sums;
  for (auto const& [instance, upstream] : m_upstreams) {
    if (!IsListed(upstream)) {
      continue;
    }
    auto& sum = sums[upstream.m_entry.m_deployment];
    double const requests = upstream.m_load.Unanswered() + upstream.m_load.Running();
    sum.m_requests += requests;
    sum.m_most = std::max(sum.m_most, requests);
    ++sum.m_upstreams;
  }
  std::map<base::DeploymentId, double> ratios;
  for (auto const& [deployment, sum] : sums) {
    if (sum.m_requests > 0) {
      ratios[deployment] = sum.m_most * sum.m_upstreams / sum.m_requests;
    }
  }
  return ratios;
}

bool UpstreamDirectory::HasUpstreamOf(base::DeploymentId const& aDeployment) const
{
  return std::ranges::any_of(m_upstreams, [&](auto const& aItem) {
    return aItem.second.m_entry.m_deployment == aDeployment;
  });
}

} // namespace sardinefold::engine
