#pragma once

#include "Base/Identifiers.h"
#include "Base/Units.h"

#include <string>
#include <vector>

namespace sardinefold::engine {

/// An order to an engine about one model or adapter.
struct EngineOrder
{
  base::ModelId m_model;
  /// Empty for an order about the model itself.
  base::AdapterId m_adapter;
  base::FencingNumber m_fencing;
};

/// Why an order was not carried out, or may not have been.
struct EngineOrderFailure
{
  enum class Kind
  {
    /// The engine did not get the order.
    NotSent,
    /// The engine has seen a higher fencing number.
    FencedOff,
    /// The engine answered that it did not carry it out.
    Refused,
    /// The engine may have carried it out.
    Lost
  };

  Kind m_kind;
  std::string m_message;
};

/// Something that an engine holds or is changing.
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

/// An engine's own account of itself.
struct EngineStatusReport
{
  std::vector<EngineReplica> m_replicas;
  base::Bytes m_memory;
  base::Bytes m_used;
  base::FencingNumber m_fencing;
};

} // namespace sardinefold::engine
