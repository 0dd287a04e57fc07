#include "Engine/RequestLimiter.h"

#include "Base/Digest.h"

#include <algorithm>
#include <limits>
#include <string>

namespace sardinefold::engine {

namespace {

/// The bound on the requests of all processes within any four seconds, from the users'
/// rules: a part of what the limit allows, and a few more.
constexpr double kBoundSeconds = 4;
constexpr double kBoundFactor = 1.5;
constexpr double kBoundMore = 5;
/// Chance, for one draw, that the permits of processes without a planner exceed the bound.
/// They would also all have to be used within four seconds.
constexpr double kExcessChance = 1e-5;
/// Number of processes assumed while it is not known.
constexpr unsigned kAssumedProcesses = 32;
/// Time from a request's wait to the planner's permit for it, if it has one to grant.
constexpr base::Duration kGrantTime = std::chrono::milliseconds(150);
constexpr base::Duration kAskedTimeConstant = std::chrono::seconds(3);
/// Time for which a limit is remembered without word of it, once the start is no longer
/// known: an entry that lapses in an outage of the store returns with the same start.
constexpr base::Duration kGoneMemory = std::chrono::minutes(2);

} // namespace

RequestLimiter::Upstream const* RequestLimiter::FindLimited(UpstreamStart const& aStart) const
{
  if (m_upstreams.empty()) {
    return nullptr;
  }
  auto const found = m_upstreams.find(aStart);
  return found != m_upstreams.end() && found->second.m_limit ? &found->second : nullptr;
}

RequestLimiter::Upstream* RequestLimiter::FindLimited(UpstreamStart const& aStart)
{
  auto const found = m_upstreams.find(aStart);
  return found != m_upstreams.end() && found->second.m_limit ? &found->second : nullptr;
}

double RequestLimiter::Draw(UpstreamStart const& aStart, std::uint64_t aNumber) const
{
  auto const name = aStart.m_instance.Text() + " " + std::to_string(aStart.m_startedAt) + " " +
                    std::to_string(aNumber);
  return static_cast<double>(base::FastHash(name, m_seed)) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

/// Called as a limit becomes known where none was.
RequestLimiter::Upstream& RequestLimiter::Begin(UpstreamStart const& aStart, base::Instant aNow)
{
  auto const [found, isNew] =
    m_upstreams.try_emplace(aStart, DecayingRate(kAskedTimeConstant, aNow));
  auto& upstream = found->second;
  if (isNew) {
    upstream.m_learnedAt = aNow;
    // Processes that learn of the limit at the same moment begin at different ones.
    upstream.m_pacer.Store(Draw(aStart, 0), aNow);
  } else {
    upstream.m_pacer.Store(0, aNow);
  }
  return upstream;
}

void RequestLimiter::SetWord(Upstream& aUpstream, std::optional<base::RequestsPerSecond> aLimit,
                             base::Instant aHeardAt, NoticeSource aSource)
{
  if (aLimit && aUpstream.m_limit && *aLimit < *aUpstream.m_limit) {
    aUpstream.m_permits.clear();
  }
  if (aUpstream.m_limit && !aLimit) {
    aUpstream.m_endedAt = aHeardAt;
  }
  aUpstream.m_limit = aLimit;
  aUpstream.m_heardAt = aHeardAt;
  aUpstream.m_source = aSource;
}

void RequestLimiter::OnResponse(UpstreamStart const& aStart,
                                std::optional<base::RequestsPerSecond> aLimit,
                                base::Instant aSentAt, base::Instant aNow)
{
  if (!aLimit) {
    // Each further response without a limit makes the end newer than the last naming that
    // others know of.
    auto const found = m_upstreams.find(aStart);
    if (found != m_upstreams.end() && aSentAt > found->second.m_heardAt) {
      SetWord(found->second, std::nullopt, aNow, NoticeSource::Response);
    }
    return;
  }
  auto* const known = FindLimited(aStart);
  auto& upstream = known ? *known : Begin(aStart, aNow);
  SetWord(upstream, aLimit, aNow, NoticeSource::Response);
  UpdateRate(aStart, upstream, aNow);
}

void RequestLimiter::OnPermits(std::vector<RequestLimitPermits> const& aPermits, base::Instant aNow)
{
  for (auto const& permits : aPermits) {
    auto const& state = permits.m_state;
    auto const heardAt = aNow - state.m_age;
    auto const found = m_upstreams.find(state.m_start);
    bool const isUnknown = found == m_upstreams.end();
    if (isUnknown && !state.m_limit) {
      continue;
    }
    bool const isNews =
      isUnknown ||
      heardAt > found->second.m_heardAt + WordTolerance(found->second.m_limit, state.m_limit);
    bool const isBeginning = isNews && state.m_limit && !FindLimited(state.m_start);
    auto& upstream = isBeginning ? Begin(state.m_start, aNow) : found->second;
    if (isNews) {
      SetWord(upstream, state.m_limit, heardAt, NoticeSource::Gateway);
    }
    if (state.m_limit) {
      upstream.m_plannedAt = aNow;
    }
    upstream.m_waitingEverywhere = permits.m_waiting;
    std::erase_if(upstream.m_permits, [aNow](base::Instant aEnd) { return aEnd <= aNow; });
    upstream.m_permits.insert(upstream.m_permits.end(), permits.m_permits, aNow + kPermitTime);
    UpdateRate(state.m_start, upstream, aNow);
  }
}

void RequestLimiter::OnProcessCount(unsigned aProcesses, base::Instant aNow)
{
  m_fleetSize.OnReport(aProcesses, aNow);
}

void RequestLimiter::OnAsked(UpstreamStart const& aStart, std::size_t aCandidates,
                             base::Instant aNow)
{
  if (auto* const upstream = FindLimited(aStart); upstream && aCandidates > 0) {
    upstream->m_asked.OnEvent(aNow, 1 / static_cast<double>(aCandidates));
  }
}

std::vector<RequestLimitDemand> RequestLimiter::Demands(base::Instant aNow) const
{
  std::vector<RequestLimitDemand> demands;
  for (auto const& [start, upstream] : m_upstreams) {
    auto const age = aNow - upstream.m_heardAt;
    if (upstream.m_limit || aNow - upstream.m_endedAt < kEndTime) {
      auto const waiting = static_cast<unsigned>(upstream.m_line.size());
      demands.push_back({ { start, upstream.m_limit, age },
                          base::RequestsPerSecond(upstream.m_asked.PerSecond(aNow)),
                          waiting - std::min(waiting, CountPermits(upstream, aNow)),
                          0 });
    }
  }
  return demands;
}

std::size_t RequestLimiter::CountLimits() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    m_upstreams, [](auto const& aItem) { return aItem.second.m_limit.has_value(); }));
}

bool RequestLimiter::HasPlanner(Upstream const& aUpstream, base::Instant aNow)
{
  return aUpstream.m_plannedAt && aNow - *aUpstream.m_plannedAt < kPlannerTime;
}

unsigned RequestLimiter::CountPermits(Upstream const& aUpstream, base::Instant aNow)
{
  return static_cast<unsigned>(
    std::ranges::count_if(aUpstream.m_permits, [aNow](base::Instant aEnd) { return aEnd > aNow; }));
}

/// The planner is assumed to grant permits in proportion to the requests that wait.
base::Instant RequestLimiter::ExpectedPermitAt(Upstream const& aUpstream, unsigned aNeeded,
                                               base::Instant aNow)
{
  auto const own = static_cast<double>(std::max<std::size_t>(aUpstream.m_line.size(), 1));
  double const all = std::max<double>(aUpstream.m_waitingEverywhere, own);
  double const rate = UsedRequestLimit(*aUpstream.m_limit).Value() * own / all;
  return aNow + kGrantTime + base::FromSeconds((aNeeded - 1) / rate);
}

void RequestLimiter::UpdateRate(UpstreamStart const& aStart, Upstream& aUpstream,
                                base::Instant aNow)
{
  if (!aUpstream.m_limit) {
    return;
  }
  auto const limit = *aUpstream.m_limit;
  unsigned const processes = m_fleetSize.IsSettled(aNow)
                               ? m_fleetSize.Size()
                               : std::max(m_fleetSize.Size(), kAssumedProcesses);
  std::pair const drawnFor(limit, processes);
  if (aUpstream.m_drawnFor != drawnFor) {
    PermitTerms const terms{ UsedRequestLimit(limit).Value() * base::ToSeconds(kWindow),
                             limit.Value() * kBoundSeconds * kBoundFactor + kBoundMore,
                             kExcessChance };
    aUpstream.m_draw = PermitDraw(terms, processes);
    aUpstream.m_drawnFor = drawnFor;
  }
  auto const number = static_cast<std::uint64_t>((aNow - aUpstream.m_learnedAt) / kDrawTime);
  auto const permits = aUpstream.m_draw.PermitsFor(Draw(aStart, number + 1));
  aUpstream.m_pacer.SetRate(base::RequestsPerSecond(permits / base::ToSeconds(kWindow)), aNow);
}

unsigned RequestLimiter::PermitsNeeded(Upstream const& aUpstream,
                                       std::optional<RequestLimitPlace> const& aPlace)
{
  auto const& line = aUpstream.m_line;
  auto const place = aPlace ? std::ranges::find(line, aPlace->m_number) : line.end();
  auto const ahead = static_cast<unsigned>(place - line.begin());
  return aUpstream.m_reserved + ahead + 1;
}

bool RequestLimiter::IsOpen(UpstreamStart const& aStart,
                            std::optional<RequestLimitPlace> const& aPlace,
                            base::Instant aNow) const
{
  auto const* const upstream = FindLimited(aStart);
  if (!upstream) {
    return true;
  }
  auto const needed = PermitsNeeded(*upstream, aPlace);
  return HasPlanner(*upstream, aNow) ? CountPermits(*upstream, aNow) >= needed
                                     : upstream->m_pacer.Has(needed, aNow);
}

std::optional<base::Instant> RequestLimiter::OpensAt(UpstreamStart const& aStart,
                                                     std::optional<RequestLimitPlace> const& aPlace,
                                                     base::Instant aNow) const
{
  auto const* const upstream = FindLimited(aStart);
  if (!upstream || IsOpen(aStart, aPlace, aNow)) {
    return aNow;
  }
  auto const needed = PermitsNeeded(*upstream, aPlace);
  return HasPlanner(*upstream, aNow) ? ExpectedPermitAt(*upstream, needed, aNow)
                                     : upstream->m_pacer.HasAt(needed, aNow);
}

RequestLimitPlace RequestLimiter::Join(UpstreamStart const& aStart)
{
  RequestLimitPlace place{ aStart, ++m_lastPlace };
  if (auto* const upstream = FindLimited(aStart)) {
    upstream->m_line.push_back(place.m_number);
  }
  return place;
}

void RequestLimiter::Leave(RequestLimitPlace const& aPlace)
{
  if (auto const found = m_upstreams.find(aPlace.m_start); found != m_upstreams.end()) {
    std::erase(found->second.m_line, aPlace.m_number);
  }
}

void RequestLimiter::Reserve(UpstreamStart const& aStart)
{
  if (auto* const upstream = FindLimited(aStart)) {
    ++upstream->m_reserved;
  }
}

bool RequestLimiter::Use(UpstreamStart const& aStart, base::Instant aNow)
{
  auto* const upstream = FindLimited(aStart);
  if (!upstream) {
    Return(aStart);
    return true;
  }
  if (HasPlanner(*upstream, aNow)) {
    std::erase_if(upstream->m_permits, [aNow](base::Instant aEnd) { return aEnd <= aNow; });
    if (upstream->m_permits.empty()) {
      return false;
    }
    upstream->m_permits.pop_front();
  } else if (!upstream->m_pacer.Has(1, aNow)) {
    return false;
  } else {
    upstream->m_pacer.Take(aNow);
  }
  Return(aStart);
  return true;
}

void RequestLimiter::Return(UpstreamStart const& aStart)
{
  // The limit may have ended since the attempt began.
  auto const found = m_upstreams.find(aStart);
  if (found != m_upstreams.end() && found->second.m_reserved > 0) {
    --found->second.m_reserved;
  }
}

std::vector<RequestLimitChange> RequestLimiter::TakeChanges(base::Instant aNow)
{
  std::vector<RequestLimitChange> changes;
  for (auto& [start, upstream] : m_upstreams) {
    auto const before = std::exchange(upstream.m_reported, upstream.m_limit);
    if (before != upstream.m_limit) {
      changes.push_back({ start, before, upstream.m_limit, upstream.m_source,
                          aNow - upstream.m_heardAt, upstream.m_pacer.Rate(),
                          HasPlanner(upstream, aNow) });
    }
  }
  return changes;
}

void RequestLimiter::Tick(std::function<bool(UpstreamStart const&)> const& aIsKnown,
                          base::Instant aNow)
{
  std::erase_if(m_upstreams, [&](auto const& aItem) {
    auto const& [start, upstream] = aItem;
    return upstream.m_limit ? aNow - upstream.m_heardAt >= kGoneMemory && !aIsKnown(start)
                            : aNow - upstream.m_endedAt >= kEndTime;
  });
  for (auto& [start, upstream] : m_upstreams) {
    UpdateRate(start, upstream, aNow);
  }
}

} // namespace sardinefold::engine
