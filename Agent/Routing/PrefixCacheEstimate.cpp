#include "Agent/Routing/PrefixCacheEstimate.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::agent {

namespace {

/// Factor per gap in the events: a gap may have hidden the eviction of any
/// prefix observed before it.
constexpr double kConfidencePerGap = 0.7;

} // namespace

void PrefixCacheEstimate::OnEvent(base::UpstreamId const& aUpstream, CacheEventNumber aNumber)
{
  Stream& stream = m_streams[aUpstream];
  bool const isFirst = stream.m_last == CacheEventNumber();
  if (!isFirst && aNumber > stream.m_last.Next()) {
    ++stream.m_gaps;
  }
  stream.m_last = std::max(stream.m_last, aNumber);
}

PrefixCacheEstimate::Entry& PrefixCacheEstimate::Touch(PrefixHash aPrefix)
{
  auto const [found, isNew] = m_prefixes.try_emplace(aPrefix.Value());
  Entry& entry = found->second;
  if (!isNew) {
    m_byUse.splice(m_byUse.begin(), m_byUse, entry.m_use);
    return entry;
  }
  m_byUse.push_front(aPrefix.Value());
  entry.m_use = m_byUse.begin();
  if (m_prefixes.size() > kMaxPrefixes) {
    m_prefixes.erase(m_byUse.back());
    m_byUse.pop_back();
  }
  return entry;
}

void PrefixCacheEstimate::RecordObservation(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                                            base::Instant aNow)
{
  Entry& entry = Touch(aPrefix);
  std::erase_if(entry.m_observations, [&aUpstream](Observation const& aObservation) {
    return aObservation.m_upstream == aUpstream;
  });
  if (entry.m_observations.size() >= kMaxHoldersPerPrefix) {
    entry.m_observations.erase(entry.m_observations.begin());
  }
  entry.m_observations.push_back({ aUpstream, aNow, GapsOf(aUpstream) });
}

void PrefixCacheEstimate::OnStored(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                                   CacheEventNumber aNumber, base::Instant aNow)
{
  OnEvent(aUpstream, aNumber);
  RecordObservation(aUpstream, aPrefix, aNow);
}

void PrefixCacheEstimate::OnEvicted(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                                    CacheEventNumber aNumber)
{
  OnEvent(aUpstream, aNumber);
  auto const found = m_prefixes.find(aPrefix.Value());
  if (found == m_prefixes.end()) {
    return;
  }
  std::erase_if(found->second.m_observations, [&aUpstream](Observation const& aObservation) {
    return aObservation.m_upstream == aUpstream;
  });
}

void PrefixCacheEstimate::OnSent(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                                 base::Instant aNow)
{
  RecordObservation(aUpstream, aPrefix, aNow);
}

unsigned PrefixCacheEstimate::GapsOf(base::UpstreamId const& aUpstream) const
{
  auto const found = m_streams.find(aUpstream);
  return found == m_streams.end() ? 0 : found->second.m_gaps;
}

double PrefixCacheEstimate::Likelihood(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                                       base::Instant aNow) const
{
  auto const found = m_prefixes.find(aPrefix.Value());
  if (found == m_prefixes.end()) {
    return 0;
  }
  auto const& observations = found->second.m_observations;
  auto const observation = std::ranges::find(observations, aUpstream, &Observation::m_upstream);
  if (observation == observations.end()) {
    return 0;
  }
  double const age = base::ToSeconds(aNow - observation->m_at) / base::ToSeconds(kCacheLifetime);
  unsigned const gaps = GapsOf(aUpstream) - observation->m_gaps;
  return std::exp(-age) * std::pow(kConfidencePerGap, gaps);
}

std::vector<base::UpstreamId> PrefixCacheEstimate::Holders(PrefixHash aPrefix) const
{
  std::vector<base::UpstreamId> holders;
  auto const found = m_prefixes.find(aPrefix.Value());
  if (found == m_prefixes.end()) {
    return holders;
  }
  for (Observation const& observation : found->second.m_observations) {
    holders.push_back(observation.m_upstream);
  }
  return holders;
}

} // namespace sardinefold::agent
