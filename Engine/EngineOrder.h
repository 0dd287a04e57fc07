#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <string>
#include <vector>

namespace sardinefold::engine {

/// An order to an engine to load or unload one model or adapter.
struct EngineOrder
{
  base::ModelId m_model;
  /// Empty if the order concerns the model itself.
  base::AdapterId m_adapter;
  base::FencingNumber m_fencing;
};

/// Why an order was not executed, or may not have been.
struct EngineOrderFailure
{
  enum class Kind
  {
    /// The order was not sent to the engine.
    NotSent,
    /// The engine has seen a higher fencing number.
    FencedOff,
    /// The engine responded that it did not execute the order.
    Refused,
    /// No response arrived; the engine may have executed the order.
    Lost
  };

  Kind m_kind;
  std::string m_message;
};

/// A replica that an engine holds, is loading or is unloading.
struct EngineReplica
{
  enum class State
  {
    Loading,
    Loaded,
    Unloading
  };

  base::ModelId m_model;
  base::AdapterId m_adapter;
  base::Bytes m_memory;
  State m_state = State::Loading;
};

/// An engine's report of its replicas, memory and fencing number.
struct EngineStatusReport
{
  std::vector<EngineReplica> m_replicas;
  base::Bytes m_memory;
  base::Bytes m_used;
  base::FencingNumber m_fencing;
};

} // namespace sardinefold::engine
