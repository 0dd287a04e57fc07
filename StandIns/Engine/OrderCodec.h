#pragma once

#include "Base/Http/HttpMessage.h"
#include "Base/Units.h"
#include "StandIns/Engine/EngineMemory.h"

#include <tl/expected.hpp>

#include <string>

namespace sardinefold::standins {

/// An order to an engine.
struct EngineOrder
{
  base::FencingNumber m_fencing;
  ReplicaRecord m_replica;
  /// Whether the order gave the replica's size.
  bool m_hasBytes = false;
  /// Of an order to change role: "prefill", "decode" or "both".
  std::string m_role;
};

/// The error names the field.
tl::expected<EngineOrder, std::string> ParseOrder(base::HttpRequest const& aRequest);

std::string_view ToText(ReplicaState aState);

} // namespace sardinefold::standins
