#pragma once

#include "Agent/Routing/RouteTypes.h"

#include <list>
#include <unordered_map>

namespace sardinefold::agent {

/// Estimates which engines have a prompt's prefix in their cache. The estimate
/// is based on cache events, which arrive late and with gaps, and on the
/// upstreams that requests were sent to. Keeps the most recently used prefixes.
class PrefixCacheEstimate
{
public:
  /// Each prefix takes about 300 bytes.
  static constexpr std::size_t kMaxPrefixes = 20'000;
  static constexpr std::size_t kMaxHoldersPerPrefix = 4;
  /// Time after which a cached prefix has been evicted with a probability of
  /// 63%.
  static constexpr base::Duration kCacheLifetime = std::chrono::minutes(5);

  void OnStored(base::UpstreamId const& aUpstream, PrefixHash aPrefix, CacheEventNumber aNumber,
                base::Instant aNow);
  void OnEvicted(base::UpstreamId const& aUpstream, PrefixHash aPrefix, CacheEventNumber aNumber);
  /// Called when a request with the prefix is sent to the upstream.
  void OnSent(base::UpstreamId const& aUpstream, PrefixHash aPrefix, base::Instant aNow);

  /// Returns the probability, from 0 to 1, that the upstream has the prefix
  /// cached.
  double Likelihood(base::UpstreamId const& aUpstream, PrefixHash aPrefix,
                    base::Instant aNow) const;
  /// Returns the upstreams that may hold the prefix, at most
  /// kMaxHoldersPerPrefix.
  std::vector<base::UpstreamId> Holders(PrefixHash aPrefix) const;

private:
  struct Observation
  {
    base::UpstreamId m_upstream;
    base::Instant m_at;
    /// Number of gaps in the upstream's events that were known at the time.
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
