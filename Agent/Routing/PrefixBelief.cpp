#include "Agent/Routing/PrefixBelief.h"

#include <algorithm>
#include <cmath>

namespace sardinefold::agent {

namespace {

/// A gap may have hidden the eviction of any prefix seen before it.
constexpr double kDoubtOfOneGap = 0.7;

} // namespace

void PrefixBelief::NoteEvent(base::UpstreamId const& aUpstream, CacheEventNumber aNumber)
{
  Stream& stream = m_streams[aUpstream];
  bool const isFirst = stream.m_last == CacheEventNumber();
  if (!isFirst && aNumber > stream.m_last.Next()) {
    ++stream.m_gaps;
  }
  stream.m_last = std::max(stream.m_last, aNumber);
}

PrefixBelief::Entry& PrefixBelief::Touch(PrefixHash aPrefix)
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

void PrefixBelief::See(base::UpstreamId const& aUpstream, PrefixHash aPrefix, base::Instant aNow)
{
  Entry& entry = Touch(aPrefix);
  std::erase_if(entry.m_sightings, [&aUpstream](Sighting const& aSighting) {
    return aSighting.m_upstream == aUpstream;
  });
  if (entry.m_sightings.size() >= kMaxHoldersOfOne) {
    entry.m_sightings.erase(entry.m_sightings.begin());
  }
  entry.m_sightings.push_back({ aUpstream, aNow, GapsOf(aUpstream) });
}

void PrefixBelief::OnStored(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                            CacheEventNumber aNumber, base::Instant aNow)
{
  NoteEvent(aUpstream, aNumber);
  See(aUpstream, aPrefix, aNow);
}

void PrefixBelief::OnEvicted(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                             CacheEventNumber aNumber)
{
  NoteEvent(aUpstream, aNumber);
  auto const found = m_prefixes.find(aPrefix.Value());
  if (found == m_prefixes.end()) {
    return;
  }
  std::erase_if(found->second.m_sightings, [&aUpstream](Sighting const& aSighting) {
    return aSighting.m_upstream == aUpstream;
  });
}

void PrefixBelief::OnSent(base::UpstreamId const& aUpstream, PrefixHash aPrefix, base::Instant aNow)
{
  See(aUpstream, aPrefix, aNow);
}

unsigned PrefixBelief::GapsOf(base::UpstreamId const& aUpstream) const
{
  auto const found = m_streams.find(aUpstream);
  return found == m_streams.end() ? 0 : found->second.m_gaps;
}

double PrefixBelief::Likelihood(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                                base::Instant aNow) const
{
  auto const found = m_prefixes.find(aPrefix.Value());
  if (found == m_prefixes.end()) {
    return 0;
  }
  auto const& sightings = found->second.m_sightings;
  auto const sighting = std::ranges::find(sightings, aUpstream, &Sighting::m_upstream);
  if (sighting == sightings.end()) {
    return 0;
  }
  double const age = base::ToSeconds(aNow - sighting->m_at) / base::ToSeconds(kCacheLife);
  unsigned const gaps = GapsOf(aUpstream) - sighting->m_gaps;
  return std::exp(-age) * std::pow(kDoubtOfOneGap, gaps);
}

std::vector<base::UpstreamId> PrefixBelief::Holders(PrefixHash aPrefix) const
{
  std::vector<base::UpstreamId> holders;
  auto const found = m_prefixes.find(aPrefix.Value());
  if (found == m_prefixes.end()) {
    return holders;
  }
  for (Sighting const& sighting : found->second.m_sightings) {
    holders.push_back(sighting.m_upstream);
  }
  return holders;
}

} // namespace sardinefold::agent
