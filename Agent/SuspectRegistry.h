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
  /// How long a crash counts.
  base::Duration m_retention = std::chrono::minutes(10);
  /// How long a fingerprint is refused.
  base::Duration m_refusal = std::chrono::minutes(10);
  /// Most fingerprints remembered; the oldest are dropped.
  std::size_t m_maximum = 10'000;
};

/// News for the other entries: an upstream died with this request in flight.
/// Its age travels, since instants of two processes are not comparable.
struct CrashReport
{
  base::FingerprintId m_fingerprint;
  base::UpstreamId m_upstream;
  base::Duration m_age{};
};

/// Finds requests that crash the upstreams that run them. A fingerprint that
/// was in flight on enough different upstreams as they died is refused for a
/// while, also when its caller sends it again or through another entry. One
/// crash alone condemns nobody: whatever ran beside the culprit is marked too.
class SuspectRegistry
{
public:
  explicit SuspectRegistry(SuspectLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// A request went to an upstream, or its attempt there ended in any way but
  /// the upstream's crash.
  void OnSent(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream);
  void OnEnded(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream);
  /// The upstream died. Gives the reports to tell the other entries.
  std::vector<CrashReport> OnCrash(base::UpstreamId const& aUpstream, base::Instant aNow);
  /// An upstream answered a request that was sent at the given time: what was
  /// taken for its crash before was only a connection that broke.
  void OnResponse(base::UpstreamId const& aUpstream, base::Instant aSentAt);
  /// The request was served, so that it does not crash those that run it.
  void OnServed(base::FingerprintId const& aFingerprint) { m_crashes.erase(aFingerprint); }
  /// News of another entry. False if nothing in it is new.
  bool OnCrashReport(CrashReport const& aReport, base::Instant aNow);

  /// How long the request is refused yet; empty if it may run.
  std::optional<base::Duration> RefusedFor(base::FingerprintId const& aFingerprint,
                                           base::Instant aNow) const;
  /// Whether the request has died with one upstream already: it then should
  /// not run beside requests of others, if there is a choice.
  bool IsSuspect(base::FingerprintId const& aFingerprint, base::Instant aNow) const;
  /// Everything known, for an entry that has just joined.
  std::vector<CrashReport> All(base::Instant aNow) const;
  void DiscardExpired(base::Instant aNow);

private:
  using Crashes = std::map<base::UpstreamId, base::Instant>;

  std::size_t RecentCrashes(Crashes const& aCrashes, base::Instant aNow) const;
  bool RecordCrash(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream,
                   base::Instant aAt);
  void EvictOldest();

  SuspectLimits m_limits;
  std::map<base::UpstreamId, std::multiset<base::FingerprintId>> m_inFlight;
  std::map<base::FingerprintId, Crashes> m_crashes;
};

} // namespace sardinefold::agent
