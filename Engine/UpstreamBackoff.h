#pragma once

#include "Base/Time.h"
#include "Engine/UpstreamNotice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sardinefold::engine {

/// A time in which an upstream wants no requests from this process.
struct Backoff
{
  base::Instant m_learnedAt{};
  base::Instant m_end{};
  /// While a trial request is unanswered, when another one may be sent.
  std::optional<base::Instant> m_trialEnd;
  /// Distinguishes the refusals of all upstreams; never 0.
  std::uint64_t m_revision = 0;

  /// When the next request may be sent.
  base::Instant OpensAt() const;
};

/// The upstreams that refused a request and asked for none for some time. After
/// that time one trial request is sent, and the others once it is answered.
class BackoffTable
{
public:
  /// Takes a refusal. aSpread, from 0 to 1, delays the end by a small part of the
  /// time, so that processes do not return at the same moment. Returns whether
  /// requests were allowed until now.
  bool OnRefused(UpstreamStart const& aStart, base::Duration aRetryAfter, double aSpread,
                 base::Instant aNow);
  Backoff const* Find(UpstreamStart const& aStart) const;
  /// Whether a request may be sent, at least as a trial.
  bool IsOpen(UpstreamStart const& aStart, base::Instant aNow) const;
  /// The latest refusal of the upstream; 0 if requests are not restricted.
  std::uint64_t Revision(UpstreamStart const& aStart) const;

  void OnTrialStarted(UpstreamStart const& aStart, base::Instant aNow);
  /// The trial request has ended without an answer that allows others.
  void OnTrialEnded(UpstreamStart const& aStart);
  /// The trial request has been answered: requests are no longer restricted.
  std::optional<Backoff> OnTrialAnswered(UpstreamStart const& aStart);
  /// Removes what has ended for upstreams that are no longer known, and returns it.
  std::vector<std::pair<UpstreamStart, Backoff>> Expire(
    std::function<bool(UpstreamStart const&)> const& aIsKnown, base::Instant aNow);

private:
  std::map<UpstreamStart, Backoff> m_backoffs;
  std::uint64_t m_lastRevision = 0;
};

} // namespace sardinefold::engine
