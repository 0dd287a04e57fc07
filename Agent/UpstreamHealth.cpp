#include "Agent/UpstreamHealth.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>

namespace sardinefold::agent {

namespace {

namespace front = boost::msm::front;
using front::none;
using front::Row;

struct Served
{};
struct Failed
{};
struct FailedTooOften
{};
struct EjectionExpired
{};
struct Drain
{};
struct Return
{};

struct HealthFront : front::state_machine_def<HealthFront>
{
  struct Healthy : front::state<>
  {};
  struct Suspected : front::state<>
  {};
  struct Ejected : front::state<>
  {};
  struct Probing : front::state<>
  {};
  struct Draining : front::state<>
  {};
  using initial_state = Healthy;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Healthy,   Failed,          Suspected, none, none>,
    Row<Healthy,   FailedTooOften,  Ejected,   none, none>,
    Row<Healthy,   Drain,           Draining,  none, none>,
    Row<Suspected, Served,          Healthy,   none, none>,
    Row<Suspected, FailedTooOften,  Ejected,   none, none>,
    Row<Suspected, Drain,           Draining,  none, none>,
    Row<Ejected,   EjectionExpired, Probing,   none, none>,
    Row<Ejected,   Drain,           Draining,  none, none>,
    Row<Probing,   Served,          Healthy,   none, none>,
    Row<Probing,   Failed,          Ejected,   none, none>,
    Row<Probing,   FailedTooOften,  Ejected,   none, none>,
    Row<Probing,   Drain,           Draining,  none, none>,
    Row<Draining,  Return,          Suspected, none, none>
  >;
  // clang-format on

  /// Events without a row change nothing: the end of a request that was sent
  /// before an ejection says nothing about the time after it.
  template<typename Event, typename Fsm>
  void no_transition(Event const&, Fsm&, int)
  {
  }
};

} // namespace

class UpstreamHealth::StateMachine : public boost::msm::back::state_machine<HealthFront>
{};

std::string_view ToText(HealthState aState)
{
  switch (aState) {
    case HealthState::Healthy:
      return "healthy";
    case HealthState::Suspected:
      return "suspected";
    case HealthState::Ejected:
      return "ejected";
    case HealthState::Probing:
      return "probing";
    case HealthState::Draining:
      return "leaving";
  }
  return "";
}

UpstreamHealth::UpstreamHealth(HealthLimits aLimits)
  : m_limits(aLimits)
  , m_machine(std::make_unique<StateMachine>())
  , m_ejection(aLimits.m_ejection)
{
  m_machine->start();
}

UpstreamHealth::~UpstreamHealth() = default;
UpstreamHealth::UpstreamHealth(UpstreamHealth&&) noexcept = default;
UpstreamHealth& UpstreamHealth::operator=(UpstreamHealth&&) noexcept = default;

HealthState UpstreamHealth::State() const
{
  // The library numbers the states by their first appearance as a source.
  return static_cast<HealthState>(m_machine->current_state()[0]);
}

bool UpstreamHealth::IsOutOfRotation() const
{
  return State() == HealthState::Ejected || State() == HealthState::Probing;
}

void UpstreamHealth::OnServed(base::Instant aNow)
{
  Tick(aNow);
  if (State() == HealthState::Ejected) {
    return;
  }
  m_failures = 0;
  m_ejection = m_limits.m_ejection;
  m_probeEnd.reset();
  m_machine->process_event(Served{});
}

void UpstreamHealth::OnFailed(bool aMayEject, base::Instant aNow)
{
  Tick(aNow);
  auto const before = State();
  ++m_failures;
  m_probeEnd.reset();
  bool const isTooOften = m_failures >= m_limits.m_failures && aMayEject;
  if (isTooOften) {
    m_machine->process_event(FailedTooOften{});
  } else {
    m_machine->process_event(Failed{});
  }
  bool const isNewlyEjected = State() == HealthState::Ejected && before != HealthState::Ejected;
  if (isNewlyEjected) {
    m_ejectedUntil = aNow + m_ejection;
    m_ejection = std::min(2 * m_ejection, m_limits.m_maximumEjection);
  }
}

void UpstreamHealth::Tick(base::Instant aNow)
{
  if (State() == HealthState::Ejected && aNow >= m_ejectedUntil) {
    m_machine->process_event(EjectionExpired{});
  }
  if (m_probeEnd && aNow >= *m_probeEnd) {
    m_probeEnd.reset();
  }
}

void UpstreamHealth::OnDraining()
{
  m_probeEnd.reset();
  m_machine->process_event(Drain{});
}

void UpstreamHealth::OnReturned()
{
  m_machine->process_event(Return{});
}

bool UpstreamHealth::IsOpen(base::Instant aNow) const
{
  switch (State()) {
    case HealthState::Healthy:
    case HealthState::Suspected:
      return true;
    case HealthState::Ejected:
      return aNow >= m_ejectedUntil;
    case HealthState::Probing:
      return !m_probeEnd || aNow >= *m_probeEnd;
    case HealthState::Draining:
      return false;
  }
  return false;
}

bool UpstreamHealth::TakeRequest(base::Instant aNow)
{
  Tick(aNow);
  switch (State()) {
    case HealthState::Healthy:
    case HealthState::Suspected:
      return true;
    case HealthState::Ejected:
    case HealthState::Draining:
      return false;
    case HealthState::Probing:
      break;
  }
  if (m_probeEnd) {
    return false;
  }
  m_probeEnd = aNow + m_limits.m_probe;
  return true;
}

DeploymentHealth::DeploymentHealth(HealthLimits aLimits, double aMaximumShare)
  : m_limits(aLimits)
  , m_maximumShare(aMaximumShare)
{
}

void DeploymentHealth::Add(base::UpstreamId const& aUpstream)
{
  m_upstreams.try_emplace(aUpstream, m_limits);
}

void DeploymentHealth::Remove(base::UpstreamId const& aUpstream)
{
  m_upstreams.erase(aUpstream);
  m_outOfRotation.erase(aUpstream);
}

void DeploymentHealth::UpdateRotation(base::UpstreamId const& aUpstream,
                                      UpstreamHealth const& aHealth)
{
  if (aHealth.IsOutOfRotation()) {
    m_outOfRotation.insert(aUpstream);
  } else {
    m_outOfRotation.erase(aUpstream);
  }
}

std::vector<base::UpstreamId> DeploymentHealth::Blocked(base::Instant aNow) const
{
  std::vector<base::UpstreamId> blocked;
  for (auto const& upstream : m_outOfRotation) {
    if (!m_upstreams.at(upstream).IsOpen(aNow)) {
      blocked.push_back(upstream);
    }
  }
  return blocked;
}

void DeploymentHealth::OnInconclusive(base::UpstreamId const& aUpstream)
{
  auto const found = m_upstreams.find(aUpstream);
  if (found != m_upstreams.end()) {
    found->second.OnInconclusive();
  }
}

bool DeploymentHealth::MayEject(base::UpstreamId const& aUpstream) const
{
  auto const total = m_upstreams.size();
  if (total < 2) {
    return false;
  }
  auto const share = static_cast<std::size_t>(m_maximumShare * static_cast<double>(total));
  auto const others = Ejected() - (m_upstreams.at(aUpstream).IsOutOfRotation() ? 1U : 0U);
  return others < std::max<std::size_t>(share, 1);
}

void DeploymentHealth::OnServed(base::UpstreamId const& aUpstream, base::Instant aNow)
{
  auto const found = m_upstreams.find(aUpstream);
  if (found != m_upstreams.end()) {
    found->second.OnServed(aNow);
    UpdateRotation(aUpstream, found->second);
  }
}

void DeploymentHealth::OnFailed(base::UpstreamId const& aUpstream, base::Instant aNow)
{
  auto const found = m_upstreams.find(aUpstream);
  if (found != m_upstreams.end()) {
    found->second.OnFailed(MayEject(aUpstream), aNow);
    UpdateRotation(aUpstream, found->second);
  }
}

void DeploymentHealth::SetDraining(base::UpstreamId const& aUpstream, bool aIsDraining)
{
  auto const found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return;
  }
  if (aIsDraining) {
    found->second.OnDraining();
  } else {
    found->second.OnReturned();
  }
  UpdateRotation(aUpstream, found->second);
}

bool DeploymentHealth::TakeRequest(base::UpstreamId const& aUpstream, base::Instant aNow)
{
  auto const found = m_upstreams.find(aUpstream);
  return found != m_upstreams.end() && found->second.TakeRequest(aNow);
}

std::optional<HealthState> DeploymentHealth::StateOf(base::UpstreamId const& aUpstream) const
{
  auto const found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return std::nullopt;
  }
  return found->second.State();
}

} // namespace sardinefold::agent
