#pragma once

#include "Engine/EngineTypes.h"
#include "Engine/UpstreamNotice.h"
#include "Engine/WarmUpFleetSize.h"
#include "Engine/WarmUpShare.h"
#include "Engine/WarmUpTerms.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace sardinefold::engine {

/// How a process came to know a start of an upstream.
enum class StartKnowledge
{
  /// It was listed when this process first read the list.
  Earlier,
  /// It became known later.
  New
};

/// A warm-up that has begun or ended as this process sees it.
struct WarmUpChange
{
  UpstreamStart m_start;
  base::DeploymentId m_deployment;
  bool m_hasBegun = false;
  /// How much longer it lasts; zero once it has ended.
  base::Duration m_left{};
  /// Requests of this process within WarmUpShare::kWindow.
  unsigned m_permits = 0;
};

/// Holds this process's requests to upstreams that warm up to its share of what they
/// bear. Nobody is asked: the share follows from the number of processes.
///
/// Each attempt reserves a permit and uses it when its request is written, which may be
/// much later. An attempt that is not written returns it.
class WarmUpLimiter
{
public:
  /// aSeed makes this process's draws independent of those of others.
  explicit WarmUpLimiter(std::uint64_t aSeed)
    : m_seed(aSeed)
  {
  }

  /// Sets the deployments whose upstreams warm up.
  void SetTerms(std::map<base::DeploymentId, WarmUpTerms> aTerms);
  /// Takes a report of how many processes send requests.
  void OnProcessCount(unsigned aProcesses, base::Instant aNow);
  /// Takes an entry of the list. It may prolong a warm-up, but does not shorten it.
  void OnListed(UpstreamEntry const& aEntry, StartKnowledge aKnowledge, base::Instant aNow);
  /// The upstream is no longer known.
  void OnGone(InstanceId const& aInstance, base::Instant aNow);
  /// Another process has seen that the upstream started again, which the list may not
  /// tell yet. aStartedAt is in Unix milliseconds.
  void OnStartSeen(InstanceId const& aInstance, std::int64_t aStartedAt, base::Instant aNow);

  bool IsWarmingUp(InstanceId const& aInstance, base::Instant aNow) const;
  /// Whether this process may choose the upstream for a request.
  bool IsOpen(InstanceId const& aInstance, base::Instant aNow) const;
  /// When it may do so at the earliest, later than aNow, if it may not now.
  base::Instant OpensAt(InstanceId const& aInstance, base::Instant aNow) const;

  /// An attempt begins at the upstream.
  void Reserve(InstanceId const& aInstance);
  /// The attempt's request is about to be written. aUsedAt is the result of an earlier
  /// call for the same attempt, whose connection was closed before the request was
  /// written. Returns the time of use, or nothing if the request must not be written.
  std::optional<base::Instant> Use(InstanceId const& aInstance,
                                   std::optional<base::Instant> aUsedAt, base::Instant aNow);
  /// The attempt ended without a use.
  void Return(InstanceId const& aInstance);

  /// The warm-ups that began or ended since the last call.
  std::vector<WarmUpChange> TakeChanges(base::Instant aNow);
  /// Forgets upstreams that have been gone for long.
  void Expire(base::Instant aNow);

private:
  struct Upstream
  {
    UpstreamStart m_start;
    base::DeploymentId m_deployment;
    /// The start that the list tells, which may be an earlier one.
    std::int64_t m_listedStart = 0;
    double m_draw = 0;
    /// The end of the warm-up according to the upstream itself.
    base::Instant m_listedEnd{};
    /// When a start became known whose warm-up the list does not tell.
    std::optional<base::Instant> m_seenAt;
    /// When this process's latest requests were written.
    std::deque<base::Instant> m_sentAt;
    /// Attempts whose requests are not written yet.
    unsigned m_reserved = 0;
  };

  void OnStart(Upstream& aUpstream, UpstreamStart aStart);
  void UpdateShares();
  Upstream const* FindLimited(InstanceId const& aInstance) const;
  base::Instant EndOf(Upstream const& aUpstream) const;
  unsigned PermitsOf(Upstream const& aUpstream, base::Instant aNow) const;

  std::uint64_t m_seed;
  WarmUpFleetSize m_fleetSize;
  std::map<base::DeploymentId, WarmUpTerms> m_terms;
  std::map<base::DeploymentId, WarmUpShare> m_shares;
  std::map<InstanceId, Upstream> m_upstreams;
  /// Upstreams whose warm-up may have begun or may end, and whether its beginning was
  /// reported.
  std::map<InstanceId, bool> m_changing;
  /// Since when upstreams are no longer known.
  std::map<InstanceId, base::Instant> m_gone;
};

} // namespace sardinefold::engine
