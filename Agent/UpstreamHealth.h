#pragma once

#include "Base/Identifiers.h"
#include "Base/Time.h"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace sardinefold::agent {

/// Health of one upstream, as an entry observes it through its agent.
enum class HealthState
{
  Healthy,
  /// It failed recently but still gets requests.
  Suspected,
  /// It gets no requests until its ejection ends.
  Ejected,
  /// One request is admitted to test whether it has recovered.
  Probing,
  /// The platform lists its host as draining.
  Draining
};

std::string_view ToText(HealthState aState);

struct HealthLimits
{
  /// Consecutive failures after which an upstream is ejected.
  unsigned m_failures = 3;
  /// Duration of the first ejection; doubles with each further ejection without
  /// recovery.
  base::Duration m_ejection = std::chrono::seconds(1);
  base::Duration m_maximumEjection = std::chrono::seconds(30);
  /// Timeout after which a probe whose end was not reported no longer blocks
  /// the next one.
  base::Duration m_probe = std::chrono::seconds(30);
};

/// The health of one upstream.
class UpstreamHealth
{
public:
  explicit UpstreamHealth(HealthLimits aLimits);
  ~UpstreamHealth();
  UpstreamHealth(UpstreamHealth&&) noexcept;
  UpstreamHealth& operator=(UpstreamHealth&&) noexcept;

  void OnServed(base::Instant aNow);
  /// aMayEject is false while too many other upstreams are ejected; the
  /// upstream then stays suspected.
  void OnFailed(bool aMayEject, base::Instant aNow);
  /// A request ended in a way that says nothing about the upstream.
  void OnInconclusive() { m_probeEnd.reset(); }
  /// Applies the transitions that are due at aNow.
  void Tick(base::Instant aNow);
  void OnDraining();
  /// The platform no longer lists the host as draining.
  void OnReturned();

  /// Returns whether a request may be sent to the upstream. In the state
  /// Probing this is true once until the probe ends; the caller that gets true
  /// must send a request.
  bool TakeRequest(base::Instant aNow);
  /// Whether TakeRequest() would return true.
  bool IsOpen(base::Instant aNow) const;
  HealthState State() const;
  bool IsOutOfRotation() const;

private:
  class StateMachine;

  HealthLimits m_limits;
  std::unique_ptr<StateMachine> m_machine;
  unsigned m_failures = 0;
  base::Duration m_ejection;
  base::Instant m_ejectedUntil{};
  std::optional<base::Instant> m_probeEnd;
};

/// The health of all upstreams of one deployment. At most a given share of them
/// is out of rotation at once, since failures of many most likely have a common
/// cause that ejection does not fix.
class DeploymentHealth
{
public:
  /// aMaximumShare is from 0 to 1. Of several upstreams, one may always be out
  /// of rotation.
  DeploymentHealth(HealthLimits aLimits, double aMaximumShare);

  void Add(base::UpstreamId const& aUpstream);
  void Remove(base::UpstreamId const& aUpstream);
  void OnServed(base::UpstreamId const& aUpstream, base::Instant aNow);
  void OnFailed(base::UpstreamId const& aUpstream, base::Instant aNow);
  void OnInconclusive(base::UpstreamId const& aUpstream);
  void SetDraining(base::UpstreamId const& aUpstream, bool aIsDraining);
  /// False for an upstream that was not added.
  bool TakeRequest(base::UpstreamId const& aUpstream, base::Instant aNow);

  /// Returns the ejected and probing upstreams that may get no request now.
  std::vector<base::UpstreamId> Blocked(base::Instant aNow) const;
  std::size_t Ejected() const { return m_outOfRotation.size(); }
  std::optional<HealthState> StateOf(base::UpstreamId const& aUpstream) const;

private:
  bool MayEject(base::UpstreamId const& aUpstream) const;
  void UpdateRotation(base::UpstreamId const& aUpstream, UpstreamHealth const& aHealth);

  HealthLimits m_limits;
  double m_maximumShare;
  std::map<base::UpstreamId, UpstreamHealth> m_upstreams;
  /// Upstreams for which IsOutOfRotation() is true. They are few, so a choice
  /// need not check all upstreams.
  std::set<base::UpstreamId> m_outOfRotation;
};

} // namespace sardinefold::agent
