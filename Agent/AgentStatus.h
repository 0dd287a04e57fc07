#pragma once

#include "Agent/AgentClock.h"
#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <cstddef>
#include <vector>

namespace sardinefold::agent {

/// A replica on the upstream of an agent.
struct ReplicaStatus
{
  enum class State
  {
    Loading,
    Loaded,
    Unloading
  };

  base::ModelId m_model;
  /// Empty for a base model.
  base::AdapterId m_adapter;
  State m_state = State::Loading;
};

/// What an agent reports about itself and its upstream.
struct AgentStatus
{
  base::UpstreamId m_upstream;
  base::IncarnationId m_incarnation;
  AgentClock m_clock;
  bool m_isDraining = false;
  std::size_t m_running = 0;
  std::size_t m_waiting = 0;
  /// 0 until a document has been received.
  base::DocumentVersion m_documentVersion;
  std::vector<ReplicaStatus> m_replicas;
  base::Bytes m_freeMemory;
};

} // namespace sardinefold::agent
