#include "Agent/SuspectRegistry.h"

#include <algorithm>
#include <iterator>

namespace sardinefold::agent {

namespace {

/// News of one death that comes by several ways differs in age by what the
/// ways take; taken for another death, it would go round for ever.
constexpr base::Duration kSameDeath = std::chrono::seconds(30);

base::Instant LatestOf(std::map<base::UpstreamId, base::Instant> const& aDeaths)
{
  auto latest = aDeaths.begin()->second;
  for (auto const& [upstream, at] : aDeaths) {
    latest = std::max(latest, at);
  }
  return latest;
}

} // namespace

void SuspectRegistry::NoteSent(base::FingerprintId const& aFingerprint,
                               base::UpstreamId const& aUpstream)
{
  m_inFlight[aUpstream].insert(aFingerprint);
}

void SuspectRegistry::NoteEnded(base::FingerprintId const& aFingerprint,
                                base::UpstreamId const& aUpstream)
{
  auto const found = m_inFlight.find(aUpstream);
  if (found == m_inFlight.end()) {
    return;
  }
  auto const one = found->second.find(aFingerprint);
  if (one != found->second.end()) {
    found->second.erase(one);
  }
  if (found->second.empty()) {
    m_inFlight.erase(found);
  }
}

std::vector<SuspectNews> SuspectRegistry::NoteDeath(base::UpstreamId const& aUpstream,
                                                    base::Instant aNow)
{
  std::vector<SuspectNews> news;
  auto const found = m_inFlight.find(aUpstream);
  if (found == m_inFlight.end()) {
    return news;
  }
  for (auto const& fingerprint : found->second) {
    if (Mark(fingerprint, aUpstream, aNow)) {
      news.push_back({ fingerprint, aUpstream, base::Duration::zero() });
    }
  }
  m_inFlight.erase(found);
  return news;
}

void SuspectRegistry::OnAlive(base::UpstreamId const& aUpstream, base::Instant aSentAt)
{
  for (auto entry = m_deaths.begin(); entry != m_deaths.end();) {
    auto& deaths = entry->second;
    auto const death = deaths.find(aUpstream);
    if (death != deaths.end() && death->second < aSentAt) {
      deaths.erase(death);
    }
    entry = deaths.empty() ? m_deaths.erase(entry) : std::next(entry);
  }
}

bool SuspectRegistry::OnNews(SuspectNews const& aNews, base::Instant aNow)
{
  if (aNews.m_age >= m_limits.m_memory || aNews.m_age < base::Duration::zero()) {
    return false;
  }
  return Mark(aNews.m_fingerprint, aNews.m_upstream, aNow - aNews.m_age);
}

bool SuspectRegistry::Mark(base::FingerprintId const& aFingerprint,
                           base::UpstreamId const& aUpstream, base::Instant aAt)
{
  auto const [position, isNew] = m_deaths[aFingerprint].try_emplace(aUpstream, aAt);
  if (!isNew && aAt - position->second < kSameDeath) {
    return false;
  }
  position->second = aAt;
  if (m_deaths.size() > m_limits.m_maximum) {
    DropOldest();
  }
  return true;
}

void SuspectRegistry::DropOldest()
{
  auto const oldest = std::ranges::min_element(m_deaths, [](auto const& aLeft, auto const& aRight) {
    return LatestOf(aLeft.second) < LatestOf(aRight.second);
  });
  m_deaths.erase(oldest);
}

std::size_t SuspectRegistry::RecentDeaths(Deaths const& aDeaths, base::Instant aNow) const
{
  // Deaths count together if they lie within the memory of the latest.
  auto const since = LatestOf(aDeaths) - m_limits.m_memory;
  bool const isOver = aNow - LatestOf(aDeaths) >= std::max(m_limits.m_memory, m_limits.m_refusal);
  if (isOver) {
    return 0;
  }
  return static_cast<std::size_t>(
    std::ranges::count_if(aDeaths, [&](auto const& aDeath) { return aDeath.second > since; }));
}

std::optional<base::Duration> SuspectRegistry::RefusedFor(base::FingerprintId const& aFingerprint,
                                                          base::Instant aNow) const
{
  auto const found = m_deaths.find(aFingerprint);
  if (found == m_deaths.end() || RecentDeaths(found->second, aNow) < m_limits.m_upstreams) {
    return std::nullopt;
  }
  auto const left = LatestOf(found->second) + m_limits.m_refusal - aNow;
  if (left <= base::Duration::zero()) {
    return std::nullopt;
  }
  return left;
}

bool SuspectRegistry::IsSuspect(base::FingerprintId const& aFingerprint, base::Instant aNow) const
{
  auto const found = m_deaths.find(aFingerprint);
  return found != m_deaths.end() && RecentDeaths(found->second, aNow) > 0;
}

std::vector<SuspectNews> SuspectRegistry::All(base::Instant aNow) const
{
  std::vector<SuspectNews> all;
  for (auto const& [fingerprint, deaths] : m_deaths) {
    for (auto const& [upstream, at] : deaths) {
      if (aNow - at < m_limits.m_memory) {
        all.push_back({ fingerprint, upstream, aNow - at });
      }
    }
  }
  return all;
}

void SuspectRegistry::Forget(base::Instant aNow)
{
  std::erase_if(m_deaths,
                [&](auto const& aEntry) { return RecentDeaths(aEntry.second, aNow) == 0; });
}

} // namespace sardinefold::agent
