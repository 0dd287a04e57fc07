#pragma once

#include "Agent/Routing/RouteTypes.h"

#include <list>
#include <unordered_map>

namespace sardinefold::agent {

/// Which engines probably have a prompt's prefix in their cache. Built from
/// cache events, which come late and with gaps, and from where requests were
/// sent. Holds the prefixes that were used last.
class PrefixCacheEstimate
{
public:
  /// About 300 bytes each.
  static constexpr std::size_t kMaxPrefixes = 20'000;
  static constexpr std::size_t kMaxHoldersPerPrefix = 4;
  /// Time in which a cached prefix is evicted with a probability of 63%.
  static constexpr base::Duration kCacheLifetime = std::chrono::minutes(5);

  void OnStored(base::UpstreamId const& aUpstream, PrefixHash aPrefix, CacheEventNumber aNumber,
                base::Instant aNow);
  void OnEvicted(base::UpstreamId const& aUpstream, PrefixHash aPrefix, CacheEventNumber aNumber);
  /// A request with the prefix was sent there.
  void OnSent(base::UpstreamId const& aUpstream, PrefixHash aPrefix, base::Instant aNow);

  /// From 0 to 1.
  double Likelihood(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                    base::Instant aNow) const;
  /// Upstreams that may hold the prefix, at most kMaxHoldersPerPrefix.
  std::vector<base::UpstreamId> Holders(PrefixHash aPrefix) const;

private:
  struct Observation
  {
    base::UpstreamId m_upstream;
    base::Instant m_at;
    /// Gaps of the upstream's events that were known at the time.
    unsigned m_gaps;
  };
  struct Entry
  {
    std::vector<Observation> m_observations;
    std::list<std::uint64_t>::iterator m_use;
  };
  struct Stream
  {
    CacheEventNumber m_last;
    unsigned m_gaps = 0;
  };

  void OnEvent(base::UpstreamId const& aUpstream, CacheEventNumber aNumber);
  Entry& Touch(PrefixHash aPrefix);
  void RecordObservation(base::UpstreamId const& aUpstream, PrefixHash aPrefix, base::Instant aNow);
  unsigned GapsOf(base::UpstreamId const& aUpstream) const;

  std::unordered_map<std::uint64_t, Entry> m_prefixes;
  std::list<std::uint64_t> m_byUse;
  std::unordered_map<base::UpstreamId, Stream> m_streams;
};

} // namespace sardinefold::agent
