#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinefold::agent {

struct SuspectLimits
{
  /// Different upstreams that died with the request in flight.
  std::size_t m_upstreams = 2;
  /// How long a death counts.
  base::Duration m_memory = std::chrono::minutes(10);
  /// How long a fingerprint is refused.
  base::Duration m_refusal = std::chrono::minutes(10);
  /// Most fingerprints remembered; the oldest are dropped.
  std::size_t m_maximum = 10'000;
};

/// News for the other entries: an upstream died with this request in flight.
/// Its age travels, since instants of two processes are not comparable.
struct SuspectNews
{
  base::FingerprintId m_fingerprint;
  base::UpstreamId m_upstream;
  base::Duration m_age{};
};

/// Finds requests that crash the upstreams that run them. A fingerprint that
/// was in flight on enough different upstreams as they died is refused for a
/// while, also when its caller sends it again or through another entry. One
/// death alone condemns nobody: whatever ran beside the culprit is marked too.
class SuspectRegistry
{
public:
  explicit SuspectRegistry(SuspectLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// A request went to an upstream, or its attempt there ended in any way but
  /// the upstream's death.
  void NoteSent(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream);
  void NoteEnded(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream);
  /// The upstream died. Gives the news to tell the other entries.
  std::vector<SuspectNews> NoteDeath(base::UpstreamId const& aUpstream, base::Instant aNow);
  /// An upstream answered a request that was sent at the given time: what was
  /// taken for its death before was only a connection that broke.
  void OnAlive(base::UpstreamId const& aUpstream, base::Instant aSentAt);
  /// The request was served, so that it does not crash those that run it.
  void OnServed(base::FingerprintId const& aFingerprint) { m_deaths.erase(aFingerprint); }
  /// News of another entry. False if nothing in it is new.
  bool OnNews(SuspectNews const& aNews, base::Instant aNow);

  /// How long the request is refused yet; empty if it may run.
  std::optional<base::Duration> RefusedFor(base::FingerprintId const& aFingerprint,
                                           base::Instant aNow) const;
  /// Whether the request has died with one upstream already: it then should
  /// not run beside requests of others, if there is a choice.
  bool IsSuspect(base::FingerprintId const& aFingerprint, base::Instant aNow) const;
  /// Everything known, for an entry that has just joined.
  std::vector<SuspectNews> All(base::Instant aNow) const;
  void Forget(base::Instant aNow);

private:
  using Deaths = std::map<base::UpstreamId, base::Instant>;

  std::size_t RecentDeaths(Deaths const& aDeaths, base::Instant aNow) const;
  bool Mark(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream,
            base::Instant aAt);
  void DropOldest();

  SuspectLimits m_limits;
  std::map<base::UpstreamId, std::multiset<base::FingerprintId>> m_inFlight;
  std::map<base::FingerprintId, Deaths> m_deaths;
};

} // namespace sardinefold::agent
