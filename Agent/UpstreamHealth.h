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

/// Where one upstream stands, as an entry sees it through its agent.
enum class HealthState
{
  Healthy,
  /// It failed lately; it gets requests still.
  Suspected,
  /// It gets no requests until its time is over.
  Ejected,
  /// One request is let through to see whether it has recovered.
  Probing,
  /// The platform lists its host as leaving.
  Draining
};

std::string_view ToText(HealthState aState);

struct HealthLimits
{
  /// Failures in a row after which an upstream is to be ejected.
  unsigned m_failures = 3;
  /// First time of ejection; doubles with each that follows without recovery.
  base::Duration m_ejection = std::chrono::seconds(1);
  base::Duration m_maximumEjection = std::chrono::seconds(30);
  /// A probe whose end was never told counts as failed after this.
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
  /// aMayEject is false while too many others are ejected: the upstream then
  /// stays suspected.
  void OnFailed(bool aMayEject, base::Instant aNow);
  /// A request ended in a way that tells nothing of the upstream.
  void OnInconclusive() { m_probeEnd.reset(); }
  /// Time passed.
  void Tick(base::Instant aNow);
  void OnDraining();
  /// The host is listed as live again.
  void OnReturned();

  /// Whether a request may go to it. In the state Probing that is true once,
  /// until the probe's end; the caller that takes it must send.
  bool TakeRequest(base::Instant aNow);
  /// Whether TakeRequest() would be true.
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

/// The health of all upstreams of one deployment. Never more than a share of
/// them is out at once, since failures of many have most likely one cause that
/// ejection does not cure.
class DeploymentHealth
{
public:
  /// aMaximumShare is from 0 to 1; one upstream of several may always be out.
  DeploymentHealth(HealthLimits aLimits, double aMaximumShare);

  void Add(base::UpstreamId const& aUpstream);
  void Remove(base::UpstreamId const& aUpstream);
  void OnServed(base::UpstreamId const& aUpstream, base::Instant aNow);
  void OnFailed(base::UpstreamId const& aUpstream, base::Instant aNow);
  void OnInconclusive(base::UpstreamId const& aUpstream);
  void SetDraining(base::UpstreamId const& aUpstream, bool aIsDraining);
  /// False for an upstream that was not added.
  bool TakeRequest(base::UpstreamId const& aUpstream, base::Instant aNow);

  /// The ejected and probing upstreams that may get no request now.
  std::vector<base::UpstreamId> Blocked(base::Instant aNow) const;
  std::size_t Ejected() const { return m_outOfRotation.size(); }
  std::optional<HealthState> StateOf(base::UpstreamId const& aUpstream) const;

private:
  bool MayEject(base::UpstreamId const& aUpstream) const;
  void UpdateRotation(base::UpstreamId const& aUpstream, UpstreamHealth const& aHealth);

  HealthLimits m_limits;
  double m_maximumShare;
  std::map<base::UpstreamId, UpstreamHealth> m_upstreams;
  /// Those for which IsOutOfRotation() holds; few, so that a choice need not ask all.
  std::set<base::UpstreamId> m_outOfRotation;
};

} // namespace sardinefold::agent
