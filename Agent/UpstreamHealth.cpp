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
struct TimeOver
{};
struct Leave
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
  struct Leaving : front::state<>
  {};
  using initial_state = Healthy;

  // clang-format off
  using transition_table = boost::mpl::vector<
    Row<Healthy,   Failed,         Suspected, none, none>,
    Row<Healthy,   FailedTooOften, Ejected,   none, none>,
    Row<Healthy,   Leave,          Leaving,   none, none>,
    Row<Suspected, Served,         Healthy,   none, none>,
    Row<Suspected, FailedTooOften, Ejected,   none, none>,
    Row<Suspected, Leave,          Leaving,   none, none>,
    Row<Ejected,   TimeOver,       Probing,   none, none>,
    Row<Ejected,   Leave,          Leaving,   none, none>,
    Row<Probing,   Served,         Healthy,   none, none>,
    Row<Probing,   Failed,         Ejected,   none, none>,
    Row<Probing,   FailedTooOften, Ejected,   none, none>,
    Row<Probing,   Leave,          Leaving,   none, none>,
    Row<Leaving,   Return,         Suspected, none, none>
  >;
  // clang-format on

  /// What no row names changes nothing: the end of a request that was sent
  /// before an ejection tells nothing of the time after it.
  template<typename Event, typename Fsm>
  void no_transition(Event const&, Fsm&, int)
  {
  }
};

} // namespace

class UpstreamHealth::Machine : public boost::msm::back::state_machine<HealthFront>
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
    case HealthState::Leaving:
      return "leaving";
  }
  return "";
}

UpstreamHealth::UpstreamHealth(HealthLimits aLimits)
  : m_limits(aLimits)
  , m_machine(std::make_unique<Machine>())
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

bool UpstreamHealth::IsOut() const
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
  bool const isNewlyOut = State() == HealthState::Ejected && before != HealthState::Ejected;
  if (isNewlyOut) {
    m_until = aNow + m_ejection;
    m_ejection = std::min(2 * m_ejection, m_limits.m_longestEjection);
  }
}

void UpstreamHealth::Tick(base::Instant aNow)
{
  if (State() == HealthState::Ejected && aNow >= m_until) {
    m_machine->process_event(TimeOver{});
  }
  if (m_probeEnd && aNow >= *m_probeEnd) {
    m_probeEnd.reset();
  }
}

void UpstreamHealth::OnLeaving()
{
  m_probeEnd.reset();
  m_machine->process_event(Leave{});
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
      return aNow >= m_until;
    case HealthState::Probing:
      return !m_probeEnd || aNow >= *m_probeEnd;
    case HealthState::Leaving:
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
    case HealthState::Leaving:
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

DeploymentHealth::DeploymentHealth(HealthLimits aLimits, double aLargestShare)
  : m_limits(aLimits)
  , m_largestShare(aLargestShare)
{
}

void DeploymentHealth::Add(base::UpstreamId const& aUpstream)
{
  m_upstreams.try_emplace(aUpstream, m_limits);
}

void DeploymentHealth::Remove(base::UpstreamId const& aUpstream)
{
  m_upstreams.erase(aUpstream);
  m_out.erase(aUpstream);
}

void DeploymentHealth::Follow(base::UpstreamId const& aUpstream, UpstreamHealth const& aHealth)
{
  if (aHealth.IsOut()) {
    m_out.insert(aUpstream);
  } else {
    m_out.erase(aUpstream);
  }
}

std::vector<base::UpstreamId> DeploymentHealth::Closed(base::Instant aNow) const
{
  std::vector<base::UpstreamId> closed;
  for (auto const& upstream : m_out) {
    if (!m_upstreams.at(upstream).IsOpen(aNow)) {
      closed.push_back(upstream);
    }
  }
  return closed;
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
  auto const share = static_cast<std::size_t>(m_largestShare * static_cast<double>(total));
  auto const others = Ejected() - (m_upstreams.at(aUpstream).IsOut() ? 1U : 0U);
  return others < std::max<std::size_t>(share, 1);
}

void DeploymentHealth::OnServed(base::UpstreamId const& aUpstream, base::Instant aNow)
{
  auto const found = m_upstreams.find(aUpstream);
  if (found != m_upstreams.end()) {
    found->second.OnServed(aNow);
    Follow(aUpstream, found->second);
  }
}

void DeploymentHealth::OnFailed(base::UpstreamId const& aUpstream, base::Instant aNow)
{
  auto const found = m_upstreams.find(aUpstream);
  if (found != m_upstreams.end()) {
    found->second.OnFailed(MayEject(aUpstream), aNow);
    Follow(aUpstream, found->second);
  }
}

void DeploymentHealth::SetLeaving(base::UpstreamId const& aUpstream, bool aIsLeaving)
{
  auto const found = m_upstreams.find(aUpstream);
  if (found == m_upstreams.end()) {
    return;
  }
  if (aIsLeaving) {
    found->second.OnLeaving();
  } else {
    found->second.OnReturned();
  }
  Follow(aUpstream, found->second);
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
