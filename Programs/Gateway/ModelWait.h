#pragma once

#include "Programs/Gateway/GatewayState.h"

#include <optional>

namespace sardinefold::programs {

/// A request that waits for its model; the planner hears of it until this is destroyed.
class ModelWait
{
public:
  /// The query names a model. aState must outlive the wait.
  ModelWait(GatewayState& aState, engine::UpstreamQuery const& aQuery, double aWorth,
            base::Instant aGoal)
    : m_state(aState)
    , m_model{ *aQuery.m_model, aQuery.m_version.value_or(base::SoftwareVersion()) }
  {
    if (aQuery.m_version) {
      ++m_state.m_versionedDemand[m_model];
    } else {
      m_ticket = m_state.m_demand.StartWaiting(m_model.m_model, aWorth, aGoal);
    }
  }
  ModelWait(ModelWait const&) = delete;
  ModelWait& operator=(ModelWait const&) = delete;
  ~ModelWait()
  {
    if (m_ticket) {
      m_state.m_demand.StopWaiting(m_model.m_model, *m_ticket);
      return;
    }
    auto const found = m_state.m_versionedDemand.find(m_model);
    if (--found->second == 0) {
      m_state.m_versionedDemand.erase(found);
    }
  }

private:
  GatewayState& m_state;
  engine::VersionedModel m_model;
  /// Set unless only one version of the upstreams' software may serve the request.
  std::optional<engine::WaitTicket> m_ticket;
};

} // namespace sardinefold::programs
