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
  /// Number of different upstreams that crashed with the request in flight.
  std::size_t m_upstreams = 2;
  /// How long a crash counts.
  base::Duration m_retention = std::chrono::minutes(10);
  /// How long requests with a suspect fingerprint are refused.
  base::Duration m_refusal = std::chrono::minutes(10);
  /// Maximum number of fingerprints kept; the oldest are evicted.
  std::size_t m_maximum = 10'000;
};

/// Report to the other entries that an upstream crashed with this request in
/// flight. It carries the age of the crash, since instants of two processes are
/// not comparable.
struct CrashReport
{
  base::FingerprintId m_fingerprint;
  base::UpstreamId m_upstream;
  base::Duration m_age{};
};

/// Detects requests that crash the upstreams that run them. A fingerprint that
/// was in flight on enough different upstreams when they crashed is refused for
/// a while, also if its caller repeats it or sends it through another entry. A
/// single crash does not lead to a refusal, since it marks all requests that
/// were running on the upstream.
class SuspectRegistry
{
public:
  explicit SuspectRegistry(SuspectLimits aLimits)
    : m_limits(aLimits)
  {
  }

  /// Called when a request is sent to an upstream, and when its attempt there
  /// ends in any way except a crash of the upstream.
  void OnSent(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream);
  void OnEnded(base::FingerprintId const& aFingerprint, base::UpstreamId const& aUpstream);
  /// Called when an upstream crashes. Returns the reports for the other
  /// entries.
  std::vector<CrashReport> OnCrash(base::UpstreamId const& aUpstream, base::Instant aNow);
  /// Called when an upstream responds to a request that was sent at aSentAt.
  /// Discards crashes recorded before that time: only the connection had
  /// failed.
  void OnResponse(base::UpstreamId const& aUpstream, base::Instant aSentAt);
  /// Called when the request was served, which shows that it does not crash its
  /// upstreams.
  void OnServed(base::FingerprintId const& aFingerprint) { m_crashes.erase(aFingerprint); }
  /// Handles the report of another entry. Returns false if it contains nothing
  /// new.
  bool OnCrashReport(CrashReport const& aReport, base::Instant aNow);

  /// Returns for how much longer the request is refused; empty if it may run.
  std::optional<base::Duration> RefusedFor(base::FingerprintId const& aFingerprint,
                                           base::Instant aNow) const;
  /// Whether the request was in flight during at least one crash. If there is a
  /// choice, it should not run beside requests of others.
  bool IsSuspect(base::FingerprintId const& aFingerprint, base::Instant aNow) const;
  /// Returns all reports, for an entry that has just joined.
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
